/** Decides how long a call waits for a server. */
import type * as fleet from "../fleet/types.js";

/** Longest wait of a call that has not run, as a share of the time from its arrival to its deadline. */
const QUEUE_WAIT_SHARE = 0.4;
/** Longest wait in milliseconds of a call that has not run. */
const MAXIMUM_QUEUE_WAIT_MS = 1000;
/**
 * Callers abandon a stream after a gap of this many milliseconds, or of so many times its latency target or its target
 * gap, whichever is longest.
 */
const ABANDON_GAP_MS = 2000;
const ABANDON_LATENCY_TARGETS = 4;
const ABANDON_GAP_TARGETS = 8;
/** Time in milliseconds before a caller abandons a stream by which its next event has to be on the way. */
const NEXT_EVENT_MARGIN_MS = 250;

export interface WaitingCall {
    readonly kind: fleet.CallKind;
    readonly arrivedAt: number;
    readonly deadlineAt: number;
    /** Number of attempts that may have run. */
    readonly executedAttempts: number;
    /** Time of the last event that the caller received; the arrival before the first one. */
    readonly lastProgressAt: number;
    readonly targetLatencyMs: number;
    /** Longest pause between events for which a stream is on time; 0 for other calls. */
    readonly targetGapMs: number;
}

/**
 * Time until which the call waits for a server.
 *
 * A call that has not run is refused early, so that its caller can return while it still has time. A call that has run
 * cannot be refused that way: it waits for as long as its caller does, since a failure is all that is left for it.
 */
export function waitEndsAt(call: WaitingCall, now: number): number {
    if (call.executedAttempts > 0) {
        return Math.max(now, Math.min(call.deadlineAt, abandonedAt(call)) - NEXT_EVENT_MARGIN_MS);
    }
    const waitMs = Math.min(MAXIMUM_QUEUE_WAIT_MS, QUEUE_WAIT_SHARE * (call.deadlineAt - call.arrivedAt));
    return Math.max(now, call.arrivedAt + waitMs);
}

/** Time at which the caller abandons the call if no event reaches it. */
export function abandonedAt(call: Omit<WaitingCall, "arrivedAt" | "executedAttempts">): number {
    if (call.kind !== "stream") {
        return call.deadlineAt;
    }
    const gapMs = Math.max(
        ABANDON_GAP_MS,
        ABANDON_LATENCY_TARGETS * call.targetLatencyMs,
        ABANDON_GAP_TARGETS * call.targetGapMs,
    );
    return call.lastProgressAt + gapMs;
}
