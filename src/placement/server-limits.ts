/**
 * Keeps the rate of requests that a server in need names, or that a cold server takes, over all entries together.
 *
 * Load pattern: many entries hold calls for the same servers, and each learns only with the next heartbeat what the others
 * sent. If each took a request that the limit allows as soon as it sees it, all would take the same one. Time is divided
 * into slots of about that delay; in each of them a server is open to a random part of the entries, so many that together
 * they send what the limit has left. The bound of a cold server holds for each second, in which heartbeats come too late:
 * each entry has a fixed part of it instead (cold-rate.ts). The lower one of the two limits of a server decides.
 */
import type * as event from "../core/event.js";
import * as hashing from "../core/hashing.js";
import type * as peering from "../peering/types.js";
import * as ledgers from "../quota/ledger.js";
import * as coldRates from "./cold-rate.js";
import * as slotCounters from "./slot-counter.js";

/** Time in milliseconds for which peers are told that a limit has ended. */
const ENDED_RETENTION_MS = 5000;
/** Time in milliseconds for which the limit of a server that is not listed is kept, since its record may come back. */
const UNLISTED_RETENTION_MS = 30_000;
/** Lowest rate that is assumed, in requests a second: without a request, no response tells that the limit has ended. */
const MINIMUM_RATE = 0.2;
/** Requests that may be saved up: the time in milliseconds in which the limit allows them, and the least number. */
const BURST_MS = 1000;
const MINIMUM_BURST = 2;
/** Requests that entries may send at the same time beyond those saved up. */
const MAXIMUM_OVERSHOOT = 3;

/** Whether a server has a limit, and whether that leaves a request for this entry now. */
export type LimitState = "none" | "open" | "closed";

interface NamedLimit {
    /** Undefined once the server names no limit any more. */
    readonly requestsPerSecond: number | undefined;
    /** Time of the response in milliseconds. */
    readonly observedAt: number;
}

/** Limits of servers that are cold. */
export interface ColdLimits {
    /** Undefined for a server that is not cold, or takes any number of requests. */
    readonly limitOf: (server: string, now: number) => coldRates.ColdLimit | undefined;
    /** Registered entries, this one included, and whether they were read since its start. */
    readonly registeredEntries: () => Pick<coldRates.KnownEntries, "registered" | "hasRead">;
    /** Start of this entry in milliseconds. */
    readonly startedAt: number;
}

export interface LimitPorts {
    readonly journal: event.Journal;
    /** Name of this entry. */
    readonly self: string;
    /** Time in milliseconds in which the entries learn of each other's requests. */
    readonly slotMs: () => number;
    readonly ledger: ledgers.LedgerSettings;
    /** Undefined where no server is ever cold. */
    readonly cold?: ColdLimits | undefined;
}

export class ServerLimits {
    private readonly limits = new Map<string, NamedLimit>();
    private readonly ledger: ledgers.QuotaLedger;
    /** Undefined until the servers are known. */
    private listed: ReadonlySet<string> | undefined;
    /** Requests of this entry to servers that name a limit, and to cold ones. */
    private readonly sent: slotCounters.SlotCounter;
    private readonly sentCold = new slotCounters.SlotCounter(() => coldRates.SLOT_MS);

    constructor(private readonly ports: LimitPorts) {
        this.sent = new slotCounters.SlotCounter(ports.slotMs);
        this.ledger = new ledgers.QuotaLedger(ports.ledger);
    }

    /** Records the limit that a response of the server names; undefined ends it. */
    recordResponse(server: string, requestsPerSecond: number | undefined, now: number): void {
        if (requestsPerSecond !== undefined || this.limits.has(server)) {
            this.adopt(server, { requestsPerSecond, observedAt: now }, "response");
        }
    }

    /** Requests a second that the server takes from all entries together; undefined without a limit. */
    limitOf(server: string): number | undefined {
        return this.limits.get(server)?.requestsPerSecond;
    }

    /** Whether the server has a limit, and whether this entry may send it a request now. */
    stateOf(server: string, now: number): LimitState {
        const account = this.accountOf(server);
        const coldLimit = this.ports.cold?.limitOf(server, now);
        if (account === undefined && coldLimit === undefined) {
            return "none";
        }
        const isOpen = (account === undefined || this.isOpen(account, now))
            && (coldLimit === undefined || this.isOpenCold(server, coldLimit, now));
        return isOpen ? "open" : "closed";
    }

    /** Counts a request that is sent to the server. */
    recordRequest(server: string, now: number): void {
        const account = this.accountOf(server);
        if (this.ports.cold?.limitOf(server, now) !== undefined) {
            this.sentCold.record(server, now);
        }
        if (account !== undefined) {
            this.sent.record(server, now);
            this.ledger.charge(account, 1, now);
        }
    }

    /** Limits and requests of this entry, for the next heartbeat. */
    snapshot(now: number): readonly peering.ServerLimit[] {
        this.forgetStale(now);
        const sent = this.ledger.spending();
        return [...this.limits].map(([server, { requestsPerSecond, observedAt }]) => {
            return { server, requestsPerSecond, ageMs: Math.max(0, now - observedAt), requests: sent[server] ?? 0 };
        });
    }

    /** Adopts newer limits of a peer, and counts its requests. */
    applyPeer(peer: string, incarnation: string, limits: readonly peering.ServerLimit[], now: number): void {
        for (const { server, requestsPerSecond, ageMs } of limits) {
            const known = this.limits.get(server);
            const observedAt = now - ageMs;
            if (observedAt > (known?.observedAt ?? Number.NEGATIVE_INFINITY)) {
                this.adopt(server, { requestsPerSecond, observedAt }, peer);
            }
        }
        const requests = Object.fromEntries(limits.map(limit => [limit.server, limit.requests]));
        this.ledger.applyPeerSpending(peer, incarnation, requests, now);
    }

    /** Names the servers that are listed. The limits of others are dropped once they have named none for a time. */
    retain(servers: ReadonlySet<string>): void {
        this.listed = servers;
        this.sent.retain(server => servers.has(server) || this.limits.has(server));
        this.sentCold.retain(server => servers.has(server));
    }

    private isOpen(account: ledgers.Account, now: number): boolean {
        const { name: server } = account;
        const { slot, requests } = this.sent.at(server, now);
        const requestsOfEntry = (this.allowance(account, now) + requests) / this.ledger.reachableCount(now);
        return requests + hashing.unitHash(`${this.ports.self}\u0000${server}\u0000${slot}`) < requestsOfEntry;
    }

    private isOpenCold(server: string, limit: coldRates.ColdLimit, now: number): boolean {
        const entries = coldRates.sharingEntries({
            ...this.ports.cold!.registeredEntries(),
            active: this.ledger.entryCount(now),
            reachable: this.ledger.reachableCount(now),
            runningMs: now - this.ports.cold!.startedAt,
        });
        if (entries === undefined) {
            return false;
        }
        const { slot, requests } = this.sentCold.at(server, now);
        const requestsPerSlot = coldRates.safeRate(limit, entries) * coldRates.SLOT_MS / 1000 / entries;
        const phase = hashing.unitHash(`${this.ports.self}\u0000${server}`);
        return requests < coldRates.requestsInSlot(slot, requestsPerSlot, phase);
    }

    /**
     * Requests that all entries together may expect to send in this slot. With a full bucket few entries have calls for the
     * server, so that it is open to more of them.
     */
    private allowance(account: ledgers.Account, now: number): number {
        const available = this.ledger.available(account, now);
        const fullness = (available - 1) / (account.burstTokens - 1);
        return available + Math.max(0, fullness) * MAXIMUM_OVERSHOOT;
    }

    private adopt(server: string, limit: NamedLimit, source: string): void {
        const known = this.limits.get(server);
        this.limits.set(server, limit);
        const { requestsPerSecond } = limit;
        if (known?.requestsPerSecond !== requestsPerSecond) {
            this.ports.journal.emit("server-limit-changed", { backendServer: server, requestsPerSecond, source });
        }
        const account = this.accountOf(server);
        if (account !== undefined) {
            this.ledger.track([account], limit.observedAt);
        }
    }

    private accountOf(server: string): ledgers.Account | undefined {
        const requestsPerSecond = this.limitOf(server);
        if (requestsPerSecond === undefined) {
            return undefined;
        }
        const rate = Math.max(MINIMUM_RATE, requestsPerSecond);
        return { name: server, tokensPerSecond: rate, burstTokens: Math.max(MINIMUM_BURST, rate * BURST_MS / 1000) };
    }

    /** Peers may tell of such a limit again, so that it is dropped before each heartbeat. */
    private forgetStale(now: number): void {
        for (const [server, { requestsPerSecond, observedAt }] of this.limits) {
            const hasEnded = requestsPerSecond === undefined && now - observedAt > ENDED_RETENTION_MS;
            const isGone = this.listed?.has(server) === false && now - observedAt > UNLISTED_RETENTION_MS;
            if (hasEnded || isGone) {
                this.forget(server);
            }
        }
    }

    private forget(server: string): void {
        this.limits.delete(server);
        this.sent.forget(server);
        this.ledger.retain(new Set(this.limits.keys()));
    }
}
