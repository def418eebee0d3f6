/**
 * Knows which servers are cold: for some seconds after a start during traffic, or whenever they become so again.
 *
 * A server states it in its record and in some responses, but is used before its next statement arrives. So a server whose
 * start was not known before counts as cold from its start, and all servers of a data centre from the end of its
 * evacuation. Statements and assumptions only extend the time; a statement of an earlier moment cannot end it.
 */
import type * as event from "../core/event.js";
import type * as fleet from "../fleet/types.js";
import * as coldRates from "./cold-rate.js";

/** Longest time in milliseconds for which a server counts as cold by one statement. */
const MAXIMUM_COLD_MS = 60_000;
/** Time in milliseconds for which a server that is not listed is remembered, since its record may come back. */
const UNLISTED_RETENTION_MS = 120_000;
/** Servers that are remembered. */
const MAXIMUM_SERVERS = 4096;

type ColdSource = "record" | "response" | "start" | "evacuation";

/** One run of a server. */
interface Run {
    readonly startedAt: number | undefined;
    readonly service: string;
    readonly dataCentre: string;
    readonly listedAt: number;
    /** Revision of the last record. */
    readonly revision: number | undefined;
    /** Time in milliseconds until which the server is cold by its own statements. */
    readonly statedUntil: number;
    /** Time in milliseconds from which the server is assumed to be cold for as long as after a start. */
    readonly assumedFrom: number;
}

export interface ColdServerPorts {
    readonly journal: event.Journal;
    readonly bounds: coldRates.ColdBounds;
    /** Undefined if the servers of the service are never cold, or while the service is unknown. */
    readonly coldStart: (service: string) => fleet.ColdStart | undefined;
    /** The deployment has just been started: until the first request, servers are only as cold as they state. */
    readonly isFirstStart: boolean;
}

/** The present time in milliseconds: of this process, and in Unix milliseconds. */
export interface Times {
    readonly now: number;
    readonly wallTime: number;
}

export class ColdServers {
    private readonly runs = new Map<string, Run>();
    private hasListed = false;
    private hasTraffic: boolean;

    constructor(private readonly ports: ColdServerPorts) {
        this.hasTraffic = !ports.isFirstStart;
    }

    /** Records the listed servers. Those of the first listing may have started long ago, so that their records decide. */
    recordServers(servers: readonly fleet.BackendServer[], { now, wallTime }: Times): void {
        for (const server of servers) {
            const known = this.runs.get(server.id);
            if (isEarlierRun(server, known)) {
                continue;
            }
            const run = isSameRun(known, server) ? known : undefined;
            const isAssumed = run === undefined && this.hasListed && this.hasTraffic;
            const statedUntil = run?.statedUntil ?? Number.NEGATIVE_INFINITY;
            const isNewStatement = run === undefined || run.revision !== server.revision;
            this.keep(
                server.id,
                {
                    startedAt: server.startedAt ?? run?.startedAt,
                    service: server.service,
                    dataCentre: server.dataCentre,
                    listedAt: now,
                    revision: server.revision,
                    statedUntil: isNewStatement
                        ? Math.max(statedUntil, endOf(server.coldRemainingMs, now))
                        : statedUntil,
                    assumedFrom: run?.assumedFrom
                        ?? (isAssumed ? now - ageMs(server, wallTime) : Number.NEGATIVE_INFINITY),
                },
                isAssumed ? "start" : "record",
                now,
            );
        }
        this.hasListed = true;
        this.forgetUnlisted(now);
    }

    /** Records what a response of the server states. */
    recordResponse(server: string, coldMs: number | undefined, now: number): void {
        const run = this.runs.get(server);
        if (run !== undefined && coldMs !== undefined) {
            const statedUntil = Math.max(run.statedUntil, endOf(coldMs, now));
            this.keep(server, { ...run, statedUntil }, "response", now);
        }
    }

    /** Records that a data centre is used again; its servers may have become cold meanwhile. */
    recordReturn(dataCentre: string, now: number): void {
        for (const [server, run] of [...this.runs].filter(([, known]) => known.dataCentre === dataCentre)) {
            this.keep(server, { ...run, assumedFrom: now }, "evacuation", now);
        }
    }

    /** Records that a request is sent, so that servers that start from now on do so during traffic. */
    recordTraffic(): void {
        this.hasTraffic = true;
    }

    isCold(server: string, now: number): boolean {
        const run = this.runs.get(server);
        return run !== undefined && now < this.coldUntil(run);
    }

    /** Limit of a cold server; undefined for one that is not cold or takes any number of requests. */
    limitOf(server: string, now: number): coldRates.ColdLimit | undefined {
        const run = this.runs.get(server);
        const rate = run === undefined ? undefined : this.ports.coldStart(run.service)?.requestsPerSecond;
        return rate !== undefined && this.isCold(server, now)
            ? coldRates.coldLimit(rate, this.ports.bounds)
            : undefined;
    }

    /** Number of cold servers. */
    count(now: number): number {
        return [...this.runs.values()].filter(run => now < this.coldUntil(run)).length;
    }

    private coldUntil(run: Run): number {
        const coldStart = this.ports.coldStart(run.service);
        return coldStart === undefined
            ? Number.NEGATIVE_INFINITY
            : Math.max(run.statedUntil, run.assumedFrom + coldStart.durationMs);
    }

    private keep(server: string, run: Run, source: ColdSource, now: number): void {
        const wasCold = this.isCold(server, now);
        this.runs.set(server, run);
        const remainingMs = Math.round(this.coldUntil(run) - now);
        if (!wasCold && remainingMs > 0) {
            this.ports.journal.emit("server-cold", { backendServer: server, remainingMs, source });
        }
    }

    private forgetUnlisted(now: number): void {
        for (const [server, { listedAt }] of this.runs) {
            if (now - listedAt > UNLISTED_RETENTION_MS || now > listedAt && this.runs.size > MAXIMUM_SERVERS) {
                this.runs.delete(server);
            }
        }
    }
}

/** A run with an unknown start counts as the same. */
function isSameRun(known: Run | undefined, { startedAt }: fleet.BackendServer): boolean {
    return known !== undefined
        && (known.startedAt === undefined || startedAt === undefined || known.startedAt === startedAt);
}

/** The registry may still show the record of a run before the known one. */
function isEarlierRun({ startedAt }: fleet.BackendServer, known: Run | undefined): boolean {
    return startedAt !== undefined && known?.startedAt !== undefined && startedAt < known.startedAt;
}

/** Age in milliseconds of the server's run; 0 if its start is unknown or in the future of this clock. */
function ageMs({ startedAt }: fleet.BackendServer, wallTime: number): number {
    return startedAt === undefined ? 0 : Math.max(0, wallTime - startedAt);
}

function endOf(coldMs: number | undefined, now: number): number {
    return coldMs === undefined || coldMs <= 0 ? Number.NEGATIVE_INFINITY : now + Math.min(coldMs, MAXIMUM_COLD_MS);
}
