/** What the lagging instance list has said about each address over time. */
import type * as objectApi from "../object-api/types.js";

/** The present word of the list about one address. */
export interface Listing {
    readonly state: objectApi.ListedInstance["state"] | "absent";
    /** Monotonic time in milliseconds at which the list first gave this state without a break. */
    readonly since: number;
    /** Monotonic time in milliseconds of the last answer of the list. */
    readonly confirmedAt: number;
}

export type Listings = ReadonlyMap<string, Listing>;

/** Share of the listed addresses that may vanish in one answer; a larger loss is a fault of the list. */
const LARGEST_CREDIBLE_LOSS = 0.5;
/** Below this size the loss of one address exceeds the share. */
const SMALLEST_CHECKED_LIST = 4;
/** Absent addresses are forgotten after this time. */
const ABSENT_RETENTION_MS = 60 * 60 * 1000;

/**
 * Merges an answer of the list. Only an address that was listed before becomes absent: an address that was never listed
 * may be new. An answer that lacks more than half of the listed addresses changes nothing.
 */
export function merge(
    listings: Listings,
    answer: readonly objectApi.ListedInstance[],
    askedAt: number,
): Listings {
    const listed = new Map(answer.map(instance => [instance.address, instance.state]));
    if (!isCredible(listings, listed)) {
        return listings;
    }
    const merged = new Map<string, Listing>();
    for (const address of new Set([...listings.keys(), ...listed.keys()])) {
        const state = listed.get(address) ?? "absent";
        const before = listings.get(address);
        const since = before?.state === state ? before.since : askedAt;
        if (state !== "absent" || askedAt - since < ABSENT_RETENTION_MS) {
            merged.set(address, { state, since, confirmedAt: askedAt });
        }
    }
    return merged;
}

/** Milliseconds for which successive answers of the list have lacked an address that it had listed before. */
export function absentForMs(listing: Listing | undefined): number {
    return listing?.state === "absent" ? listing.confirmedAt - listing.since : 0;
}

function isCredible(listings: Listings, listed: ReadonlyMap<string, unknown>): boolean {
    const before = [...listings].filter(([, listing]) => listing.state !== "absent").map(([address]) => address);
    const lost = before.filter(address => !listed.has(address)).length;
    return before.length < SMALLEST_CHECKED_LIST || lost <= before.length * LARGEST_CREDIBLE_LOSS;
}
