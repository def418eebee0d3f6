/** Rate at which an entry has placed the calls of a service while others of them waited. */

/** Time in milliseconds over which placements count. */
const WINDOW_MS = 1000;
/** Time in milliseconds for which calls have to have waited before the rate is known. */
const MINIMUM_CONTENTION_MS = 300;
/** Placements with which the rate is known. Fewer say little: servers may take many calls at once as soon as one ends. */
const MINIMUM_PLACEMENTS = 4;
/** Parts of the window in milliseconds, of which the fastest counts: servers often take several calls at once. */
const RECENT_MS = [250, 100] as const;
/** With more milliseconds between two observations the process did not run, and what it saw before says nothing. */
const MAXIMUM_PAUSE_MS = 250;

interface PlacedRank {
    readonly rank: number;
    readonly at: number;
}

/** Placements of a service while calls waited. */
export interface Throughput {
    /** Placements a millisecond of calls of this rank or of a less urgent one; of all calls if it is undefined. */
    readonly rateFrom: (rank: number | undefined) => number;
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
        return { rateFrom: rank => this.rate(rank, Math.min(WINDOW_MS, contendedMs), now) };
    }

    /** One placement more than were seen is assumed for the whole window, since few of them say little. */
    private rate(rank: number | undefined, windowMs: number, now: number): number {
        const placed = rank === undefined
            ? this.placements
            : this.placements.filter(placement => placement.rank >= rank);
        const recent = RECENT_MS.map(lengthMs => placed.filter(({ at }) => now - at < lengthMs).length / lengthMs);
        return Math.max((placed.length + 1) / windowMs, ...recent);
    }
}
