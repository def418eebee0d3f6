/** Decision of an agent to run a request or to return it with the name of a better server. */
import * as selection from "./selection.js";

/** The next best server by the estimate of the entry, sent with the request. */
export interface Alternative {
    readonly address: string;
    /** Expected time to the first token there, in milliseconds. */
    readonly expectedMs: number;
}

export type Decision = { readonly kind: "accept"; } | { readonly kind: "redirect"; readonly address: string; };

/** An alternative must promise at most this share of the own time. */
const REDIRECT_SHARE = 0.5;
/** Saving in milliseconds below which a redirect is not worth its round trip and its uncertainty. */
const MINIMUM_SAVING_MS = 50;

/** Decides from the exact queue and cache of the own server. A request that was redirected before is accepted. */
export function decide(
    own: selection.CostInput,
    alternative: Alternative | undefined,
    mayRedirect: boolean,
): Decision {
    if (!mayRedirect || alternative === undefined) {
        return { kind: "accept" };
    }
    const ownMs = selection.expectedMs(own);
    const isBetter = alternative.expectedMs < ownMs * REDIRECT_SHARE
        && ownMs - alternative.expectedMs > MINIMUM_SAVING_MS;
    return isBetter ? { kind: "redirect", address: alternative.address } : { kind: "accept" };
}
