/** Decides whether a call is retried after a failed attempt. */
import type * as fleet from "../fleet/types.js";

/**
 * How an attempt failed.
 *
 * - `not-sent`: no connection was established, so the server did not receive the call.
 * - `unsendable`: the call cannot be expressed as a request, so no server could receive it.
 * - `not-executed`: the server states that it did not run the call.
 * - `broken`: the connection was lost, or the response was not valid for this call; the call may have run.
 * - `held-up`: as `broken`, after the server had to wait for a caller that reads slowly, which is no fault of the server.
 * - `silent`: no response within the timeout of the attempt; the call may still be running.
 * - `withdrawn`: the entry gave up the attempt, since calls like it crash servers; the server may have begun to run it.
 * - `server-failure`: the server responded with a 5xx status.
 */
export type AttemptFailure =
    | "not-sent"
    | "unsendable"
    | "not-executed"
    | "broken"
    | "held-up"
    | "silent"
    | "withdrawn"
    | "server-failure";

export interface AttemptHistory {
    readonly kind: fleet.CallKind;
    readonly isResumable: boolean;
    readonly maximumAttempts: number;
    /** Number of attempts that may have run, including the last one. */
    readonly executedAttempts: number;
    /** Number of attempts that reached no server or were rejected without being run. */
    readonly unexecutedAttempts: number;
    /** Time in milliseconds until the deadline of the call. */
    readonly remainingMs: number;
    /** Bytes of an answer that cannot be resumed have reached the caller. */
    readonly isRelayed: boolean;
    /** The retry budget of the service allows another request. */
    readonly hasRetryBudget: boolean;
}

/**
 * - `retry`: start another attempt.
 * - `fail-not-run`: fail the call and state that it has not run.
 * - `fail-unknown`: fail the call with unknown outcome.
 * - `pass-answer`: relay the failure response of the server.
 */
export type RetryDecision = "retry" | "fail-not-run" | "fail-unknown" | "pass-answer";

/**
 * Unexecuted attempts after which the call fails; more of them would only add load when all servers are full. A call that
 * has run gets more, since it cannot be refused as not run any more.
 */
const MAXIMUM_UNEXECUTED_ATTEMPTS = { beforeRun: 4, afterRun: 10 } as const;
/** Time in milliseconds below which another attempt cannot complete before the deadline. */
const MINIMUM_REMAINING_MS = 30;

/** Decides what follows the last attempt of the call. */
export function decide(failure: AttemptFailure, history: AttemptHistory): RetryDecision {
    return HANDLERS[failure](history);
}

const HANDLERS: Readonly<Record<AttemptFailure, (history: AttemptHistory) => RetryDecision>> = {
    "not-sent": history => decideUnexecuted(history, true),
    "unsendable": history => history.executedAttempts === 0 ? "fail-not-run" : "fail-unknown",
    "not-executed": history => decideUnexecuted(history, history.hasRetryBudget),
    "broken": history => canRunAgain(history) ? "retry" : "fail-unknown",
    "held-up": history => canRunAgain(history) ? "retry" : "fail-unknown",
    "silent": history => canRunAgain(history) ? "retry" : "fail-unknown",
    "withdrawn": () => "fail-unknown",
    "server-failure": history => canRunAgain(history) ? "retry" : "pass-answer",
};

function decideUnexecuted(history: AttemptHistory, isAllowed: boolean): RetryDecision {
    const limit = MAXIMUM_UNEXECUTED_ATTEMPTS[history.executedAttempts === 0 ? "beforeRun" : "afterRun"];
    const canRetry = isAllowed && history.unexecutedAttempts < limit && history.remainingMs > MINIMUM_REMAINING_MS;
    if (canRetry) {
        return "retry";
    }
    return history.executedAttempts === 0 ? "fail-not-run" : "fail-unknown";
}

function canRunAgain(history: AttemptHistory): boolean {
    return isRepeatable(history.kind, history.isResumable, history.remainingMs) && !history.isRelayed
        && history.executedAttempts < history.maximumAttempts && history.hasRetryBudget;
}

/** Whether a call that may have run can run again in the time that is left until its deadline. */
export function isRepeatable(kind: fleet.CallKind, isResumable: boolean, remainingMs: number): boolean {
    return (kind === "idempotent" || kind === "stream" && isResumable) && remainingMs > MINIMUM_REMAINING_MS;
}
