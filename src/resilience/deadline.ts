/** Deadlines. Between processes they travel as remaining milliseconds, since clocks differ. */

/** Monotonic time at which the remaining time of a request ends. */
export function deadlineAfter(remainingMs: number, now: number): number {
    return now + Math.max(0, remainingMs);
}

/** Milliseconds left; 0 when the deadline has passed. */
export function remaining(deadline: number, now: number): number {
    return Math.max(0, deadline - now);
}

/** Remaining time to send to another process: reduced by the time that its reply needs, rounded down. */
export function forwarded(deadline: number, now: number, networkMs: number): number {
    return Math.floor(remaining(deadline - networkMs, now));
}

/** Time for one attempt, when `attemptsLeft` of them share what remains. */
export function attemptTimeout(deadline: number, now: number, attemptsLeft: number): number {
    return remaining(deadline, now) / Math.max(1, attemptsLeft);
}

/** An attempt of the expected duration can end in time. */
export function allows(deadline: number, now: number, expectedMs: number): boolean {
    return now < deadline && expectedMs <= remaining(deadline, now);
}
