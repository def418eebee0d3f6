/** Decides whether an attempt goes on at a server that sends nothing: it may be gone, or busy with other calls. */

/** Time in milliseconds before the caller abandons the call at which another server is tried at the latest. */
const RETRY_BEFORE_MS = 700;
/** Interval in milliseconds at which a server that is busy is checked. */
const CHECK_INTERVAL_MS = 300;

export interface SilentAttempt {
    /** The process beside the server states that it works. */
    readonly isReportedAlive: boolean;
    /** Time at which the caller abandons the call if no event reaches it. */
    readonly abandonedAt: number;
}

export type SilenceDecision =
    | { readonly kind: "wait"; readonly checkInMs: number; }
    | { readonly kind: "abandon"; readonly isServerBusy: boolean; };

/**
 * A server that works is waited for until another one has to be tried: what it has read of the prompt would be lost, and
 * another server would have to read it as well, while both are short of time.
 */
export function decide({ isReportedAlive, abandonedAt }: SilentAttempt, now: number): SilenceDecision {
    const remainingMs = abandonedAt - RETRY_BEFORE_MS - now;
    if (isReportedAlive && remainingMs > 0) {
        return { kind: "wait", checkInMs: Math.min(CHECK_INTERVAL_MS, remainingMs) };
    }
    return { kind: "abandon", isServerBusy: isReportedAlive };
}
