/** Tells long prompts from short ones by what their prefill does to the streams that run on the same server. */
import type * as fleet from "../fleet/types.js";
import type * as types from "./types.js";

/**
 * Share of the longest pause that the streams of a service tolerate which the prefill of a short prompt takes at most. An
 * engine prefills between the tokens of the running streams, so that several short prompts fit into one such pause.
 */
const MAXIMUM_SHORT_PAUSE_SHARE = 0.25;

/** The prompt is long if a few like it, prefilled one after the other, would pause the running streams for too long. */
export function kindOf(promptTokens: number, targetGapMs: number, latency: types.LatencyEstimate): types.PromptKind {
    const prefillMs = promptTokens * latency.msPerPromptToken;
    return prefillMs > targetGapMs * MAXIMUM_SHORT_PAUSE_SHARE ? "long" : "short";
}

/**
 * The shortest target gap in milliseconds of the streams that each service runs. Services whose streams have none are left
 * out, since prefills cannot make them late.
 */
export function targetGaps(configuration: fleet.Configuration): ReadonlyMap<string, number> {
    const gaps = new Map<string, number>();
    for (const { kind, targets, targetGapMs } of configuration.routes) {
        if (kind !== "stream" || targetGapMs <= 0) {
            continue;
        }
        for (const { service } of targets.filter(target => target.weight > 0)) {
            gaps.set(service, Math.min(targetGapMs, gaps.get(service) ?? Infinity));
        }
    }
    return gaps;
}
