/** Decides after each attempt whether the request ends or is retried. Pure functions. */
import * as catalogue from "../catalogue/failures.js";
import type * as failures from "../core/failure.js";
import type * as types from "./types.js";

/** How a request continues after a failure. `any-server` selects a server without excluding the failed one. */
export type Reaction = "other-server" | "same-server" | "any-server" | "give-up";

/** Outcome of one attempt. */
export type AttemptOutcome =
    | { readonly kind: "complete"; readonly ended: types.Ended; }
    | { readonly kind: "redirected"; readonly address: string; }
    | { readonly kind: "failed"; readonly failure: failures.Failure; }
    /** No server could be selected, or the request is no longer authorized. */
    | { readonly kind: "refused"; readonly failure: failures.Failure; }
    /** The deadline passed, the caller disconnected or the key was revoked; the request is not retried. */
    | { readonly kind: "stopped"; readonly failure: failures.Failure; };

/** What is known about an attempt when it ends. */
export interface AttemptSummary {
    /** Address of the agent; empty when no server was selected. */
    readonly server: string;
    /** Whether the request may have reached a server. */
    readonly sent: boolean;
    /** Whether the server reported the start or a token. */
    readonly running: boolean;
    readonly promptTokens: number;
    readonly cachedTokens: number;
}

/** State of a request between two attempts. `AttemptPlan` documents the members that the two types share. */
export interface Progress {
    /** Number of the next attempt, starting at 1. */
    readonly attempt: number;
    /** Retries made after failures; redirects are not counted. */
    readonly retries: number;
    readonly redirected: boolean;
    readonly excluded: ReadonlySet<string>;
    readonly disconnected: ReadonlySet<string>;
    readonly preferred?: string;
    readonly previousFailure?: failures.Failure;
    /** Whether any attempt may have run; the request must then not be reported as `not-run` after a later refusal. */
    readonly mayHaveRun: boolean;
    readonly lostConnection: types.LostConnection;
    readonly flaggedAsSuspect: boolean;
}

export interface Limits {
    readonly maximumRetries: number;
    /** Consumes one retry from the budget of the failed server. Returns false when the budget is exhausted. */
    readonly tryRetry: (failedServer: string) => boolean;
}

export type Decision =
    | { readonly kind: "next-attempt"; readonly progress: Progress; }
    | { readonly kind: "finish"; readonly result: types.Result; };

export const initialProgress: Progress = {
    attempt: 1,
    retries: 0,
    redirected: false,
    excluded: new Set(),
    disconnected: new Set(),
    mayHaveRun: false,
    lostConnection: "none",
    flaggedAsSuspect: false,
};

/** Returns how to continue after a failure of one server. */
export function react(failure: failures.Failure): Reaction {
    const special = SPECIAL_REACTIONS[failure.kind];
    if (special !== undefined) {
        return special;
    }
    return catalogue.failures[failure.kind].retry === "never" ? "give-up" : "other-server";
}

/**
 * Decides whether the request finishes or continues with another attempt. `delivered` is the number of tokens that the
 * caller has received.
 */
export function decide(
    progress: Progress,
    summary: AttemptSummary,
    end: AttemptOutcome,
    delivered: number,
    limits: Limits,
): Decision {
    const updated = { ...progress, mayHaveRun: progress.mayHaveRun || attemptMayHaveRun(summary, end) };
    if (end.kind === "complete") {
        return finish({ ok: true, value: completion(progress, summary, end.ended) });
    }
    if (end.kind === "redirected") {
        return nextAttempt({ ...updated, redirected: true, preferred: end.address, previousFailure: undefined });
    }
    const interruptedResult = finish({ ok: false, failure: interruption(updated, end, delivered) });
    const reaction = end.kind === "failed" ? react(end.failure) : "give-up";
    if (reaction === "give-up" || progress.retries >= limits.maximumRetries) {
        return interruptedResult;
    }
    // Checked last, so that a retry that is not made does not consume the budget.
    if (reaction === "other-server" && !limits.tryRetry(summary.server)) {
        return interruptedResult;
    }
    const lostConnection = LOST_CONNECTIONS[end.failure.kind] ?? "none";
    return nextAttempt({
        ...updated,
        retries: progress.retries + 1,
        excluded: reaction === "other-server" ? new Set([...progress.excluded, summary.server]) : progress.excluded,
        preferred: reaction === "same-server" ? summary.server : undefined,
        previousFailure: end.failure,
        disconnected: lostConnection === "agent"
            ? new Set([...progress.disconnected, summary.server])
            : progress.disconnected,
        lostConnection: moreSevere(progress.lostConnection, lostConnection),
        flaggedAsSuspect: progress.flaggedAsSuspect || SUSPECT_FAILURES.has(end.failure.kind),
    });
}

function nextAttempt(progress: Progress): Decision {
    return { kind: "next-attempt", progress: { ...progress, attempt: progress.attempt + 1 } };
}

function finish(result: types.Result): Decision {
    return { kind: "finish", result };
}

function completion(progress: Progress, summary: AttemptSummary, ended: types.Ended): types.Completion {
    return {
        count: ended.count,
        reason: ended.reason,
        promptTokens: summary.promptTokens,
        cachedTokens: summary.cachedTokens,
        attempts: progress.attempt,
        server: summary.server,
    };
}

/** Returns false only if the attempt was not sent, or ended before running in a way that guarantees it did not run. */
function attemptMayHaveRun(summary: AttemptSummary, end: AttemptOutcome): boolean {
    if (end.kind === "complete" || summary.running) {
        return true;
    }
    if (!summary.sent || end.kind === "redirected" || end.kind === "refused") {
        return false;
    }
    return end.kind === "stopped" || catalogue.failures[end.failure.kind].execution !== "not-run";
}

function interruption(
    progress: Progress,
    end: Extract<AttemptOutcome, { readonly failure: failures.Failure; }>,
    delivered: number,
): types.Interruption {
    const definition = catalogue.failures[end.failure.kind];
    const claimsNotRun = definition.execution === "not-run";
    // If an earlier attempt may have run, a `not-run` failure would be misleading and is replaced. Failures that must
    // not be retried keep their kind, so that the caller does not send the request again.
    const isMisleading = claimsNotRun && progress.mayHaveRun && definition.retry !== "never" && end.kind !== "stopped";
    const failure = isMisleading ? interrupted(end.failure, delivered) : end.failure;
    const executionIfRun = claimsNotRun ? "unknown" : definition.execution;
    const execution = progress.mayHaveRun ? executionIfRun : "not-run";
    return { failure, execution, delivered, attempts: progress.attempt };
}

function interrupted(cause: failures.Failure, delivered: number): failures.Failure {
    const detail = `after ${delivered} tokens: ${cause.kind}: ${cause.detail}`;
    return { kind: "stream-interrupted", detail, retryAfterMs: cause.retryAfterMs };
}

function moreSevere(left: types.LostConnection, right: types.LostConnection): types.LostConnection {
    return CONNECTION_SEVERITIES[left] >= CONNECTION_SEVERITIES[right] ? left : right;
}

const CONNECTION_SEVERITIES: Readonly<Record<types.LostConnection, number>> = { none: 0, agent: 1, engine: 2 };

/** Failures that report a lost connection, after which the request may have crashed the server. */
const LOST_CONNECTIONS: Readonly<Record<string, types.LostConnection>> = {
    "engine-connection-lost": "engine",
    "peer-connection-lost": "agent",
    "stream-incomplete": "agent",
};

/** Failures by which an agent reports the request as a crash suspect. */
const SUSPECT_FAILURES: ReadonlySet<string> = new Set(["request-suspected", "suspect-withdrawn"]);

const SPECIAL_REACTIONS: Readonly<Record<string, Reaction>> = {
    // Before the next attempt, the entry adopts the newer configuration and reauthorizes the request.
    "configuration-stale": "same-server",
    "deadline-exceeded": "give-up",
    // Not a fault of the server, which may also be the one that all entries select for the trial run.
    "request-suspected": "any-server",
    "suspect-withdrawn": "any-server",
};
