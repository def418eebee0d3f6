/** Counters and latency histograms of an entry, as text for the metrics address. */
import type * as hdr from "hdr-histogram-js";
import type * as calls from "../forwarding/types.js";

const QUANTILES = [50, 90, 95, 99] as const;
/** Series beyond this number are merged into one, so that a large configuration can't use up the memory. */
const MAXIMUM_SERIES = 512;
const OTHER = "(other)";
const HISTOGRAM = {
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
    autoResize: true,
    useWebAssembly: false,
} as const;

type Library = typeof hdr;

export class Meter implements calls.CallMeter {
    private readonly counts = new Map<string, number>();
    private readonly histograms = new Map<string, hdr.Histogram>();
    private library: Library | undefined;

    /** Loads the histograms, which a process does after it serves: loading them takes longer than its first answers. */
    async load(): Promise<void> {
        const module = await import("hdr-histogram-js") as Library & { readonly default?: Library; };
        // The library is CommonJS; a bundle exposes it as the default export.
        this.library = module.default ?? module;
    }

    finished(
        customer: string,
        route: string,
        status: number,
        elapsedMs: number,
        firstEventMs: number | undefined,
    ): void {
        this.count(`ibisstep_calls_total{customer="${customer}",status="${status}"}`);
        this.record(`ibisstep_call_duration_ms`, `customer="${customer}",route="${route}"`, elapsedMs);
        if (firstEventMs !== undefined) {
            this.record(`ibisstep_first_event_ms`, `customer="${customer}",route="${route}"`, firstEventMs);
        }
    }

    refused(customer: string, failure: string): void {
        this.count(`ibisstep_refusals_total{customer="${customer}",failure="${failure}"}`);
    }

    /** Prometheus text format. */
    render(): string {
        const counts = [...this.counts].map(([series, value]) => `${series} ${value}`);
        const quantiles = [...this.histograms].flatMap(([series, histogram]) => {
            const [name, labels] = series.split("\n");
            const lines = QUANTILES.map(quantile => {
                return `${name}{${labels},quantile="${quantile / 100}"} ${histogram.getValueAtPercentile(quantile)}`;
            });
            return [...lines, `${name}_count{${labels}} ${histogram.totalCount}`];
        });
        return `${[...counts, ...quantiles].join("\n")}\n`;
    }

    private count(series: string): void {
        const known = this.counts.has(series) || this.counts.size < MAXIMUM_SERIES;
        const key = known ? series : `ibisstep_other_total`;
        this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
    }

    private record(name: string, labels: string, valueMs: number): void {
        if (this.library === undefined) {
            return;
        }
        const wanted = `${name}\n${labels}`;
        const isKnown = this.histograms.has(wanted) || this.histograms.size < MAXIMUM_SERIES;
        const key = isKnown ? wanted : `${name}\nroute="${OTHER}"`;
        const histogram = this.histograms.get(key) ?? this.library.build(HISTOGRAM);
        this.histograms.set(key, histogram);
        histogram.recordValue(Math.max(1, Math.round(valueMs)));
    }
}
