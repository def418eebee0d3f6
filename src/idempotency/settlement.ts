/** Decides when a call of a lost claim can be settled and how. All times are monotonic milliseconds of one process. */
import type * as types from "./types.js";

/** Clocks of two hosts may run at rates that differ by this share. */
const CLOCK_DRIFT_MARGIN = 0.05;

/** What one process knows about an open claim. */
export interface Observation {
    /** When the record was first read in its present state. */
    readonly firstSeenAt: number;
    /** When the holder was proved dead; undefined without a proof. */
    readonly deadSince: number | undefined;
}

export type ServiceAnswer =
    | { readonly kind: "ran"; readonly response: types.ServiceResponse; }
    /** The service does not know the key. */
    | { readonly kind: "absent"; }
    | { readonly kind: "no-answer"; readonly detail: string; };

export type Conclusion =
    | { readonly kind: "done"; readonly response: types.ServiceResponse; }
    | { readonly kind: "not-run"; }
    | { readonly kind: "open"; };

/**
 * Time from which an unknown key proves that the call did not run; undefined when there is no such time yet.
 *
 * The proof of death may concern a paused holder that the instance list dropped. It can still start the call until the
 * deadline of its claim, and a started call takes up to `settleAfterMs` to be visible to the lookup. So both times add
 * up. An `unknown` record was written after the call had ended for its holder, so that only the second time counts.
 */
export function settleAt(
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

/** `askedAt` is the time before the lookup was sent; an answer to an earlier question proves nothing later. */
export function conclude(answer: ServiceAnswer, askedAt: number, settledFrom: number | undefined): Conclusion {
    if (answer.kind === "ran") {
        return { kind: "done", response: answer.response };
    }
    if (answer.kind === "absent" && settledFrom !== undefined && askedAt >= settledFrom) {
        return { kind: "not-run" };
    }
    return { kind: "open" };
}
