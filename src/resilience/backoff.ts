/** Exponential backoff with jitter. */

export interface BackoffPolicy {
    /** Upper limit of the first delay in milliseconds. */
    readonly initialMs: number;
    /** Upper limit of every delay in milliseconds. */
    readonly maximumMs: number;
}

/** Delay before a retry in milliseconds; `attempt` is 0 for the first retry. `random` is uniform in [0, 1). */
export function delayMs(policy: BackoffPolicy, attempt: number, random: number): number {
    const limitMs = Math.min(policy.maximumMs, policy.initialMs * 2 ** Math.min(attempt, MAXIMUM_EXPONENT));
    return MINIMUM_DELAY_RATIO * limitMs + (1 - MINIMUM_DELAY_RATIO) * limitMs * random;
}

/** Part of the delay that is not randomized, so that a retry never follows immediately. */
const MINIMUM_DELAY_RATIO = 0.1;

const MAXIMUM_EXPONENT = 30;
