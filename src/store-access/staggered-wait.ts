/**
 * Waits of several readers of the same kind that end one after the other, so that one of them soon finds out that open
 * connections to the store have gone silent, and tells the others.
 */

/** Processes that read the kind from the store, and the place of this one among them, from 0. */
export interface Readers {
    readonly count: number;
    readonly rank: number;
}

export interface StaggerOptions {
    /** Time in milliseconds within which the wait of some reader ends. */
    readonly intervalMs: number;
    readonly maximumMs: number;
}

/** Shortest wait in milliseconds; a wait that ends a moment early is not followed by one for the rest. */
const MINIMUM_WAIT_MS = 100;

export class StaggeredWait {
    /** Start of the last first wait in milliseconds; the ends of all waits are counted from it. */
    private firstStartedAt: number | undefined;

    constructor(private readonly options: StaggerOptions) {}

    /**
     * Next wait in milliseconds. `isFirst` waits begin at about the same time at all readers. A later wait keeps to the
     * times that follow from it, whenever the one before was interrupted. Undefined for a process that is no reader now;
     * it keeps the times in case it becomes one.
     */
    next(readers: Readers | undefined, isFirst: boolean, now: number): number | undefined {
        if (isFirst || this.firstStartedAt === undefined) {
            this.firstStartedAt = now;
        }
        if (readers === undefined) {
            return undefined;
        }
        const { count, rank } = readers;
        const { intervalMs, maximumMs } = this.options;
        const periodMs = Math.min(maximumMs, intervalMs * count);
        const elapsedMs = (now - this.firstStartedAt) % periodMs;
        const waitMs = (periodMs * (rank + 1) / count - elapsedMs + periodMs) % periodMs;
        return Math.round(waitMs < MINIMUM_WAIT_MS ? waitMs + periodMs : waitMs);
    }
}
