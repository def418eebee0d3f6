/** Where a call finds cached parts of its prompt, and where it leaves them. */
import * as rendezvous from "../core/rendezvous.js";
import type * as fleet from "../fleet/types.js";
import type * as types from "./types.js";

export interface CachePlan {
    /** IP:PORT to fetch parts from that the server does not hold. */
    readonly fetchFrom: string | undefined;
    /** IP:PORT of the store that keeps the parts. */
    readonly saveTo: string | undefined;
}

export interface CacheSituation {
    readonly store: fleet.CacheStore | undefined;
    /** The store holds the shared parts, as far as is known. */
    readonly isInStore: boolean;
    /** Another server that most likely holds the shared parts. */
    readonly holder: fleet.BackendServer | undefined;
}

/** The last shared part of the prompt; the part after it belongs to the call itself. */
export function lastSharedPart(parts: readonly fleet.PromptPart[]): fleet.PromptPart | undefined {
    return parts.at(-2);
}

/** Each part has its place in one of the stores, so that they hold more together. */
export function storeOf(part: string, stores: readonly fleet.CacheStore[]): fleet.CacheStore | undefined {
    const nodes = stores.map(store => ({ id: store.address, weight: Math.max(1, store.memoryTokens), store }));
    return rendezvous.rank(part, nodes)[0]?.store;
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

/**
 * Parts are saved once: with the shared parts a server saves the part of the call itself, which nobody uses again, and
 * saving it with every call would push the shared parts out of the store.
 */
export function planCache(situation: CacheSituation, target: types.Candidate): CachePlan {
    const { store, holder } = situation;
    const otherHolder = holder?.id === target.server.id ? undefined : holder;
    if (store !== undefined && situation.isInStore) {
        // Many servers share the link of a store, which is full under load; each has a link of its own.
        return { fetchFrom: otherHolder?.address ?? store.address, saveTo: undefined };
    }
    return { fetchFrom: otherHolder?.address ?? store?.address, saveTo: store?.address };
}
