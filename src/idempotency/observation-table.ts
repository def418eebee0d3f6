/** Open claims that one process has seen, with the times that count for their settlement. */
import type * as manifest from "../manifest/types.js";
import type * as settlement from "./settlement.js";
import type * as types from "./types.js";

/** Bounds the memory; a forgotten claim is observed anew at the next repeat of its call. */
const MAXIMUM_OBSERVATIONS = 1000;
const PROBE_INTERVAL_MS = 1000;

export interface ObservedCall {
    readonly customer: string;
    readonly route: manifest.Route;
    readonly key: string;
}

export interface ObservedClaim extends settlement.Observation {
    readonly id: string;
    readonly claimId: string;
    readonly state: types.CallRecord["state"];
    readonly call: ObservedCall;
    readonly nextAttemptAt: number;
}

export class ObservationTable {
    private readonly claims = new Map<string, ObservedClaim>();

    /** A change from `claimed` to `unknown` starts the observation anew. */
    observe(id: string, record: types.CallRecord, call: ObservedCall, now: number): ObservedClaim {
        const existing = this.claims.get(record.claim.id);
        if (existing?.state === record.state) {
            return existing;
        }
        const observed: ObservedClaim = {
            id,
            claimId: record.claim.id,
            state: record.state,
            call,
            firstSeenAt: now,
            deadSince: undefined,
            nextAttemptAt: now + PROBE_INTERVAL_MS,
        };
        this.claims.set(record.claim.id, observed);
        const [oldest] = this.claims.keys();
        if (this.claims.size > MAXIMUM_OBSERVATIONS) {
            this.claims.delete(oldest);
        }
        return observed;
    }

    markDead(claimId: string, now: number): void {
        this.change(claimId, { deadSince: now });
    }

    postpone(claimId: string, nextAttemptAt: number): void {
        this.change(claimId, { nextAttemptAt });
    }

    remove(claimId: string): void {
        this.claims.delete(claimId);
    }

    /** Claims whose next attempt is due; each is postponed by one interval. */
    due(now: number): readonly ObservedClaim[] {
        const due = [...this.claims.values()].filter(claim => claim.nextAttemptAt <= now);
        due.forEach(claim => this.postpone(claim.claimId, now + PROBE_INTERVAL_MS));
        return due;
    }

    private change(claimId: string, change: Partial<ObservedClaim>): void {
        const claim = this.claims.get(claimId);
        if (claim !== undefined) {
            this.claims.set(claimId, { ...claim, ...change });
        }
    }
}
