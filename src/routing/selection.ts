/** Server selection of an entry. */
import * as rendezvous from "../core/rendezvous.js";
import * as parameters from "./parameters.js";
import type * as prefixIndex from "./prefix-index.js";
import type * as types from "./types.js";

/** What the cost of one server depends on. */
export interface CostInput {
    readonly queuedTokens: number;
    readonly uncachedTokens: number;
    readonly prefillMsPerToken: number;
    /** Round trip in milliseconds. */
    readonly networkMs: number;
}

/** Load estimates that selection reads; `ServerLoads` provides them. */
export interface LoadEstimates {
    queuedTokens(address: string, now: number): number;
    prefillMsPerToken(address: string): number;
}

/** Cache estimates that selection reads; `PrefixIndex` provides them. */
export interface CacheEstimates {
    matches(chain: readonly string[], now: number): ReadonlyMap<string, prefixIndex.Match>;
    deepestKnown(chain: readonly string[]): string | undefined;
}

/** Expected time to the first token in milliseconds. */
export function expectedMs(input: CostInput): number {
    return (input.queuedTokens + input.uncachedTokens) * input.prefillMsPerToken + input.networkMs;
}

/** Cost in milliseconds: recomputation counts more than waiting, since it also delays the requests behind it. */
export function costMs(input: CostInput, settings: parameters.Parameters): number {
    const tokens = input.queuedTokens + input.uncachedTokens * settings.recomputationWeight;
    return tokens * input.prefillMsPerToken + input.networkMs * settings.networkWeight;
}

interface Estimate extends types.RankedServer {
    readonly candidate: types.Candidate;
    readonly tieMs: number;
}

/**
 * Ranks the candidates for a request, best first.
 *
 * Candidates whose cost is within the tie of the lowest one are ordered by rendezvous hashing on the deepest known
 * level of the prefix. So entries with separate indexes agree on a home, and copies that the load no longer asks for
 * receive no requests and age out.
 */
export function choose(
    request: types.RoutableRequest,
    candidates: readonly types.Candidate[],
    index: CacheEstimates,
    loads: LoadEstimates,
    now: number,
    random: number,
    settings: parameters.Parameters = parameters.defaults,
): readonly types.RankedServer[] {
    const matches = index.matches(request.chain, now);
    const estimates = candidates
        .filter(candidate => candidate.weight > 0)
        .map(candidate => estimate(request, candidate, matches.get(candidate.address), loads, now, settings))
        .sort((left, right) => left.costMs - right.costMs || compareText(left.address, right.address));
    const key = index.deepestKnown(request.chain) ?? request.chain[0] ?? String(random);
    const limit = estimates.length === 0 ? 0 : estimates[0].costMs + estimates[0].tieMs;
    const tied = estimates.filter(server => server.costMs <= limit);
    const others = estimates.filter(server => server.costMs > limit);
    return [...byRendezvous(key, tied), ...others].map(({ candidate: _, tieMs: __, ...server }) => server);
}

function estimate(
    request: types.RoutableRequest,
    candidate: types.Candidate,
    match: prefixIndex.Match | undefined,
    loads: LoadEstimates,
    now: number,
    settings: parameters.Parameters,
): Estimate {
    const isCurrent = match !== undefined && (candidate.engineBoot === "" || candidate.engineBoot === match.boot);
    const expectedCachedTokens = isCurrent ? match.pieces * request.pieceTokens : 0;
    const input: CostInput = {
        queuedTokens: loads.queuedTokens(candidate.address, now),
        uncachedTokens: request.promptTokens - expectedCachedTokens,
        prefillMsPerToken: loads.prefillMsPerToken(candidate.address),
        networkMs: candidate.networkMs,
    };
    return {
        address: candidate.address,
        expectedCachedTokens,
        expectedMs: expectedMs(input),
        costMs: costMs(input, settings),
        candidate,
        tieMs: request.promptTokens * input.prefillMsPerToken * settings.tieShare,
    };
}

function byRendezvous(key: string, estimates: readonly Estimate[]): readonly Estimate[] {
    const scored = estimates.map(server => ({
        server,
        score: rendezvous.score(key, { id: server.address, weight: server.candidate.weight }),
    }));
    return scored
        .sort((left, right) => right.score - left.score || compareText(left.server.address, right.server.address))
        .map(entry => entry.server);
}

function compareText(left: string, right: string): number {
    return left < right ? -1 : Number(left > right);
}
