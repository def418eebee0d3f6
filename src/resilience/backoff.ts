/** Exponential backoff with full jitter. */

export interface BackoffPolicy {
    readonly firstMs: number;
    readonly longestMs: number;
}

/** Pause before a retry; `attempt` is 0 for the first. `random` is uniform in [0, 1). */
export function pause(policy: BackoffPolicy, attempt: number, random: number): number {
    const limit = Math.min(policy.longestMs, policy.firstMs * 2 ** Math.min(attempt, HIGHEST_EXPONENT));
    return LEAST_SHARE * limit + (1 - LEAST_SHARE) * limit * random;
}

/** Keeps a part of the pause certain, so that a retry never follows at once. */
const LEAST_SHARE = 0.1;

const HIGHEST_EXPONENT = 30;
