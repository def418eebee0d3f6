/**
 * Judges whether a call was slow, by the usual times of the old version on the same route. Fixed limits would miss a version
 * that is several times slower than before and still within its targets.
 */

/** Number of recent calls of the old version by which others are judged, and the least number for a judgement. */
const MAXIMUM_SAMPLES = 64;
const MINIMUM_SAMPLES = 8;
/** Factor by which the median pause between events, or the median time of a whole answer, has to be exceeded. */
const SLOW_FACTOR = 2.5;
/**
 * Factor for the first event, which a server that has just started and holds no cached parts sends later; it counts only
 * beyond the target of the route.
 */
const SLOW_FIRST_EVENT_FACTOR = 4;
/** Fewer pauses are not judged, since a single one would dominate their mean. */
const MINIMUM_PAUSES = 2;

/** Times of one call at a server in milliseconds. */
export interface CallTimes {
    /** Until the first event of a stream; undefined if none arrived. */
    readonly firstEventMs: number | undefined;
    /** Between the first event and the last one, and the number of pauses in between. */
    readonly streamMs: number;
    readonly pauses: number;
    /** Until the attempt ended. */
    readonly totalMs: number;
    readonly isStream: boolean;
    readonly targetLatencyMs: number;
}

interface Samples {
    readonly firstEvents: number[];
    readonly pauses: number[];
    readonly totals: number[];
}

export class LatencyBaseline {
    private readonly routes = new Map<string, Samples>();

    /** Records a sound call of the old version. */
    record(route: string, times: CallTimes): void {
        const samples = this.routes.get(route) ?? { firstEvents: [], pauses: [], totals: [] };
        this.routes.set(route, samples);
        if (!times.isStream) {
            add(samples.totals, times.totalMs);
            return;
        }
        if (times.firstEventMs !== undefined) {
            add(samples.firstEvents, times.firstEventMs);
        }
        if (times.pauses >= MINIMUM_PAUSES) {
            add(samples.pauses, times.streamMs / times.pauses);
        }
    }

    /** Whether a call was slow; undefined while too few calls of the old version are known. */
    isSlow(route: string, times: CallTimes): boolean | undefined {
        const samples = this.routes.get(route);
        if (samples === undefined) {
            return undefined;
        }
        if (!times.isStream) {
            const total = median(samples.totals);
            return total === undefined ? undefined : times.totalMs > total * SLOW_FACTOR;
        }
        const [first, pause] = [median(samples.firstEvents), median(samples.pauses)];
        if (first === undefined) {
            return undefined;
        }
        const firstLimitMs = Math.max(times.targetLatencyMs, first * SLOW_FIRST_EVENT_FACTOR);
        const isPausing = pause !== undefined && times.pauses >= MINIMUM_PAUSES
            && times.streamMs / times.pauses > pause * SLOW_FACTOR;
        return (times.firstEventMs ?? times.totalMs) > firstLimitMs || isPausing;
    }
}

function add(samples: number[], value: number): void {
    samples.push(value);
    if (samples.length > MAXIMUM_SAMPLES) {
        samples.shift();
    }
}

/** Undefined with too few samples. */
function median(samples: readonly number[]): number | undefined {
    return samples.length < MINIMUM_SAMPLES
        ? undefined
        : [...samples].sort((left, right) => left - right)[Math.floor(samples.length / 2)];
}
