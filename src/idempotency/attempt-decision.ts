/** Decides at the entry what follows the end of one attempt of a call that runs at most once. */
import * as catalogue from "../catalogue/failures.js";
import type * as failures from "../core/failure.js";

/** An agent needs about this time in milliseconds to read a record and to write a claim. */
const SHORTEST_ATTEMPT_MS = 50;

/** How an attempt at an agent ended. */
export type AttemptEnd =
    | { readonly kind: "answered"; }
    /** The agent was not reached; the request was never sent. */
    | { readonly kind: "not-sent"; readonly failure: failures.Failure; }
    /** The agent answered with a failure. */
    | { readonly kind: "refused"; readonly failure: failures.Failure; }
    /** The request may have reached the agent; the connection broke or the time ran out. */
    | { readonly kind: "lost"; readonly failure: failures.Failure; }
    /** Another agent was asked for the record; `no-answer` when it did not answer. */
    | { readonly kind: "looked-up"; readonly state: LookupState; readonly retryAfterMs?: number; };

export type LookupState = "none" | "claimed" | "done" | "not-run" | "unknown" | "no-answer";

/** What the entry knows from the earlier attempts of the request. */
export interface History {
    /** A key of the caller may have been used by an earlier request; a key generated for this request was not. */
    readonly keyOrigin: "caller" | "generated";
    /** An attempt may still start, since its answer was lost and no later claim excludes it. */
    readonly hasLostAttempt: boolean;
    /** A record proved that no call with the key had run, and no attempt was lost since. */
    readonly isProvedNotRun: boolean;
}

/** What the entry can still do. */
export interface Options {
    readonly remainingMs: number;
    /** Number of agents that were not tried yet. */
    readonly otherAgents: number;
    /** The retry budget allows another attempt. */
    readonly mayRetry: boolean;
}

export type Decision =
    /** Deliver the response of the attempt or of the lookup. */
    | { readonly kind: "deliver"; }
    /** Send the request with the same key and the next attempt number to another agent. */
    | { readonly kind: "retry"; }
    /** Ask another agent for the record without running the call. */
    | { readonly kind: "lookup"; }
    | { readonly kind: "refuse"; readonly failure: failures.Failure; };

export interface Step {
    readonly decision: Decision;
    readonly history: History;
}

export function initialHistory(keyOrigin: History["keyOrigin"]): History {
    return { keyOrigin, hasLostAttempt: false, isProvedNotRun: false };
}

/**
 * A retry is safe after each end, since the claim of the next agent excludes that the call runs twice. Without a retry,
 * `not-run` is answered only when it is proved for the key, or when no attempt of this request can run and no earlier
 * request can have used the key.
 */
export function decide(history: History, end: AttemptEnd, options: Options): Step {
    return HANDLERS[end.kind](history, end as never, options);
}

const HANDLERS: {
    readonly [Kind in AttemptEnd["kind"]]: (
        history: History,
        end: Extract<AttemptEnd, { readonly kind: Kind; }>,
        options: Options,
    ) => Step;
} = {
    "answered": history => ({ decision: { kind: "deliver" }, history }),
    "not-sent": (history, end, options) => retryOr(history, options, () => refusal(history, end.failure)),
    "refused": afterRefusal,
    "lost": (history, end, options) => {
        const next = { ...history, hasLostAttempt: true, isProvedNotRun: false };
        return retryOr(next, options, () => {
            return canLookUp(options) ? { kind: "lookup" } : refusal(next, end.failure);
        });
    },
    "looked-up": afterLookup,
};

/** Failures of agents that read or wrote the record and found that no call with the key had run. */
const PROOFS: ReadonlySet<failures.FailureKind> = new Set([
    "call-not-run",
    "earlier-call-not-run",
    "idempotency-group-full",
]);

function afterRefusal(
    history: History,
    end: Extract<AttemptEnd, { readonly kind: "refused"; }>,
    options: Options,
): Step {
    const definition: failures.FailureDefinition = catalogue.failures[end.failure.kind];
    if (definition.execution === "ran" || end.failure.kind === "idempotency-key-reused") {
        return { decision: { kind: "refuse", failure: end.failure }, history };
    }
    if (definition.execution === "unknown") {
        const next = { ...history, hasLostAttempt: true, isProvedNotRun: false };
        return { decision: refusal(next, end.failure), history: next };
    }
    const next = withProof(history, end.failure);
    // Another agent would find the group as full.
    return end.failure.kind === "idempotency-group-full"
        ? { decision: refusal(next, end.failure), history: next }
        : retryOr(next, options, () => refusal(next, end.failure));
}

/** Only the record of `call-not-run` also excludes the lost earlier attempts of this request. */
function withProof(history: History, failure: failures.Failure): History {
    if (failure.kind === "call-not-run") {
        return { ...history, hasLostAttempt: false, isProvedNotRun: true };
    }
    return PROOFS.has(failure.kind) ? { ...history, isProvedNotRun: !history.hasLostAttempt } : history;
}

function afterLookup(
    history: History,
    end: Extract<AttemptEnd, { readonly kind: "looked-up"; }>,
): Step {
    if (end.state === "done") {
        return { decision: { kind: "deliver" }, history };
    }
    // An attempt whose answer was lost may start after any other state was read.
    return { decision: refuse("outcome-unknown", `record ${end.state}`, end.retryAfterMs), history };
}

function retryOr(history: History, options: Options, otherwise: () => Decision): Step {
    const mayRetry = options.mayRetry && options.otherAgents > 0 && options.remainingMs >= SHORTEST_ATTEMPT_MS;
    return { decision: mayRetry ? { kind: "retry" } : otherwise(), history };
}

function canLookUp(options: Options): boolean {
    return options.otherAgents > 0 && options.remainingMs >= SHORTEST_ATTEMPT_MS;
}

/** The strongest true statement about the request. */
function refusal(history: History, failure: failures.Failure): Decision {
    if (history.hasLostAttempt) {
        return failure.kind === "outcome-unknown"
            ? { kind: "refuse", failure }
            : refuse("outcome-unknown", failure.kind, failure.retryAfterMs);
    }
    if (history.isProvedNotRun) {
        return PROOFS.has(failure.kind)
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
