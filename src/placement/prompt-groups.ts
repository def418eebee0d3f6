/** Keeps the division of each service's servers between short and long prompts, and says which group a call prefers. */
import type * as event from "../core/event.js";
import type * as fleet from "../fleet/types.js";
import type * as promptDemands from "./prompt-demand.js";
import * as promptKinds from "./prompt-kinds.js";
import * as serverDivision from "./server-division.js";
import type * as types from "./types.js";

/** Interval in milliseconds at which a division follows the demand. */
const UPDATE_INTERVAL_MS = 100;
/** Minimum time in milliseconds between two log lines about the division of a service. */
const LOG_INTERVAL_MS = 1000;
/** Weight of the priority of one more call in the mean of its kind. */
const PRIORITY_SAMPLE_WEIGHT = 0.1;
/** Difference of the mean priorities from which on one kind is more urgent than the other. */
const MINIMUM_PRIORITY_DIFFERENCE = 0.5;
/** Share of the time that a call has beside its prefill which it waits at its own group rather than use the other one. */
const MAXIMUM_QUEUE_SHARE = 0.5;
/** Share of the streams' target gap which the prompts at a server for short prompts may take if a long one is added. */
const MAXIMUM_BACKLOG_SHARE = 0.5;

/** A call as the division of the servers sees it. */
export interface DividedCall {
    readonly service: string;
    readonly promptTokens: number;
    /** Time in milliseconds until its first event for which it is on time. */
    readonly targetLatencyMs: number;
    /** Priority of the route; 0 is the most urgent. That of a customer says nothing about a kind of prompts. */
    readonly routePriority: number;
}

interface Division {
    /** Ready servers in the order in which they are for short prompts. */
    readonly order: readonly fleet.BackendServer[];
    readonly shortServers: number | undefined;
    readonly servers: Readonly<Record<types.PromptKind, ReadonlySet<string>>>;
    readonly demand: promptDemands.Demand;
    readonly urgentKind: types.PromptKind | undefined;
    readonly updatedAt: number;
}

interface DividedService {
    /** Ids of the ready servers in the order of the registry, to detect changes. */
    readonly readyIds: readonly string[];
    readonly division: Division;
    readonly loggedAt: number;
    readonly loggedShortServers: number | undefined;
}

export interface PromptGroupsPorts {
    readonly journal: event.Journal;
    readonly demands: Pick<promptDemands.PromptDemands, "place" | "total">;
}

export class PromptGroups {
    private readonly services = new Map<string, DividedService>();
    private readonly priorities = new Map<string, Partial<Record<types.PromptKind, number>>>();
    private gaps:
        | { readonly configuration: fleet.Configuration; readonly byService: ReadonlyMap<string, number>; }
        | undefined;

    constructor(private readonly ports: PromptGroupsPorts) {}

    /** Kind of the call's prompt; undefined for a service whose streams tolerate any pause. */
    kindOf(
        call: DividedCall,
        configuration: fleet.Configuration,
        latency: types.LatencyEstimate,
    ): types.PromptKind | undefined {
        const targetGapMs = this.targetGapMs(call.service, configuration);
        return targetGapMs === undefined
            ? undefined
            : promptKinds.kindOf(call.promptTokens, targetGapMs, latency);
    }

    /** Counts a call whose prompt its server needs `prefillMs` to prefill, until the result is disposed of. */
    place(call: DividedCall, kind: types.PromptKind, prefillMs: number, now: number): promptDemands.CountedCall {
        const priorities = this.priorities.get(call.service) ?? {};
        this.priorities.set(call.service, priorities);
        const mean = priorities[kind] ?? call.routePriority;
        priorities[kind] = mean + (call.routePriority - mean) * PRIORITY_SAMPLE_WEIGHT;
        return this.ports.demands.place(call.service, kind, prefillMs, now);
    }

    /**
     * The servers for calls like this one; undefined while both kinds share all of them. `candidates` are all servers of
     * the service.
     */
    groupOf(
        call: DividedCall,
        candidates: readonly types.Candidate[],
        configuration: fleet.Configuration,
        latency: types.LatencyEstimate,
        now: number,
    ): types.ServerGroup | undefined {
        const targetGapMs = this.targetGapMs(call.service, configuration);
        if (targetGapMs === undefined) {
            return undefined;
        }
        const kind = promptKinds.kindOf(call.promptTokens, targetGapMs, latency);
        const { shortServers, servers, demand, urgentKind } = this.divide(call.service, candidates, now);
        if (shortServers === undefined) {
            return undefined;
        }
        const spareMs = Math.max(0, call.targetLatencyMs - call.promptTokens * latency.msPerPromptToken);
        const harmsOthers = kind === "long" && urgentKind !== "long";
        return {
            kind,
            servers: servers[kind],
            busyServers: demand[kind].busyServers,
            maximumQueueMs: spareMs * MAXIMUM_QUEUE_SHARE,
            maximumBacklogMs: harmsOthers ? targetGapMs * MAXIMUM_BACKLOG_SHARE : Infinity,
        };
    }

    private targetGapMs(service: string, configuration: fleet.Configuration): number | undefined {
        if (this.gaps?.configuration !== configuration) {
            this.gaps = { configuration, byService: promptKinds.targetGaps(configuration) };
        }
        return this.gaps.byService.get(service);
    }

    private divide(service: string, candidates: readonly types.Candidate[], now: number): Division {
        const known = this.services.get(service);
        const ready = candidates.filter(({ server }) => server.state === "ready");
        const isSameSet = known !== undefined && known.readyIds.length === ready.length
            && ready.every(({ server }, index) => known.readyIds[index] === server.id);
        if (isSameSet && now - known.division.updatedAt < UPDATE_INTERVAL_MS) {
            return known.division;
        }
        const order = isSameSet
            ? known.division.order
            : serverDivision.orderServers(ready.map(({ server }) => server));
        const suspected = new Set(ready.filter(({ isSuspected }) => isSuspected).map(({ server }) => server.id));
        const demand = this.ports.demands.total(service, now);
        const urgentKind = this.urgentKind(service);
        const shortServers = serverDivision.shortServers({
            servers: ready.length - suspected.size,
            slots: ready[0]?.server.slots ?? 1,
            demand,
            urgentKind,
            shortServers: known?.division.shortServers,
        });
        const servers = serverDivision.splitServers(order, shortServers ?? 0, suspected);
        const division = { order, shortServers, servers, demand, urgentKind, updatedAt: now };
        this.services.set(service, {
            readyIds: isSameSet ? known.readyIds : ready.map(({ server }) => server.id),
            division,
            ...this.log(service, division, suspected.size, known, now),
        });
        return division;
    }

    /** The kind with the more urgent priority on average. */
    private urgentKind(service: string): types.PromptKind | undefined {
        const { short, long } = this.priorities.get(service) ?? {};
        if (short === undefined || long === undefined || Math.abs(short - long) < MINIMUM_PRIORITY_DIFFERENCE) {
            return undefined;
        }
        return short < long ? "short" : "long";
    }

    /** Logs a division that differs from the one logged last, unless that was a moment ago. */
    private log(
        service: string,
        { order, shortServers, demand, urgentKind }: Division,
        suspected: number,
        known: DividedService | undefined,
        now: number,
    ): Pick<DividedService, "loggedAt" | "loggedShortServers"> {
        const { loggedAt = -Infinity, loggedShortServers } = known ?? {};
        if (shortServers === loggedShortServers || now - loggedAt < LOG_INTERVAL_MS) {
            return { loggedAt, loggedShortServers };
        }
        this.ports.journal.emit("servers-divided", {
            service,
            shortServers: shortServers ?? 0,
            servers: order.length,
            suspected,
            shortBusy: Number(demand.short.busyServers.toFixed(2)),
            longBusy: Number(demand.long.busyServers.toFixed(2)),
            shortCalls: Math.round(demand.short.calls),
            longCalls: Math.round(demand.long.calls),
            urgent: urgentKind,
        });
        return { loggedAt: now, loggedShortServers: shortServers };
    }
}
