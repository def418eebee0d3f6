/**
 * Retry budget per entry and backend server.
 *
 * Retries are limited to a ratio of the requests, so that they can't multiply the load of a failing server. A minimum
 * rate permits retries at entries with little traffic. Times are monotonic milliseconds.
 */

/** Limits of the retries. */
export interface RetryPolicy {
    /** Retries per request within the window. */
    readonly retryRatio: number;
    /** Retries that are allowed in each second regardless of the ratio. */
    readonly minimumPerSecond: number;
    /** Additional retries per window beyond the ratio. */
    readonly extraPerWindow: number;
}

const DEFAULT_POLICY: RetryPolicy = { retryRatio: 0.1, minimumPerSecond: 3, extraPerWindow: 0 };
const WINDOW_MS = 10_000;
const BUCKET_MS = 1000;

/** Counts of one second. */
interface Bucket {
    /** Start time in milliseconds. */
    readonly start: number;
    requests: number;
    retries: number;
}

export class RetryBudget {
    private buckets: Bucket[] = [];

    constructor(private policy: RetryPolicy = DEFAULT_POLICY) {}

    setPolicy(policy: RetryPolicy): void {
        this.policy = policy;
    }

    /** Counts the first attempt of a request. */
    recordRequest(now: number): void {
        this.currentBucket(now).requests++;
    }

    /** Consumes one retry of the budget; false when the budget is exhausted. */
    tryRetry(now: number): boolean {
        if (!this.canRetry(now)) {
            return false;
        }
        this.currentBucket(now).retries++;
        return true;
    }

    /** Whether the budget allows a retry now, without consuming it. */
    canRetry(now: number): boolean {
        const isWithinMinimum = this.currentBucket(now).retries < this.policy.minimumPerSecond;
        const requests = this.buckets.reduce((sum, bucket) => sum + bucket.requests, 0);
        const retries = this.buckets.reduce((sum, bucket) => sum + bucket.retries, 0);
        return isWithinMinimum || retries + 1 <= requests * this.policy.retryRatio + this.policy.extraPerWindow;
    }

    private currentBucket(now: number): Bucket {
        const start = Math.floor(now / BUCKET_MS) * BUCKET_MS;
        this.buckets = this.buckets.filter(bucket => bucket.start > start - WINDOW_MS);
        const last = this.buckets.at(-1);
        if (last !== undefined && last.start >= start) {
            return last;
        }
        const bucket = { start, requests: 0, retries: 0 };
        this.buckets.push(bucket);
        return bucket;
    }
}
