/**
 * Retry budget per entry and backend server.
 *
 * Retries are limited to a share of the requests, so that they can't multiply the load of a server that fails. A floor
 * lets entries with little traffic retry at all.
 */

/** How many retries are allowed. */
export interface RetryPolicy {
    /** Retries per request over the window. */
    readonly share: number;
    /** Retries that are allowed in each second whatever the share says. */
    readonly floorPerSecond: number;
    /** Retries of the window beyond the share. */
    readonly extraPerWindow: number;
}

const DEFAULT_POLICY: RetryPolicy = { share: 0.1, floorPerSecond: 3, extraPerWindow: 0 };
const WINDOW_MS = 10_000;
const SLICE_MS = 1000;

interface Slice {
    readonly start: number;
    requests: number;
    retries: number;
}

export class RetryBudget {
    private slices: Slice[] = [];

    constructor(private policy: RetryPolicy = DEFAULT_POLICY) {}

    setPolicy(policy: RetryPolicy): void {
        this.policy = policy;
    }

    /** Counts a first attempt. */
    request(now: number): void {
        this.slice(now).requests++;
    }

    /** Takes one retry out of the budget; false when it is used up. */
    tryRetry(now: number): boolean {
        if (!this.hasRetry(now)) {
            return false;
        }
        this.slice(now).retries++;
        return true;
    }

    /** Whether a retry would be allowed. */
    hasRetry(now: number): boolean {
        const isWithinFloor = this.slice(now).retries < this.policy.floorPerSecond;
        const requests = this.slices.reduce((sum, slice) => sum + slice.requests, 0);
        const retries = this.slices.reduce((sum, slice) => sum + slice.retries, 0);
        return isWithinFloor || retries + 1 <= requests * this.policy.share + this.policy.extraPerWindow;
    }

    private slice(now: number): Slice {
        const start = Math.floor(now / SLICE_MS) * SLICE_MS;
        this.slices = this.slices.filter(slice => slice.start > start - WINDOW_MS);
        const last = this.slices.at(-1);
        if (last !== undefined && last.start >= start) {
            return last;
        }
        const slice = { start, requests: 0, retries: 0 };
        this.slices.push(slice);
        return slice;
    }
}
