/** What follows an attempt that did not bring the answer. */
import type * as fleet from "../fleet/types.js";

/**
 * How an attempt ended.
 *
 * - `not-sent`: no connection was established, so the server never saw the call.
 * - `not-executed`: the server states that it did not run the call.
 * - `broken`: the connection ended, or the answer was no answer to this call; the call may have run.
 * - `silent`: no answer within the patience of the entry; the call may still run.
 * - `server-failure`: the server answered with a failure of its own.
 */
export type AttemptEnd = "not-sent" | "not-executed" | "broken" | "silent" | "server-failure";

export interface AttemptHistory {
    readonly kind: fleet.CallKind;
    readonly isResumable: boolean;
    readonly maximumAttempts: number;
    /** Attempts that may have run, the last one included if so. */
    readonly ran: number;
    /** Attempts that reached no server or were turned away. */
    readonly turnedAway: number;
    /** Time in milliseconds that is left for the call. */
    readonly remainingMs: number;
    /** The retry budget allows another arrival at the service. */
    readonly hasBudget: boolean;
}

/** `fail-not-run`: the caller may be told that the call has not run. */
export type Decision = "retry" | "fail-not-run" | "fail-unknown" | "pass-answer";

/** Attempts that are turned away, after which the call goes back to its caller; more would only load a full fleet. */
const MAXIMUM_TURNED_AWAY = 4;
/** A new attempt with less time in milliseconds cannot be answered. */
const LEAST_REMAINING_MS = 30;

export function decide(end: AttemptEnd, history: AttemptHistory): Decision {
    return HANDLERS[end](history);
}

const HANDLERS: Readonly<Record<AttemptEnd, (history: AttemptHistory) => Decision>> = {
    "not-sent": history => retryTurnedAway(history, true),
    "not-executed": history => retryTurnedAway(history, history.hasBudget),
    "broken": history => mayRunAgain(history) ? "retry" : "fail-unknown",
    "silent": history => mayRunAgain(history) ? "retry" : "fail-unknown",
    "server-failure": history => mayRunAgain(history) ? "retry" : "pass-answer",
};

function retryTurnedAway(history: AttemptHistory, isAllowed: boolean): Decision {
    const canRetry = isAllowed && history.turnedAway < MAXIMUM_TURNED_AWAY && history.remainingMs > LEAST_REMAINING_MS;
    if (canRetry) {
        return "retry";
    }
    return history.ran === 0 ? "fail-not-run" : "fail-unknown";
}

function mayRunAgain(history: AttemptHistory): boolean {
    const isRepeatable = history.kind === "idempotent" || history.kind === "stream" && history.isResumable;
    return isRepeatable && history.ran < history.maximumAttempts && history.hasBudget
        && history.remainingMs > LEAST_REMAINING_MS;
}
