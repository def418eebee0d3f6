/** Waits for a promise with a deadline. */
import type * as clocks from "../clock/clock.js";

/** Passed to `abort()`, which otherwise creates an error and captures its stack trace on each call. */
const ABORT_REASON = "the wait has ended";

/** Resolves with the value, or with undefined if the deadline (monotonic ms) passes or the signal is aborted first. */
export async function withDeadline<Value>(
    clock: clocks.Clock,
    promise: Promise<Value>,
    deadline: number,
    signal?: AbortSignal,
): Promise<Value | undefined> {
    const timer = new AbortController();
    const stop = () => timer.abort(ABORT_REASON);
    signal?.addEventListener("abort", stop);
    if (signal?.aborted) {
        stop();
    }
    try {
        const expiry = clock.sleep(Math.max(0, deadline - clock.now()), timer.signal).then(() => undefined);
        return await Promise.race([promise, expiry]);
    }
    finally {
        signal?.removeEventListener("abort", stop);
        stop();
    }
}
