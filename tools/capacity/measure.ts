/** Measures processor time and memory of an operation and fits a line to measurements at several sizes. */

const MICROSECONDS_PER_SECOND = 1_000_000;
const BATCHES = 5;
/** The kernel counts processor time in ticks, so a batch must last for many of them. */
const BATCH_SECONDS = 0.1;
/** Code that has run for less is not optimized yet; an RPC call then takes several times as long as in a daemon. */
const WARM_UP_SECONDS = 1;

export interface Point {
    readonly size: number;
    readonly value: number;
}

/** Line `value = fixed + perUnit x size` that fits the points with the least squares. */
export interface Slope {
    readonly name: string;
    /** Units of the values and of the sizes, as "bytes / members". */
    readonly unit: string;
    readonly points: readonly Point[];
    readonly fixed: number;
    readonly perUnit: number;
}

export function fitSlope(name: string, unit: string, points: readonly Point[]): Slope {
    const mean = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
    const meanSize = mean(points.map(point => point.size));
    const meanValue = mean(points.map(point => point.value));
    const covariance = points.reduce((sum, { size, value }) => sum + (size - meanSize) * (value - meanValue), 0);
    const variance = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0);
    const perUnit = covariance / variance;
    return { name, unit, points, fixed: meanValue - perUnit * meanSize, perUnit };
}

/** Microseconds of processor time per call: the minimum over several batches, since other work only adds time. */
export async function processorMicroseconds(run: () => unknown): Promise<number> {
    await warmUp(run);
    let best = Number.POSITIVE_INFINITY;
    let calls = 1;
    for (let batch = 0; batch < BATCHES;) {
        const before = process.cpuUsage();
        for (let call = 0; call < calls; call++) {
            const result = run();
            if (result instanceof Promise) {
                await result;
            }
        }
        const used = process.cpuUsage(before);
        const seconds = (used.user + used.system) / MICROSECONDS_PER_SECOND;
        if (seconds < BATCH_SECONDS) {
            calls *= 2;
            continue;
        }
        best = Math.min(best, seconds * MICROSECONDS_PER_SECOND / calls);
        batch++;
    }
    return best;
}

async function warmUp(run: () => unknown): Promise<void> {
    const before = process.cpuUsage();
    const used = () => {
        const usage = process.cpuUsage(before);
        return (usage.user + usage.system) / MICROSECONDS_PER_SECOND;
    };
    while (used() < WARM_UP_SECONDS) {
        await run();
    }
}

/** Bytes that stay allocated for the result of `build`. Throws without `--expose-gc`. */
export function retainedBytes(build: () => unknown): number {
    const collectGarbage = globalThis.gc;
    if (collectGarbage === undefined) {
        throw new Error("run with --expose-gc");
    }
    const used = () => {
        collectGarbage();
        collectGarbage();
        const { heapUsed, external } = process.memoryUsage();
        return heapUsed + external;
    };
    const before = used();
    const retained = [build()];
    const after = used();
    // Reading the result here keeps it alive until memory has been measured again.
    return retained.length === 1 ? after - before : Number.NaN;
}
