/** Summary of measured durations. */

export interface Summary {
    readonly count: number;
    /** Milliseconds. */
    readonly median: number;
    readonly p95: number;
    readonly p99: number;
}

export function summarize(valuesMs: readonly number[]): Summary {
    const sorted = [...valuesMs].sort((left, right) => left - right);
    const at = (share: number) => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN;
    return { count: sorted.length, median: at(0.5), p95: at(0.95), p99: at(0.99) };
}
