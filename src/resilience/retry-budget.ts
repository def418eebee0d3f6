/**
 * Retry budget per entry and backend server.
 *
 * Retries are limited to a share of the requests, so that they can't multiply the load of a server that fails. A floor
 * lets entries with little traffic retry at all.
 */

const RETRY_SHARE = 0.1;
const FLOOR_PER_SECOND = 3;
const WINDOW_MS = 10_000;
const SLICE_MS = 1000;

interface Slice {
    readonly start: number;
    requests: number;
    retries: number;
}

export class RetryBudget {
    private slices: Slice[] = [];

    /** Counts a first attempt. */
    request(now: number): void {
        this.slice(now).requests++;
    }

    /** Takes one retry out of the budget; false when it is used up. */
    tryRetry(now: number): boolean {
        const current = this.slice(now);
        const floorUsed = current.retries < FLOOR_PER_SECOND;
        const requests = this.slices.reduce((sum, slice) => sum + slice.requests, 0);
        const retries = this.slices.reduce((sum, slice) => sum + slice.retries, 0);
        if (!floorUsed && retries + 1 > requests * RETRY_SHARE) {
            return false;
        }
        current.retries++;
        return true;
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
