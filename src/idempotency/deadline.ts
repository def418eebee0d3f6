/** Waits that end at a deadline. */
import type * as clock from "../clock/clock.js";

/** A reason of its own saves the stack trace that each abort without one records. */
const ENDED = "the wait has ended";

/** Resolves with the value, or with undefined when the deadline passes or the signal is aborted first. */
export async function before<Value>(
    time: clock.Clock,
    promise: Promise<Value>,
    deadline: number,
    signal?: AbortSignal,
): Promise<Value | undefined> {
    const timer = new AbortController();
    const stop = () => timer.abort(ENDED);
    signal?.addEventListener("abort", stop);
    if (signal?.aborted) {
        stop();
    }
    try {
        const expiry = time.sleep(Math.max(0, deadline - time.now()), timer.signal).then(() => undefined);
        return await Promise.race([promise, expiry]);
    }
    finally {
        signal?.removeEventListener("abort", stop);
        stop();
    }
}
