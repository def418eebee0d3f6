/**
 * Chooses the candidates that one call compares, so that entries with equally stale views do not pick the same server.
 *
 * Load pattern: on a large deployment the load that an entry sees is up to half a second old, and more than a hundred
 * calls are placed meanwhile. If each entry took the cheapest server, all of them would go to the same one. This is worst
 * after new weights: the few servers that have loaded them are idle and preferred by everybody. Comparing a few random
 * servers bounds what any server receives between two heartbeats, and only as many calls go to updated servers as these
 * can serve; the others go to outdated ones in time rather than to a queue.
 */
import type * as types from "./types.js";

/** Number of servers below which a call compares all of them. */
const MINIMUM_SAMPLED = 16;
/** Number of random servers that a call compares, beside the preferred one. */
const SAMPLE_SIZE = 3;
/** Number of random servers that a call compares where many entries share few servers: the power of two choices. */
const SHARED_SAMPLE_SIZE = 2;
/** Share of their capacity up to which updated servers are preferred to outdated ones. */
const MAXIMUM_UPDATED_UTILIZATION = 0.7;

export interface SpreadInput {
    /** Servers that may get the call. */
    readonly eligible: readonly types.Candidate[];
    readonly preferred?: types.Candidate | undefined;
    /** Number of servers that the calls of all entries keep busy. */
    readonly busyServers: number;
    readonly isOutdated: (candidate: types.Candidate) => boolean;
    /** The servers are few for the entries that choose among them at the same moment. */
    readonly isShared?: boolean;
    /** The servers are part of a larger number, so that a call compares a few of them in any case. */
    readonly isSampled?: boolean;
}

/** Returns the candidates to compare. `random` returns numbers in [0, 1). */
export function candidatesToCompare(input: SpreadInput, random: () => number): readonly types.Candidate[] {
    const { eligible, preferred } = input;
    if (eligible.length < MINIMUM_SAMPLED && input.isSampled !== true) {
        return input.isShared === true ? draw(eligible, SHARED_SAMPLE_SIZE, random) : eligible;
    }
    const tier = chooseTier(input, random);
    const sample = draw(tier, SAMPLE_SIZE, random);
    const compared = preferred === undefined || !tier.includes(preferred) || sample.includes(preferred)
        ? sample
        : [...sample, preferred];
    // What a cold server takes is lost if it is not used, and its rate already bounds what it gets.
    const cold = tier.filter(candidate => candidate.isCold === true && !compared.includes(candidate));
    return cold.length === 0 ? compared : [...compared, ...draw(cold, 1, random)];
}

/** Either the updated servers or the outdated ones, by the share of the calls that the updated ones can serve. */
function chooseTier(
    { eligible, busyServers, isOutdated }: SpreadInput,
    random: () => number,
): readonly types.Candidate[] {
    const updated = eligible.filter(candidate => !isOutdated(candidate));
    if (updated.length === 0 || updated.length === eligible.length) {
        return eligible;
    }
    const capacity = updated.length * MAXIMUM_UPDATED_UTILIZATION;
    return random() * busyServers < capacity ? updated : eligible.filter(isOutdated);
}

/** Draws up to `count` different candidates. */
function draw(candidates: readonly types.Candidate[], count: number, random: () => number): readonly types.Candidate[] {
    const pool = [...candidates];
    const drawn: types.Candidate[] = [];
    while (drawn.length < count && pool.length > 0) {
        drawn.push(...pool.splice(Math.floor(random() * pool.length), 1));
    }
    return drawn;
}
