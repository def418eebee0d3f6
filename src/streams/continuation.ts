/** Decides after each attempt whether the request ends or continues on a server. Pure. */
import * as catalogue from "../catalogue/failures.js";
import type * as failures from "../core/failure.js";
import type * as types from "./types.js";

/** `again` selects a server anew and speaks against none. */
export type Reaction = "other-server" | "same-server" | "again" | "give-up";

/** How one attempt ended. */
export type AttemptEnd =
    | { readonly kind: "complete"; readonly ended: types.Ended; }
    | { readonly kind: "redirected"; readonly address: string; }
    | { readonly kind: "failed"; readonly failure: failures.Failure; }
    /** No server was selected, or the request is no longer allowed. */
    | { readonly kind: "refused"; readonly failure: failures.Failure; }
    /** Deadline, caller gone or key revoked: no further attempt makes sense. */
    | { readonly kind: "stopped"; readonly failure: failures.Failure; };

/** What an attempt did before it ended. */
export interface Trace {
    /** Empty when no server was selected. */
    readonly server: string;
    /** The request may have reached a server. */
    readonly sent: boolean;
    /** The server reported the start or a token. */
    readonly running: boolean;
    readonly promptTokens: number;
    readonly cachedTokens: number;
}

/** State of a request between two attempts. */
export interface Progress {
    readonly attempt: number;
    readonly retries: number;
    readonly redirected: boolean;
    readonly excluded: ReadonlySet<string>;
    readonly disconnected: ReadonlySet<string>;
    readonly preferred?: string;
    readonly previous?: failures.Failure;
    /** An attempt may have had an effect, so that no later refusal may say "not run". */
    readonly mayHaveRun: boolean;
    readonly loss: types.Loss;
    readonly toldSuspect: boolean;
}

export interface Limits {
    readonly maximumRetries: number;
    /** Takes one retry from the budget of the server that failed; false when the budget is used up. */
    readonly takeRetry: (failedServer: string) => boolean;
}

export type Next =
    | { readonly kind: "again"; readonly progress: Progress; }
    | { readonly kind: "finish"; readonly result: types.Result; };

export const initialProgress: Progress = {
    attempt: 1,
    retries: 0,
    redirected: false,
    excluded: new Set(),
    disconnected: new Set(),
    mayHaveRun: false,
    loss: "none",
    toldSuspect: false,
};

/** Reaction to a failure of one server. */
export function react(failure: failures.Failure): Reaction {
    const special = SPECIAL_REACTIONS[failure.kind];
    if (special !== undefined) {
        return special;
    }
    return catalogue.failures[failure.kind].retry === "never" ? "give-up" : "other-server";
}

/** `delivered` is the number of tokens that the caller has. */
export function next(
    progress: Progress,
    trace: Trace,
    end: AttemptEnd,
    delivered: number,
    limits: Limits,
): Next {
    const seen = { ...progress, mayHaveRun: progress.mayHaveRun || attemptMayHaveRun(trace, end) };
    if (end.kind === "complete") {
        return finish({ ok: true, value: completion(progress, trace, end.ended) });
    }
    if (end.kind === "redirected") {
        return again({ ...seen, redirected: true, preferred: end.address, previous: undefined });
    }
    const interrupted = finish({ ok: false, failure: interruption(seen, end, delivered) });
    const reaction = end.kind === "failed" ? react(end.failure) : "give-up";
    if (reaction === "give-up" || progress.retries >= limits.maximumRetries) {
        return interrupted;
    }
    // Taken last: a retry that is not made must not use the budget up.
    if (reaction === "other-server" && !limits.takeRetry(trace.server)) {
        return interrupted;
    }
    const loss = LOSSES[end.failure.kind] ?? "none";
    return again({
        ...seen,
        retries: progress.retries + 1,
        excluded: reaction === "other-server" ? new Set([...progress.excluded, trace.server]) : progress.excluded,
        preferred: reaction === "same-server" ? trace.server : undefined,
        previous: end.failure,
        disconnected: loss === "agent" ? new Set([...progress.disconnected, trace.server]) : progress.disconnected,
        loss: worse(progress.loss, loss),
        toldSuspect: progress.toldSuspect || SUSPICIONS.has(end.failure.kind),
    });
}

function again(progress: Progress): Next {
    return { kind: "again", progress: { ...progress, attempt: progress.attempt + 1 } };
}

function finish(result: types.Result): Next {
    return { kind: "finish", result };
}

function completion(progress: Progress, trace: Trace, ended: types.Ended): types.Completion {
    return {
        count: ended.count,
        reason: ended.reason,
        promptTokens: trace.promptTokens,
        cachedTokens: trace.cachedTokens,
        attempts: progress.attempt,
        server: trace.server,
    };
}

/** An attempt had no effect only when nothing of it ran and its failure says so. */
function attemptMayHaveRun(trace: Trace, end: AttemptEnd): boolean {
    if (end.kind === "complete" || trace.running) {
        return true;
    }
    if (!trace.sent || end.kind === "redirected" || end.kind === "refused") {
        return false;
    }
    return end.kind === "stopped" || catalogue.failures[end.failure.kind].execution !== "not-run";
}

function interruption(
    progress: Progress,
    end: Extract<AttemptEnd, { readonly failure: failures.Failure; }>,
    delivered: number,
): types.Interruption {
    const definition = catalogue.failures[end.failure.kind];
    const claimsNotRun = definition.execution === "not-run";
    // A refusal after an earlier attempt would claim that the request did not run. Failures that forbid a retry keep
    // their kind, since the caller must learn not to send the request again.
    const untrue = claimsNotRun && progress.mayHaveRun && definition.retry !== "never" && end.kind !== "stopped";
    const failure = untrue ? interrupted(end.failure, delivered) : end.failure;
    const afterRun = claimsNotRun ? "unknown" : definition.execution;
    const execution = progress.mayHaveRun ? afterRun : "not-run";
    return { failure, execution, delivered, attempts: progress.attempt };
}

function interrupted(cause: failures.Failure, delivered: number): failures.Failure {
    const detail = `after ${delivered} tokens: ${cause.kind}: ${cause.detail}`;
    return { kind: "stream-interrupted", detail, retryAfterMs: cause.retryAfterMs };
}

function worse(left: types.Loss, right: types.Loss): types.Loss {
    return LOSS_ORDER[left] >= LOSS_ORDER[right] ? left : right;
}

const LOSS_ORDER: Readonly<Record<types.Loss, number>> = { none: 0, agent: 1, engine: 2 };

/** Failures after which a server may have crashed because of the request. */
const LOSSES: Readonly<Record<string, types.Loss>> = {
    "engine-connection-lost": "engine",
    "peer-connection-lost": "agent",
    "stream-incomplete": "agent",
};

const SUSPICIONS: ReadonlySet<string> = new Set(["request-suspected", "suspect-withdrawn"]);

const SPECIAL_REACTIONS: Readonly<Record<string, Reaction>> = {
    // The entry adopts the configuration and authorizes the request again before it opens the next attempt.
    "configuration-stale": "same-server",
    "deadline-exceeded": "give-up",
    // The server is not at fault and may be the one that all entries choose for the trial.
    "request-suspected": "again",
    "suspect-withdrawn": "again",
};
