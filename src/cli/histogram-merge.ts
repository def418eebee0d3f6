/** Merges the histograms of several processes. */
import * as hdr from "hdr-histogram-js";
import type * as operations from "../rpc/gen/ibisstep/v1/operations_pb.js";

/** Quantiles of one measure of one customer and class over all processes, in milliseconds. */
export interface Summary {
    readonly measure: string;
    readonly customer: string;
    readonly class: string;
    readonly count: number;
    readonly p50: number;
    readonly p95: number;
    readonly p99: number;
    readonly maximum: number;
}

const HIGHEST_VALUE_MICROSECONDS = 3600 * 1_000_000;
const SIGNIFICANT_DIGITS = 3;
const MICROSECONDS_PER_MILLISECOND = 1000;

export function merge(encoded: readonly operations.Histogram[]): readonly Summary[] {
    const merged = new Map<string, { readonly first: operations.Histogram; readonly total: hdr.Histogram; }>();
    for (const item of encoded) {
        const key = `${item.measure}\n${item.customer}\n${item.class}`;
        const series = merged.get(key) ?? { first: item, total: createHistogram() };
        merged.set(key, series);
        series.total.add(hdr.decodeFromCompressedBase64(item.encoded));
    }
    return [...merged.entries()].sort(([left], [right]) => left < right ? -1 : 1)
        .map(([, series]) => summarize(series.first, series.total));
}

function createHistogram(): hdr.Histogram {
    return hdr.build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: HIGHEST_VALUE_MICROSECONDS,
        numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
        useWebAssembly: false,
    });
}

function summarize(source: operations.Histogram, total: hdr.Histogram): Summary {
    const milliseconds = (microseconds: number) => microseconds / MICROSECONDS_PER_MILLISECOND;
    return {
        measure: source.measure,
        customer: source.customer,
        class: source.class,
        count: total.totalCount,
        p50: milliseconds(total.getValueAtPercentile(50)),
        p95: milliseconds(total.getValueAtPercentile(95)),
        p99: milliseconds(total.getValueAtPercentile(99)),
        maximum: milliseconds(total.maxValue),
    };
}
