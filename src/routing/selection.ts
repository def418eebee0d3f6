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
    readonly prefillMsPerToken: number;
}

/** Cache estimates that selection reads; `PrefixIndex` provides them. */
export interface CacheEstimates {
    bootOf(address: string): string | undefined;
    matches(chain: readonly string[], now: number): ReadonlyMap<string, prefixIndex.Match>;
    familiarPieces(chain: readonly string[], address: string): number;
}

/** Expected time to the first token in milliseconds. */
export function expectedMs(input: CostInput): number {
    return (input.queuedTokens + input.uncachedTokens) * input.prefillMsPerToken + input.networkMs;
}

/** Cost in milliseconds: recomputation counts more than waiting, since it also delays the requests behind it. */
export function costMs(input: CostInput, recomputationWeight: number, networkWeight: number): number {
    const tokens = input.queuedTokens + input.uncachedTokens * recomputationWeight;
    return tokens * input.prefillMsPerToken + input.networkMs * networkWeight;
}

/**
 * Weight of recomputation for the median queue of the servers. Work that one request adds delays all requests behind it, so a constant
 * weight lets long queues spread every prefix to every server, and the recomputation keeps the queues long. The median
 * ignores a single hot server, whose prefixes should spread.
 */
export function recomputationWeight(
    medianQueuedTokens: number,
    promptTokens: number,
    settings: parameters.Parameters,
): number {
    const queuedPrompts = medianQueuedTokens / Math.max(1, promptTokens);
    return settings.recomputationWeight * (1 + settings.congestionWeight * queuedPrompts);
}

/**
 * Ranks the candidates for a request, best first.
 *
 * A home is expected to have the known levels of the prefix even without own evidence, because the other entries send
 * there too. Candidates whose cost is within the tie of the lowest one are ordered by home. A server that the load no
 * longer asks for receives no more requests, and its copies age out.
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
    const usable = candidates.filter(candidate => candidate.weight > 0);
    const matches = index.matches(request.chain, now);
    const ranks = homeRanks(request, usable);
    const queues = usable.map(candidate => loads.queuedTokens(candidate.address, now));
    const weight = recomputationWeight(median(queues), request.promptTokens, settings);
    const estimates = usable
        .map((candidate, position) => {
            const homeRank = ranks.get(candidate.address) ?? Number.POSITIVE_INFINITY;
            const evidence = matchedPieces(candidate, matches.get(candidate.address));
            const familiar = homeRank === 0 ? familiarPieces(request, candidate, index) * settings.homeConfidence : 0;
            const pieces = Math.max(evidence, familiar);
            const expectedCachedTokens = pieces * request.pieceTokens;
            const input: CostInput = {
                queuedTokens: queues[position],
                uncachedTokens: request.promptTokens - expectedCachedTokens,
                prefillMsPerToken: loads.prefillMsPerToken,
                networkMs: candidate.networkMs,
            };
            return {
                address: candidate.address,
                expectedCachedTokens,
                expectedMs: expectedMs(input),
                costMs: costMs(input, weight, settings.networkWeight),
                homeRank,
                tieMs: request.promptTokens * input.prefillMsPerToken * settings.tieShare,
            };
        })
        .sort((left, right) => left.costMs - right.costMs || compareText(left.address, right.address));
    const limit = estimates.length === 0 ? 0 : estimates[0].costMs + estimates[0].tieMs;
    const tied = estimates.filter(server => server.costMs <= limit);
    const others = estimates.filter(server => server.costMs > limit);
    const first = Math.floor(random * tied.length);
    const rotated = [...tied.slice(first), ...tied.slice(0, first)];
    const ordered = rotated.toSorted((left, right) => left.homeRank - right.homeRank);
    return [...ordered, ...others].map(({ homeRank: _, tieMs: __, ...server }) => server);
}

/** Position of each candidate in the order of homes of the shallowest level; all equal without a full piece. */
function homeRanks(
    request: types.RoutableRequest,
    candidates: readonly types.Candidate[],
): ReadonlyMap<string, number> {
    if (request.chain.length === 0) {
        return new Map(candidates.map(candidate => [candidate.address, 0]));
    }
    const nodes = candidates.map(candidate => ({ id: candidate.address, weight: candidate.weight }));
    return new Map(rendezvous.rank(request.chain[0], nodes).map((node, position) => [node.id, position]));
}

function matchedPieces(candidate: types.Candidate, match: prefixIndex.Match | undefined): number {
    const isCurrent = match !== undefined && (candidate.engineBoot === "" || candidate.engineBoot === match.boot);
    return isCurrent ? match.pieces : 0;
}

/** Levels that the home of the prefix should have without own evidence, because the other entries send there too. */
function familiarPieces(request: types.RoutableRequest, home: types.Candidate, index: CacheEstimates): number {
    const isCurrent = home.engineBoot === "" || home.engineBoot === index.bootOf(home.address);
    return isCurrent ? index.familiarPieces(request.chain, home.address) : 0;
}

function median(values: readonly number[]): number {
    const sorted = values.toSorted((left, right) => left - right);
    return sorted[(sorted.length - 1) >> 1] ?? 0;
}

function compareText(left: string, right: string): number {
    return left < right ? -1 : Number(left > right);
}
