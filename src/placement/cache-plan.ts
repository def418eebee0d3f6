/** Where a call finds cached parts of its prompt, and where it leaves them. */
import type * as fleet from "../fleet/types.js";
import type * as types from "./types.js";

export interface CachePlan {
    /** IP:PORT to fetch parts from that the server does not hold. */
    readonly fetchFrom: string | undefined;
    /** IP:PORT of the store that keeps the parts. */
    readonly saveTo: string | undefined;
}

/** The last shared part of the prompt; the part after it belongs to the call itself. */
export function lastSharedPart(parts: readonly fleet.PromptPart[]): fleet.PromptPart | undefined {
    return parts.at(-2);
}

/** Tokens of the parts that calls share. */
export function sharedTokens(parts: readonly fleet.PromptPart[]): number {
    return parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}

/**
 * Text under which cached parts are found. It names the weights version, since neither servers nor stores compare
 * versions, and the customer where it shares with nobody.
 */
export function cacheScope(model: string, weightsVersion: number, customer: fleet.Customer | undefined): string {
    const wall = customer?.isolated === true ? `/${customer.name}` : "";
    return `${model}/${weightsVersion}${wall}`;
}

/** A store keeps parts that servers have evicted; without one the home of the parts is asked. */
export function planCache(
    choice: types.Choice & { readonly kind: "server"; },
    stores: readonly fleet.CacheStore[],
): CachePlan {
    const store = stores[0];
    if (store !== undefined) {
        return { fetchFrom: store.address, saveTo: store.address };
    }
    const fetchFrom = choice.isHome ? undefined : choice.home?.address;
    return { fetchFrom, saveTo: undefined };
}
