/** Until when the start of a call is of use to its caller, and which of two calls of a rank starts first. */
import type * as fleet from "../fleet/types.js";

/** Time in milliseconds before a caller abandons a stream by which its next event has to be on the way. */
const NEXT_EVENT_MARGIN_MS = 250;
/** Time in milliseconds before its deadline by which another answer has to be on the way. */
const ANSWER_MARGIN_MS = 30;

/** Share of a call's time after which its caller needs the rest for another try. */
const LAST_START_SHARE = 0.7;

/** What the caller of a call expects. */
export interface TimedCall {
    readonly kind: fleet.CallKind;
    readonly arrivedAt: number;
    readonly deadlineAt: number;
    /** Time at which the caller abandons the call if no event reaches it. */
    readonly abandonedAt: number;
    readonly targetLatencyMs: number;
}

/** Expected time in milliseconds that a server takes for a call. */
export interface ServiceTimes {
    /** Until the first event, or until the answer of a call that is no stream. */
    readonly firstMs: number;
    /** Until the end of the answer. */
    readonly wholeMs: number;
}

export interface StartTimes {
    /** Last start in milliseconds with which the call meets its latency target. */
    readonly onTimeUntil: number;
    /** Last start in milliseconds with which its caller still gets the answer, or can still retry if there is none. */
    readonly usefulUntil: number;
    /** Expected time in milliseconds that a server takes for the call. */
    readonly callMs: number;
}

export function startTimes(call: TimedCall, service: ServiceTimes): StartTimes {
    const isStream = call.kind === "stream";
    const wholeUntil = call.deadlineAt - service.wholeMs - ANSWER_MARGIN_MS;
    const retryUntil = call.arrivedAt + LAST_START_SHARE * (call.deadlineAt - call.arrivedAt);
    const firstUntil = call.abandonedAt - service.firstMs - NEXT_EVENT_MARGIN_MS;
    return {
        onTimeUntil: call.arrivedAt + call.targetLatencyMs - service.firstMs,
        usefulUntil: Math.min(wholeUntil, retryUntil, isStream ? firstUntil : wholeUntil),
        callMs: service.wholeMs,
    };
}

/**
 * Order of two calls of the same rank, negative if the left one starts first: those that can still be on time, in the
 * order of their last starts on time, and then those that are late anyhow.
 */
export function compareStarts(left: StartTimes, right: StartTimes, now: number): number {
    const isLeftLate = now > left.onTimeUntil;
    const isRightLate = now > right.onTimeUntil;
    if (isLeftLate !== isRightLate) {
        return isLeftLate ? 1 : -1;
    }
    return isLeftLate ? left.usefulUntil - right.usefulUntil : left.onTimeUntil - right.onTimeUntil;
}
