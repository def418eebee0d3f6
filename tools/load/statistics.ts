/** Summary of measured durations. */

export interface Summary {
    readonly count: number;
    /** Median in milliseconds, like the percentiles. */
    readonly median: number;
    readonly p95: number;
    readonly p99: number;
}

export function summarize(valuesMs: readonly number[]): Summary {
    const sorted = [...valuesMs].sort((left, right) => left - right);
    const quantile = (fraction: number) =>
        sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? Number.NaN;
    return { count: sorted.length, median: quantile(0.5), p95: quantile(0.95), p99: quantile(0.99) };
}
