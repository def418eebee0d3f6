/** Metrics of a process: measures with histograms, and counters. */

/** Measures with a histogram per customer and class; values in microseconds. */
export type Measure = "time-to-first-token" | "time-between-tokens" | "queue-time" | "duration";

export type CounterName =
    | "requests"
    | "requests-finished"
    | "requests-failed"
    | "requests-refused"
    | "in-rate-refusals"
    | "outcome-unknown"
    | "continuations"
    | "prompt-tokens"
    | "cached-prompt-tokens"
    | "output-tokens";

export interface Count {
    readonly name: CounterName;
    readonly customer: string;
    readonly value: number;
}

export interface EncodedHistogram {
    readonly measure: Measure;
    readonly customer: string;
    readonly class: string;
    /** Compressed HdrHistogram in base64. */
    readonly encoded: string;
}
