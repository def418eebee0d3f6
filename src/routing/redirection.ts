/** Decision of an agent to run a request or to redirect it to a better server. */
import * as selection from "./selection.js";

/** Second-best server by the estimate of the entry, which sends it with the request. */
export interface Alternative {
    readonly address: string;
    /** Expected time to the first token there, in milliseconds. */
    readonly expectedMs: number;
}

export type Decision = { readonly kind: "accept"; } | { readonly kind: "redirect"; readonly address: string; };

/** Highest ratio of the expected time at the alternative to the own one that justifies a redirect. */
const MAXIMUM_TIME_RATIO = 0.5;
/** Smaller savings do not justify the extra round trip and the uncertainty of the estimate. */
const MINIMUM_SAVING_MS = 50;

/** Compares the alternative with the exact queue and cache of the own server. A redirected request is accepted. */
export function decide(
    own: selection.CostInput,
    alternative: Alternative | undefined,
    mayRedirect: boolean,
): Decision {
    if (!mayRedirect || alternative === undefined) {
        return { kind: "accept" };
    }
    const ownMs = selection.expectedMs(own);
    const isBetter = alternative.expectedMs < ownMs * MAXIMUM_TIME_RATIO
        && ownMs - alternative.expectedMs > MINIMUM_SAVING_MS;
    return isBetter ? { kind: "redirect", address: alternative.address } : { kind: "accept" };
}
