/** Rate at which an entry has placed the calls of a service while others of them waited. */

/** Time in milliseconds over which placements count. */
const WINDOW_MS = 1000;
/** Time in milliseconds for which calls have to have waited before the rate is known. */
const MINIMUM_CONTENTION_MS = 300;
/** Placements with which the rate is known. Fewer say little: servers may take many calls at once as soon as one ends. */
const MINIMUM_PLACEMENTS = 4;
/** With more milliseconds between two observations the process did not run, and what it saw before says nothing. */
const MAXIMUM_PAUSE_MS = 250;

interface PlacedRank {
    readonly rank: number;
    readonly at: number;
}

/** Placements of a service while calls waited. */
export interface Throughput {
    /** Time in milliseconds in which they were counted. */
    readonly windowMs: number;
    readonly placed: number;
    /** Placements of calls of this rank, or of a less urgent one. */
    readonly placedFrom: (rank: number) => number;
}

export class ServiceThroughput {
    private placements: PlacedRank[] = [];
    private contendedSince: number | undefined;
    private observedAt = Number.NEGATIVE_INFINITY;

    /** Records whether calls wait. Called at each pass of the queue. */
    observe(isContended: boolean, now: number): void {
        const hasPaused = now - this.observedAt > MAXIMUM_PAUSE_MS;
        this.observedAt = now;
        if (!isContended) {
            this.contendedSince = undefined;
            this.placements = [];
        }
        else if (this.contendedSince === undefined || hasPaused) {
            this.contendedSince = now;
            this.placements = [];
        }
        this.placements = this.placements.filter(({ at }) => now - at < WINDOW_MS);
    }

    recordPlacement(rank: number, now: number): void {
        if (this.contendedSince !== undefined) {
            this.placements.push({ rank, at: now });
        }
    }

    /** Undefined while calls have not waited for long enough, or while too few have been placed. */
    at(now: number): Throughput | undefined {
        const contendedMs = now - (this.contendedSince ?? now);
        const isKnown = contendedMs >= MINIMUM_CONTENTION_MS && this.placements.length >= MINIMUM_PLACEMENTS;
        if (!isKnown || now - this.observedAt > MAXIMUM_PAUSE_MS) {
            return undefined;
        }
        return {
            windowMs: Math.min(WINDOW_MS, contendedMs),
            placed: this.placements.length,
            placedFrom: rank => this.placements.filter(placement => placement.rank >= rank).length,
        };
    }
}
