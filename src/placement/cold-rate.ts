/**
 * Rate of requests to a cold server, over all entries together, that stays within its bound in every second.
 *
 * Load pattern: a data centre returns with all its servers cold and idle, at the moment at which each entry holds calls that
 * waited for room. What the others send in that moment reaches an entry only with later heartbeats, which may also be late.
 * So no entry relies on them: each has its own part of the rate, spread evenly over the slots of its clock and begun at a
 * phase of its own, and what it does not use is not saved up.
 */

/** How far requests may exceed the rate that a cold server takes in a second. */
export interface ColdBounds {
    readonly overshootFactor: number;
    readonly slackRequests: number;
}

export interface ColdLimit {
    /** Requests a second that the server takes from all entries together. */
    readonly requestsPerSecond: number;
    /** Requests in any second that it is never to exceed. */
    readonly toleratedRequests: number;
}

/** Part of the bound that is planned for; the rest is for requests that take longer on their way than others. */
const PLANNED_SHARE = 0.93;
/** With many entries: standard deviations between the mean number of requests in a second and the bound. */
const BOUND_DEVIATIONS = 6;
const MS_PER_SECOND = 1000;
/**
 * Length in milliseconds of the slots over which an entry spreads its part. It is the same at all times: if it changed, the
 * slots would be counted anew, and what was sent in them would be forgotten.
 */
export const SLOT_MS = 200;

export function coldLimit(requestsPerSecond: number, bounds: ColdBounds): ColdLimit {
    const toleratedRequests = requestsPerSecond * bounds.overshootFactor + bounds.slackRequests;
    return { requestsPerSecond, toleratedRequests };
}

/**
 * Requests a second that all entries together send.
 *
 * With few entries, even the case that all have their requests in the same second stays within the bound. With many, that
 * case would leave almost nothing, and does not occur, since their phases are random: the number of requests in a second is
 * then about a Poisson variable.
 */
export function safeRate(limit: ColdLimit, entries: number): number {
    const planned = limit.toleratedRequests * PLANNED_SHARE;
    const requestsOfEntry = Math.floor(planned / entries);
    // A second touches this many slots; an entry has no more requests in them than `requestsOfEntry`.
    const slots = Math.ceil(MS_PER_SECOND / SLOT_MS) + 1;
    const certainRate = requestsOfEntry * entries * MS_PER_SECOND / (slots * SLOT_MS);
    const root = (Math.sqrt(BOUND_DEVIATIONS ** 2 + 4 * planned) - BOUND_DEVIATIONS) / 2;
    return Math.min(limit.requestsPerSecond, Math.max(certainRate, root ** 2));
}

/** Requests that an entry may send in a slot, if it sends `requestsPerSlot` in the mean. `phase` is from 0 to 1. */
export function requestsInSlot(slot: number, requestsPerSlot: number, phase: number): number {
    return Math.floor((slot + 1) * requestsPerSlot + phase) - Math.floor(slot * requestsPerSlot + phase);
}

/** What an entry knows of the entries that share the rate. */
export interface KnownEntries {
    /** Entries from which heartbeats came, this one included, also if they have been silent for some seconds. */
    readonly active: number;
    /** Those of them that are within reach. */
    readonly reachable: number;
    /** Registered entries, this one included. */
    readonly registered: number;
    /** The registered entries were read since the start of this one. */
    readonly hasRead: boolean;
    /** Time in milliseconds since the start of this entry. */
    readonly runningMs: number;
}

/**
 * Time in milliseconds after its start until an entry takes the heartbeats that it has received for those of all others.
 * Entries that have been apart since they started know only their own side, and are registered on both.
 */
const SETTLING_MS = 30_000;

/**
 * Number of entries that share a rate; undefined while an entry that has just started cannot know it. Registered entries may
 * be gone, so that they count only while the heartbeats do not tell.
 */
export function sharingEntries(
    { active, reachable, registered, hasRead, runningMs }: KnownEntries,
): number | undefined {
    const isSettled = runningMs >= SETTLING_MS;
    if (!isSettled && !hasRead) {
        return undefined;
    }
    return isSettled && reachable > 1 ? active : Math.max(active, registered);
}
