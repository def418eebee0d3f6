/** Deadlines as monotonic times. Processes exchange them as remaining milliseconds, since their clocks differ. */

/** Monotonic time at which a timeout that starts now expires. */
export function deadlineAfter(timeoutMs: number, now: number): number {
    return now + Math.max(0, timeoutMs);
}

/** Remaining milliseconds; 0 when the deadline has passed. */
export function remainingMs(deadline: number, now: number): number {
    return Math.max(0, deadline - now);
}

/** Timeout to send to another process: the remaining time less the network time of the reply, rounded down. */
export function forwardedTimeoutMs(deadline: number, now: number, networkMs: number): number {
    return Math.floor(remainingMs(deadline - networkMs, now));
}

/** Timeout of one attempt when `attemptsLeft` attempts share the remaining time. */
export function attemptTimeoutMs(deadline: number, now: number, attemptsLeft: number): number {
    return remainingMs(deadline, now) / Math.max(1, attemptsLeft);
}

/** Whether an attempt of the expected duration can finish before the deadline. */
export function canFinish(deadline: number, now: number, expectedMs: number): boolean {
    return now < deadline && expectedMs <= remainingMs(deadline, now);
}
