/** Decides at the entry how to continue after an attempt of a call that runs at most once. */
import * as catalogue from "../catalogue/failures.js";
import type * as failures from "../core/failure.js";

/** Shortest remaining time for another attempt: an agent needs about this long to read a record and write a claim. */
const MINIMUM_ATTEMPT_MS = 50;

/** How an attempt at an agent ended. */
export type AttemptOutcome =
    | { readonly kind: "answered"; }
    /** The agent could not be reached, and the request was not sent. */
    | { readonly kind: "not-sent"; readonly failure: failures.Failure; }
    /** The agent returned a failure. */
    | { readonly kind: "refused"; readonly failure: failures.Failure; }
    /** The connection broke or the deadline passed after the request may have reached the agent. */
    | { readonly kind: "lost"; readonly failure: failures.Failure; }
    /** Another agent was asked for the record of the call; `no-answer` when it did not respond. */
    | { readonly kind: "looked-up"; readonly state: LookupState; readonly retryAfterMs?: number; };

/** State of the record that a lookup returned; `none` when there is no record. */
export type LookupState = "none" | "claimed" | "done" | "not-run" | "unknown" | "no-answer";

/** What the previous attempts of a request have established. */
export interface AttemptHistory {
    /** An earlier request may have used a key of the caller, but not a key that was generated for this request. */
    readonly keyOrigin: "caller" | "generated";
    /** An attempt may still start: its response was lost, and no later claim prevents it. */
    readonly hasLostAttempt: boolean;
    /** A record proved that no call with the key had run, and no attempt has been lost since then. */
    readonly isProvedNotRun: boolean;
}

/** Limits on further attempts and lookups. */
export interface RetryConditions {
    /** Milliseconds until the deadline of the request. */
    readonly remainingMs: number;
    /** Number of agents that have not been tried yet. */
    readonly untriedAgents: number;
    /** The retry budget allows another attempt. */
    readonly mayRetry: boolean;
}

export type Decision =
    /** Return the response of the attempt or lookup to the caller. */
    | { readonly kind: "deliver"; }
    /** Send the request with the same key and the next attempt number to another agent. */
    | { readonly kind: "retry"; }
    /** Ask another agent for the record without running the call. */
    | { readonly kind: "lookup"; }
    /** Return the failure to the caller. */
    | { readonly kind: "refuse"; readonly failure: failures.Failure; };

/** A decision and the history that applies to the next one. */
export interface Transition {
    readonly decision: Decision;
    readonly history: AttemptHistory;
}

export function initialHistory(keyOrigin: AttemptHistory["keyOrigin"]): AttemptHistory {
    return { keyOrigin, hasLostAttempt: false, isProvedNotRun: false };
}

/**
 * Decides how to continue after an attempt or lookup.
 *
 * A retry is safe after every outcome, because the next agent has to claim the call before it runs it. Without a retry,
 * a failure with `execution: "not-run"` is returned only when a record proves it for the key, or when no attempt of
 * this request can run and no earlier request can have used the key.
 */
export function decide(history: AttemptHistory, outcome: AttemptOutcome, conditions: RetryConditions): Transition {
    return HANDLERS[outcome.kind](history, outcome as never, conditions);
}

const HANDLERS: {
    readonly [Kind in AttemptOutcome["kind"]]: (
        history: AttemptHistory,
        outcome: Extract<AttemptOutcome, { readonly kind: Kind; }>,
        conditions: RetryConditions,
    ) => Transition;
} = {
    "answered": history => ({ decision: { kind: "deliver" }, history }),
    "not-sent": (history, outcome, conditions) =>
        retryOr(history, conditions, () => strongestRefusal(history, outcome.failure)),
    "refused": afterRefusal,
    "lost": (history, outcome, conditions) => {
        const next = { ...history, hasLostAttempt: true, isProvedNotRun: false };
        return retryOr(next, conditions, () => {
            return canLookUp(conditions) ? { kind: "lookup" } : strongestRefusal(next, outcome.failure);
        });
    },
    "looked-up": afterLookup,
};

/** Failures that an agent returns only after reading or writing a record that shows that no call with the key ran. */
const NOT_RUN_PROOFS: ReadonlySet<failures.FailureKind> = new Set([
    "call-not-run",
    "earlier-call-not-run",
    "idempotency-group-full",
]);

function afterRefusal(
    history: AttemptHistory,
    outcome: Extract<AttemptOutcome, { readonly kind: "refused"; }>,
    conditions: RetryConditions,
): Transition {
    const definition: failures.FailureDefinition = catalogue.failures[outcome.failure.kind];
    if (definition.execution === "ran" || outcome.failure.kind === "idempotency-key-reused") {
        return { decision: { kind: "refuse", failure: outcome.failure }, history };
    }
    if (definition.execution === "unknown") {
        const next = { ...history, hasLostAttempt: true, isProvedNotRun: false };
        return { decision: strongestRefusal(next, outcome.failure), history: next };
    }
    const next = withNotRunProof(history, outcome.failure);
    // Every agent uses the same group, so another one would also find it full.
    return outcome.failure.kind === "idempotency-group-full"
        ? { decision: strongestRefusal(next, outcome.failure), history: next }
        : retryOr(next, conditions, () => strongestRefusal(next, outcome.failure));
}

/** Only `call-not-run` comes with a record that prevents lost earlier attempts of this request from running. */
function withNotRunProof(history: AttemptHistory, failure: failures.Failure): AttemptHistory {
    if (failure.kind === "call-not-run") {
        return { ...history, hasLostAttempt: false, isProvedNotRun: true };
    }
    return NOT_RUN_PROOFS.has(failure.kind) ? { ...history, isProvedNotRun: !history.hasLostAttempt } : history;
}

function afterLookup(
    history: AttemptHistory,
    outcome: Extract<AttemptOutcome, { readonly kind: "looked-up"; }>,
): Transition {
    if (outcome.state === "done") {
        return { decision: { kind: "deliver" }, history };
    }
    // In every other state, an attempt whose response was lost may still start after the record was read.
    return { decision: refuse("outcome-unknown", `record ${outcome.state}`, outcome.retryAfterMs), history };
}

function retryOr(history: AttemptHistory, conditions: RetryConditions, otherwise: () => Decision): Transition {
    const mayRetry = conditions.mayRetry && conditions.untriedAgents > 0
        && conditions.remainingMs >= MINIMUM_ATTEMPT_MS;
    return { decision: mayRetry ? { kind: "retry" } : otherwise(), history };
}

function canLookUp(conditions: RetryConditions): boolean {
    return conditions.untriedAgents > 0 && conditions.remainingMs >= MINIMUM_ATTEMPT_MS;
}

/** Returns the most specific failure that the history proves for the request. */
function strongestRefusal(history: AttemptHistory, failure: failures.Failure): Decision {
    if (history.hasLostAttempt) {
        return failure.kind === "outcome-unknown"
            ? { kind: "refuse", failure }
            : refuse("outcome-unknown", failure.kind, failure.retryAfterMs);
    }
    if (history.isProvedNotRun) {
        return NOT_RUN_PROOFS.has(failure.kind)
            ? { kind: "refuse", failure }
            : refuse("call-not-run", failure.kind, failure.retryAfterMs);
    }
    return history.keyOrigin === "generated"
        ? { kind: "refuse", failure }
        : refuse("repeat-unsettled", failure.kind, failure.retryAfterMs);
}

function refuse(kind: failures.FailureKind, detail: string, retryAfterMs: number | undefined): Decision {
    return { kind: "refuse", failure: retryAfterMs === undefined ? { kind, detail } : { kind, detail, retryAfterMs } };
}
