/** Demand of long and of short prompts per service: of this entry's calls, and of those that its peers report. */
import type * as peering from "../peering/types.js";
import type * as types from "./types.js";

/** Time in milliseconds after which a call counts half. */
const HALF_LIFE_MS = 2000;
/** Time in milliseconds after which the demand that a silent peer reported no longer counts. */
const MAXIMUM_REPORT_AGE_MS = 2000;
/** Number of decimal places of the servers in a heartbeat. */
const SERVER_DECIMALS = 3;

/** Demand at a service by the kind of the prompts. */
export type Demand = Readonly<Record<types.PromptKind, peering.KindDemand>>;

/** A call that counts as in flight until it is disposed of. */
export type CountedCall = Disposable;

interface Tally {
    /** Decayed sum of the prefill times in milliseconds. */
    prefillMs: number;
    calls: number;
    updatedAt: number;
}

interface PeerReport {
    readonly demands: readonly peering.PromptDemand[];
    readonly receivedAt: number;
}

export class PromptDemands {
    private readonly own = new Map<string, Record<types.PromptKind, Tally>>();
    private readonly peers = new Map<string, PeerReport>();

    /** `entryCount` is the number of entries, this one included. */
    constructor(private readonly entryCount: (now: number) => number) {}

    /** Counts a call of this entry, and the time in milliseconds that its server takes to prefill its prompt. */
    place(service: string, kind: types.PromptKind, prefillMs: number, now: number): CountedCall {
        const tally = this.tallies(service, now)[kind];
        tally.prefillMs = decayed(tally, now) + prefillMs;
        tally.updatedAt = now;
        tally.calls++;
        let isCounted = true;
        return {
            [Symbol.dispose]: () => {
                tally.calls -= isCounted ? 1 : 0;
                isCounted = false;
            },
        };
    }

    /** Demand of this entry's calls, for the next heartbeat. */
    snapshot(now: number): readonly peering.PromptDemand[] {
        return [...this.own].map(([service, { short, long }]) => ({
            service,
            short: rounded(kindDemand(short, now)),
            long: rounded(kindDemand(long, now)),
        }));
    }

    /** Replaces the demand of a peer's calls with that of its latest heartbeat. */
    applyPeer(peer: string, demands: readonly peering.PromptDemand[], now: number): void {
        this.peers.set(peer, { demands, receivedAt: now });
    }

    /** Demand of the calls of all entries. Those that have not reported theirs count as the mean of the others. */
    total(service: string, now: number): Demand {
        const own = this.tallies(service, now);
        let short = kindDemand(own.short, now);
        let long = kindDemand(own.long, now);
        let known = 1;
        for (const [peer, { demands, receivedAt }] of this.peers) {
            if (now - receivedAt > MAXIMUM_REPORT_AGE_MS) {
                this.peers.delete(peer);
                continue;
            }
            known++;
            const reported = demands.find(demand => demand.service === service);
            if (reported !== undefined) {
                short = sum(short, reported.short);
                long = sum(long, reported.long);
            }
        }
        const factor = Math.max(1, this.entryCount(now) / known);
        return { short: scaled(short, factor), long: scaled(long, factor) };
    }

    private tallies(service: string, now: number): Record<types.PromptKind, Tally> {
        const tallies = this.own.get(service) ?? { short: newTally(now), long: newTally(now) };
        this.own.set(service, tallies);
        return tallies;
    }
}

function newTally(now: number): Tally {
    return { prefillMs: 0, calls: 0, updatedAt: now };
}

function decayed({ prefillMs, updatedAt }: Tally, now: number): number {
    return prefillMs * 2 ** (-(now - updatedAt) / HALF_LIFE_MS);
}

function kindDemand(tally: Tally, now: number): peering.KindDemand {
    return { busyServers: decayed(tally, now) * Math.LN2 / HALF_LIFE_MS, calls: tally.calls };
}

function rounded({ busyServers, calls }: peering.KindDemand): peering.KindDemand {
    return { busyServers: Number(busyServers.toFixed(SERVER_DECIMALS)), calls };
}

function sum(left: peering.KindDemand, right: peering.KindDemand): peering.KindDemand {
    return { busyServers: left.busyServers + right.busyServers, calls: left.calls + right.calls };
}

function scaled({ busyServers, calls }: peering.KindDemand, factor: number): peering.KindDemand {
    return { busyServers: busyServers * factor, calls: calls * factor };
}
