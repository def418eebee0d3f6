/** Speeds of a service, learned from its answers. */
import type * as types from "./types.js";

/** Values before the first answer: a mid-size engine and a quick plain service. */
const INITIAL: types.Pace = { msPerPromptToken: 0.02, callMs: 80 };
/** Weight of a new sample. */
const SAMPLE_WEIGHT = 0.05;
/** Prompts below this number of tokens say more about the step time than about reading. */
const LEAST_TOKENS = 1500;
/** Samples outside of this range in milliseconds per token come from waits that have other causes. */
const SLOWEST_MS_PER_TOKEN = 0.1;
const FASTEST_MS_PER_TOKEN = 0.004;

export class PaceTable {
    private readonly paces = new Map<string, types.Pace>();

    of(service: string): types.Pace {
        return this.paces.get(service) ?? INITIAL;
    }

    /** `tokens`: what the server had to read until the first event, with what was queued before. */
    firstEvent(service: string, tokens: number, elapsedMs: number): void {
        if (tokens < LEAST_TOKENS) {
            return;
        }
        const sample = Math.min(SLOWEST_MS_PER_TOKEN, Math.max(FASTEST_MS_PER_TOKEN, elapsedMs / tokens));
        const pace = this.of(service);
        this.paces.set(service, { ...pace, msPerPromptToken: blend(pace.msPerPromptToken, sample) });
    }

    answered(service: string, elapsedMs: number): void {
        const pace = this.of(service);
        this.paces.set(service, { ...pace, callMs: blend(pace.callMs, elapsedMs) });
    }
}

function blend(value: number, sample: number): number {
    return value + (sample - value) * SAMPLE_WEIGHT;
}
