/** Decides with which failure a call ends that no server runs, and when its caller is to retry. */
import type * as failure from "../core/failure.js";
import type * as placement from "../placement/types.js";
import type * as callPlacements from "./call-placement.js";

/** Retry delay in milliseconds for the caller, by the reason why no server is available. */
const RETRY_AFTER_MS: Readonly<Record<UnplacedReason, number>> = {
    "no-server": 500,
    "all-suspected": 400,
    "all-outdated": 500,
    "all-moving": 300,
    "all-limited": 500,
    "all-cold": 300,
    "all-evacuated": 1000,
    "all-outside-homes": 1000,
    "all-paused": 300,
    "all-full": 400,
    "on-trial": 400,
};

export type UnplacedReason = placement.UnplacedReason | "on-trial";

/** How a call ends that no server runs. */
export interface CallRefusal {
    readonly failure: failure.FailureKind;
    readonly detail: string;
    readonly retryAfterMs: number | undefined;
    /** The call has not run, so that its customer gets the charge back. */
    readonly refunds: boolean;
    /** Expected wait in milliseconds behind the other calls, if it was known. */
    readonly expectedWaitMs?: number | undefined;
}

/**
 * Refusal of a call for which no server was found. `pauseMs` is the time in milliseconds for which no server takes calls,
 * if known.
 */
export function unplaced(reason: UnplacedReason, executedAttempts: number, pauseMs = 0): CallRefusal {
    return executedAttempts === 0
        ? notRun("no-server-available", reason, pauseMs + RETRY_AFTER_MS[reason])
        : unknown(`no server for another attempt: ${reason}`);
}

/** Refusal of a call while calls like it are suspected of crashing servers. */
export function quarantined(
    { fingerprint, retryAfterMs }: callPlacements.Placement & { readonly kind: "quarantined"; },
    executedAttempts: number,
): CallRefusal {
    return executedAttempts === 0
        ? notRun("call-quarantined", fingerprint, retryAfterMs)
        : unknown(`calls like it crash servers: ${fingerprint}`);
}

/**
 * Refusal of a call at its deadline, `elapsedMs` after its arrival. `retryAfterMs` is undefined for a call whose body has
 * not arrived.
 */
export function atDeadline(elapsedMs: number, mayHaveRun: boolean, retryAfterMs: number | undefined): CallRefusal {
    const detail = `after ${Math.round(elapsedMs)} ms`;
    if (retryAfterMs === undefined) {
        return { failure: "call-upload-timed-out", detail, retryAfterMs, refunds: false };
    }
    return mayHaveRun
        ? { failure: "call-timed-out", detail, retryAfterMs: undefined, refunds: false }
        : notRun("no-server-available", "no server before the deadline of the call", retryAfterMs);
}

function notRun(kind: failure.FailureKind, detail: string, retryAfterMs: number): CallRefusal {
    return { failure: kind, detail, retryAfterMs, refunds: true };
}

function unknown(detail: string): CallRefusal {
    return { failure: "call-outcome-unknown", detail, retryAfterMs: undefined, refunds: false };
}
