/** Tracks the state of each address in the instance list, which lags behind the real instances. */
import type * as objectApi from "../object-api/types.js";

/** Current state of one address in the instance list. */
export interface Listing {
    readonly state: objectApi.ListedInstance["state"] | "absent";
    /** Monotonic time in milliseconds of the first of the consecutive responses with this state. */
    readonly since: number;
    /** Monotonic time in milliseconds of the latest response. */
    readonly confirmedAt: number;
}

export type Listings = ReadonlyMap<string, Listing>;

/**
 * Share of the listed addresses that may disappear in one response; a larger loss is treated as a fault of the list.
 */
const MAXIMUM_PLAUSIBLE_LOSS = 0.5;
/** Shorter lists are not checked, since the loss of one or two instances can exceed the share. */
const MINIMUM_CHECKED_INSTANCES = 4;
/** Absent addresses are removed after this time. */
const ABSENT_RETENTION_MS = 60 * 60 * 1000;

/**
 * Merges a response of the instance list. Only an address that was listed before becomes absent, since one that was
 * never listed may be new. A response that lacks more than half of the listed addresses is ignored; the result is then
 * `listings` itself.
 */
export function mergeResponse(
    listings: Listings,
    response: readonly objectApi.ListedInstance[],
    requestedAt: number,
): Listings {
    const listed = new Map(response.map(instance => [instance.address, instance.state]));
    if (!isPlausible(listings, listed)) {
        return listings;
    }
    const merged = new Map<string, Listing>();
    for (const address of new Set([...listings.keys(), ...listed.keys()])) {
        const state = listed.get(address) ?? "absent";
        const before = listings.get(address);
        const since = before?.state === state ? before.since : requestedAt;
        if (state !== "absent" || requestedAt - since < ABSENT_RETENTION_MS) {
            merged.set(address, { state, since, confirmedAt: requestedAt });
        }
    }
    return merged;
}

/** Milliseconds for which consecutive responses have lacked an address that was listed before. */
export function absentForMs(listing: Listing | undefined): number {
    return listing?.state === "absent" ? listing.confirmedAt - listing.since : 0;
}

function isPlausible(listings: Listings, listed: ReadonlyMap<string, unknown>): boolean {
    const before = [...listings].filter(([, listing]) => listing.state !== "absent").map(([address]) => address);
    const lost = before.filter(address => !listed.has(address)).length;
    return before.length < MINIMUM_CHECKED_INSTANCES || lost <= before.length * MAXIMUM_PLAUSIBLE_LOSS;
}
