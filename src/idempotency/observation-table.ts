/** Unsettled claims that this process has observed, with the times that their settlement depends on. */
import type * as manifest from "../manifest/types.js";
import type * as settlement from "./settlement.js";
import type * as types from "./types.js";

/** Limits memory use; a claim that was removed is observed again when its call is repeated. */
const MAXIMUM_OBSERVATIONS = 1000;
const CHECK_INTERVAL_MS = 1000;

/** The call of an observed claim. */
export interface ObservedCall {
    readonly customer: string;
    readonly route: manifest.Route;
    readonly key: string;
}

/** An unsettled claim; times are monotonic milliseconds. */
export interface ObservedClaim extends settlement.Observation {
    /** Identifier of the record. */
    readonly id: string;
    readonly claimId: string;
    readonly state: types.CallRecord["state"];
    readonly call: ObservedCall;
    readonly nextCheckAt: number;
}

export class ObservationTable {
    private readonly claims = new Map<string, ObservedClaim>();

    /** Returns the observation of the claim; a change from `claimed` to `unknown` starts a new one. */
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
            nextCheckAt: now + CHECK_INTERVAL_MS,
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

    postpone(claimId: string, nextCheckAt: number): void {
        this.change(claimId, { nextCheckAt });
    }

    remove(claimId: string): void {
        this.claims.delete(claimId);
    }

    /** Returns the claims whose next check is due, and postpones each by one interval. */
    due(now: number): readonly ObservedClaim[] {
        const due = [...this.claims.values()].filter(claim => claim.nextCheckAt <= now);
        due.forEach(claim => this.postpone(claim.claimId, now + CHECK_INTERVAL_MS));
        return due;
    }

    private change(claimId: string, change: Partial<ObservedClaim>): void {
        const claim = this.claims.get(claimId);
        if (claim !== undefined) {
            this.claims.set(claimId, { ...claim, ...change });
        }
    }
}
