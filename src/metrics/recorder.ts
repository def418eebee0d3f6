/** Histograms per customer and class, limited in number, and counters per customer. */
import * as hdr from "hdr-histogram-js";
import type * as types from "./types.js";

const MICROSECONDS_PER_MILLISECOND = 1000;
const MAXIMUM_VALUE_MICROSECONDS = 600 * 1_000_000;
/** Range of a new histogram; it grows when a larger value is recorded, which keeps unused histograms small. */
const INITIAL_MAXIMUM_MICROSECONDS = 1_000_000;
const SIGNIFICANT_DIGITS = 2;
/** The design target is 3,000 customers with four measures each; customers beyond the limit share `(other)`. */
const MAXIMUM_HISTOGRAMS = 2048;
const OVERFLOW_CUSTOMER = "(other)";

interface Series {
    readonly measure: types.Measure;
    readonly customer: string;
    readonly class: string;
    readonly histogram: hdr.Histogram;
}

export class Recorder {
    private readonly series = new Map<string, Series>();
    private readonly counts = new Map<
        string,
        { readonly name: types.CounterName; readonly customer: string; value: number; }
    >();

    /** Records a duration in milliseconds. */
    record(measure: types.Measure, customer: string, className: string, durationMs: number): void {
        const value = Math.round(Math.max(0, durationMs) * MICROSECONDS_PER_MILLISECOND);
        const histogram = this.histogram(measure, customer, className);
        histogram.recordValue(Math.min(value, MAXIMUM_VALUE_MICROSECONDS));
    }

    count(name: types.CounterName, customer: string, amount = 1): void {
        const key = `${name}\n${customer}`;
        const entry = this.counts.get(key);
        if (entry === undefined) {
            this.counts.set(key, { name, customer, value: amount });
            return;
        }
        entry.value += amount;
    }

    counters(): readonly types.Count[] {
        return [...this.counts.values()].map(entry => ({ ...entry }));
    }

    histograms(): readonly types.EncodedHistogram[] {
        return [...this.series.values()].map(series => ({
            measure: series.measure,
            customer: series.customer,
            class: series.class,
            encoded: hdr.encodeIntoCompressedBase64(series.histogram),
        }));
    }

    private histogram(measure: types.Measure, customer: string, className: string): hdr.Histogram {
        const key = `${measure}\n${customer}\n${className}`;
        const existing = this.series.get(key);
        if (existing !== undefined) {
            return existing.histogram;
        }
        if (this.series.size >= MAXIMUM_HISTOGRAMS && customer !== OVERFLOW_CUSTOMER) {
            return this.histogram(measure, OVERFLOW_CUSTOMER, className);
        }
        const histogram = hdr.build({
            lowestDiscernibleValue: 1,
            highestTrackableValue: INITIAL_MAXIMUM_MICROSECONDS,
            numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
            bitBucketSize: 32,
            autoResize: true,
            useWebAssembly: false,
        });
        this.series.set(key, { measure, customer, class: className, histogram });
        return histogram;
    }
}
