/** Plans from where a server fetches cached prompt parts for a call, and to which store it saves them. */
import * as rendezvous from "../core/rendezvous.js";
import type * as fleet from "../fleet/types.js";
import type * as homeRegions from "./homes.js";
import type * as transferBudgets from "./transfer-budget.js";

/** Share of the shared tokens that the preferred server has evicted since their last use. */
const EVICTED_SHARE = 0.25;

export interface CachePlan {
    /** IP:PORT of the store or server from which to fetch parts that the chosen server does not hold. */
    readonly fetchFrom: string | undefined;
    /** IP:PORT of the store to which the server saves the parts; undefined when nothing is saved. */
    readonly saveTo: string | undefined;
}

/** What is known about cached copies of a call's shared parts. */
export interface CacheAvailability {
    readonly store: fleet.CacheStore | undefined;
    /** The store holds the shared parts, as far as this entry knows. */
    readonly isInStore: boolean;
    /** Another server that most likely holds the shared parts. */
    readonly holder: fleet.BackendServer | undefined;
    /** The chosen server itself most likely holds the shared parts. */
    readonly isHolder: boolean;
    /** The chosen server is the preferred one of the parts. */
    readonly isPreferred: boolean;
    /** Tokens of the shared parts, and of the whole prompt. */
    readonly sharedTokens: number;
    readonly promptTokens: number;
}

/** The budget for the links of the stores, and the present time. */
export interface TransferLimit {
    readonly budget: transferBudgets.TransferBudget;
    readonly now: number;
}

/** The last shared part of a prompt. The final part is unique to the call. */
export function lastSharedPart(parts: readonly fleet.PromptPart[]): fleet.PromptPart | undefined {
    return parts.at(-2);
}

/** Assigns each part to one store by rendezvous hashing, so that the stores pool their capacity. */
export function storeForPart(part: string, stores: readonly fleet.CacheStore[]): fleet.CacheStore | undefined {
    const nodes = stores.map(store => ({ id: store.address, weight: Math.max(1, store.memoryTokens), store }));
    return rendezvous.best(part, nodes)?.store;
}

/** Number of tokens in the parts that calls share, which are all but the final one. */
export function sharedTokens(parts: readonly fleet.PromptPart[]): number {
    return parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}

/**
 * Namespace of cached parts. It contains the weights version, since neither servers nor stores compare versions, the name
 * of an isolated customer, and the regions that the parts may not leave: calls without them would move parts elsewhere.
 */
export function cacheScope(
    model: string,
    weightsVersion: number,
    customer: fleet.Customer | undefined,
    homes?: homeRegions.Homes,
): string {
    const customerSuffix = customer?.isolated === true ? `/${asciiName(customer.name)}` : "";
    const homesSuffix = homes === undefined ? "" : `@${homes.key}`;
    return `${model}/${weightsVersion}${customerSuffix}${homesSuffix}`;
}

/** The name in characters that a header can hold, different for each name. */
function asciiName(name: string): string {
    return encodeURIComponent(JSON.stringify(name).slice(1, -1));
}

/**
 * Plans the cache transfers of a call at the server that was chosen for it.
 *
 * Parts are fetched from another server that holds them rather than from a store, whose link all servers share and
 * saturate under load. They are saved only when the store lacks them: a server saves the call's unique part along with
 * the shared ones, and saving it with every call would evict the shared parts from the store.
 */
export function planCache(availability: CacheAvailability, { budget, now }: TransferLimit): CachePlan {
    const { store, isInStore, holder, isHolder, isPreferred, sharedTokens, promptTokens } = availability;
    const fetchFrom = isHolder ? undefined : holder?.address;
    if (store === undefined) {
        return { fetchFrom, saveTo: undefined };
    }
    if (!isInStore) {
        // The store may hold parts that this entry does not know of; a miss costs a millisecond.
        const isSaved = budget.admitSave(store, promptTokens, now);
        return { fetchFrom: fetchFrom ?? store.address, saveTo: isSaved ? store.address : undefined };
    }
    const missingShare = isHolder ? 0 : isPreferred ? EVICTED_SHARE : 1;
    const isAdmitted = fetchFrom === undefined && budget.admitFetch(store, sharedTokens * missingShare, now);
    return { fetchFrom: isAdmitted ? store.address : fetchFrom, saveTo: undefined };
}
