/** Counters and latency histograms of an entry, rendered in the Prometheus text format. */
import type * as hdr from "hdr-histogram-js";
import type * as forwarding from "../forwarding/types.js";
import type * as placement from "../placement/types.js";

const QUANTILES = [50, 90, 95, 99] as const;
/** Further series are merged into one, so that a large configuration cannot exhaust the memory. */
const MAXIMUM_SERIES = 512;
const OTHER_LABEL = "(other)";
/** Values are milliseconds. */
const HISTOGRAM_OPTIONS = {
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
    autoResize: true,
    useWebAssembly: false,
} as const;

type HistogramLibrary = typeof hdr;

export class Meter implements forwarding.CallMeter {
    private readonly counts = new Map<string, number>();
    private readonly histograms = new Map<string, hdr.Histogram>();
    private library: HistogramLibrary | undefined;

    /** Loads the histogram library. Called once the process serves, since loading takes longer than the first calls. */
    async load(): Promise<void> {
        const module = await import("hdr-histogram-js") as HistogramLibrary & { readonly default?: HistogramLibrary; };
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

    waited(service: string, reason: string, end: forwarding.WaitEnd, waitedMs: number): void {
        this.count(`ibisstep_waits_total{service="${service}",reason="${reason}",end="${end}"}`);
        this.record("ibisstep_wait_ms", `service="${service}",reason="${reason}"`, waitedMs);
    }

    retryAdvised(failure: string, retryAfterMs: number): void {
        this.record("ibisstep_retry_after_ms", `failure="${failure}"`, retryAfterMs);
    }

    attemptFailed(service: string, end: string, hasBegun: boolean): void {
        this.count(`ibisstep_attempts_failed_total{service="${service}",end="${end}",begun="${hasBegun}"}`);
    }

    serverRejected(service: string, isOccupied: boolean | undefined): void {
        const occupied = isOccupied ?? "unknown";
        this.count(`ibisstep_server_rejections_total{service="${service}",occupied="${occupied}"}`);
    }

    statementUsed(service: string, ageMs: number): void {
        this.record(`ibisstep_stated_load_age_ms`, `service="${service}"`, ageMs);
    }

    answerRelayed(reason: string): void {
        this.count(`ibisstep_answers_relayed_total{reason="${reason}"}`);
    }

    promptPlaced(kind: placement.PromptKind, group: placement.PromptKind | "shared"): void {
        this.count(`ibisstep_prompts_placed_total{kind="${kind}",group="${group}"}`);
    }

    promptFinished(kind: placement.PromptKind, firstEventMs: number | undefined, isPausedTooLong: boolean): void {
        this.count(`ibisstep_prompts_finished_total{kind="${kind}",paused="${isPausedTooLong}"}`);
        if (firstEventMs !== undefined) {
            this.record("ibisstep_prompt_first_event_ms", `kind="${kind}"`, firstEventMs);
        }
    }

    /** Renders all series in the Prometheus text format. */
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
        const isTracked = this.counts.has(series) || this.counts.size < MAXIMUM_SERIES;
        const key = isTracked ? series : `ibisstep_other_total`;
        this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
    }

    private record(name: string, labels: string, valueMs: number): void {
        if (this.library === undefined) {
            return;
        }
        const requestedKey = `${name}\n${labels}`;
        const isTracked = this.histograms.has(requestedKey) || this.histograms.size < MAXIMUM_SERIES;
        const key = isTracked ? requestedKey : `${name}\nroute="${OTHER_LABEL}"`;
        const histogram = this.histograms.get(key) ?? this.library.build(HISTOGRAM_OPTIONS);
        this.histograms.set(key, histogram);
        histogram.recordValue(Math.max(1, Math.round(valueMs)));
    }
}
