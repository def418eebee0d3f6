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

export class StaggeredWait {
    private phase = "";

    constructor(private readonly options: StaggerOptions) {}

    /** Next wait in milliseconds. `isFirst` waits begin at the same time at all readers. */
    next({ count, rank }: Readers, isFirst: boolean): number {
        const { intervalMs, maximumMs } = this.options;
        const periodMs = Math.min(maximumMs, intervalMs * count);
        const phase = `${rank}/${count}`;
        const startsPhase = isFirst || phase !== this.phase;
        this.phase = phase;
        return Math.round(startsPhase ? periodMs * (rank + 1) / count : periodMs);
    }
}
