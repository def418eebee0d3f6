/** Decides when and how an unsettled call can be settled. All times are monotonic milliseconds of one process. */
import type * as types from "./types.js";

/** Fraction by which the clock rates of two hosts may differ. */
const CLOCK_DRIFT_MARGIN = 0.05;

/** What one process knows about an unsettled claim. */
export interface Observation {
    /** When the record was first read in its current state. */
    readonly firstSeenAt: number;
    /** When the holder was proved dead; undefined without a proof. */
    readonly deadSince: number | undefined;
}

/** The response of a service to the question whether it ran a call. */
export type ServiceLookupResult =
    | { readonly kind: "ran"; readonly response: types.ServiceResponse; }
    /** The service does not know the key. */
    | { readonly kind: "absent"; }
    | { readonly kind: "no-answer"; readonly detail: string; };

/** The state that a lookup proves; `unsettled` if it proves none. */
export type Conclusion =
    | { readonly kind: "done"; readonly response: types.ServiceResponse; }
    | { readonly kind: "not-run"; }
    | { readonly kind: "unsettled"; };

/**
 * Time from which a key that is unknown to the service proves that the call did not run; undefined if that cannot be
 * determined yet.
 *
 * A holder that was proved dead may only be paused and missing from the instance list. It can still start the call
 * until the deadline of its claim, and a started call takes up to `settleAfterMs` to become visible to the lookup, so
 * both times are added. An `unknown` record was written after the holder had stopped waiting for the call, so only
 * `settleAfterMs` applies.
 */
export function earliestSettlement(
    record: types.CallRecord,
    observation: Observation,
    settleAfterMs: number,
): number | undefined {
    if (record.state === "unknown") {
        return observation.firstSeenAt + settleAfterMs;
    }
    if (record.state !== "claimed" || observation.deadSince === undefined) {
        return undefined;
    }
    const lastStart = observation.firstSeenAt + record.claim.runWithinMs * (1 + CLOCK_DRIFT_MARGIN);
    return Math.max(observation.deadSince, lastStart) + settleAfterMs;
}

/**
 * Determines what a lookup proves. `askedAt` is the time just before the lookup was sent: a lookup that was sent before
 * `settleableFrom` does not prove that the call did not run.
 */
export function conclude(result: ServiceLookupResult, askedAt: number, settleableFrom: number | undefined): Conclusion {
    if (result.kind === "ran") {
        return { kind: "done", response: result.response };
    }
    if (result.kind === "absent" && settleableFrom !== undefined && askedAt >= settleableFrom) {
        return { kind: "not-run" };
    }
    return { kind: "unsettled" };
}
