/** Latency estimates per service: exponential moving averages of observed responses. */
import type * as types from "./types.js";

/** Estimate before the first response: a mid-size engine and a fast HTTP service. */
const INITIAL: types.LatencyEstimate = { msPerPromptToken: 0.02, callMs: 80 };
/** Weight of a new sample. */
const SAMPLE_WEIGHT = 0.05;
/** Below this number of prompt tokens, the time to the first event reflects the engine's step time rather than prefill. */
const MINIMUM_SAMPLE_TOKENS = 1500;
/** Samples are clamped to this range, since waits with other causes produce outliers. */
const MAXIMUM_MS_PER_TOKEN = 0.1;
const MINIMUM_MS_PER_TOKEN = 0.004;

export class LatencyEstimates {
    private readonly estimates = new Map<string, types.LatencyEstimate>();

    get(service: string): types.LatencyEstimate {
        return this.estimates.get(service) ?? INITIAL;
    }

    /**
     * Records the time to the first event of a call. `tokens` counts the prompt tokens that the server had to prefill
     * until then, including those of calls queued before this one.
     */
    recordFirstEvent(service: string, tokens: number, elapsedMs: number): void {
        if (tokens < MINIMUM_SAMPLE_TOKENS) {
            return;
        }
        const sample = Math.min(MAXIMUM_MS_PER_TOKEN, Math.max(MINIMUM_MS_PER_TOKEN, elapsedMs / tokens));
        const estimate = this.get(service);
        this.estimates.set(service, { ...estimate, msPerPromptToken: blend(estimate.msPerPromptToken, sample) });
    }

    /** Records the duration of a completed call. */
    recordResponse(service: string, elapsedMs: number): void {
        const estimate = this.get(service);
        this.estimates.set(service, { ...estimate, callMs: blend(estimate.callMs, elapsedMs) });
    }
}

function blend(value: number, sample: number): number {
    return value + (sample - value) * SAMPLE_WEIGHT;
}
