/** Selects a server at the entry by queue, cached prefix and network distance. */
import * as rendezvous from "../core/rendezvous.js";
import * as parameters from "./parameters.js";
import type * as prefixIndex from "./prefix-index.js";
import type * as types from "./types.js";

/** Inputs of the cost of one server. */
export interface CostInput {
    readonly queuedTokens: number;
    readonly uncachedTokens: number;
    readonly prefillMsPerToken: number;
    /** Round trip in milliseconds. */
    readonly networkMs: number;
}

/** Load estimates for the selection; `ServerLoads` implements them. */
export interface LoadEstimates {
    queuedTokens(address: string, now: number): number;
    readonly prefillMsPerToken: number;
}

/** Cache estimates for the selection; `PrefixIndex` implements them. */
export interface CacheEstimates {
    bootOf(address: string): string | undefined;
    matches(chain: readonly string[], now: number): ReadonlyMap<string, prefixIndex.Match>;
    piecesSentSinceBoot(chain: readonly string[], address: string): number;
}

/** Expected time to the first token in milliseconds. */
export function expectedMs(input: CostInput): number {
    return (input.queuedTokens + input.uncachedTokens) * input.prefillMsPerToken + input.networkMs;
}

/** Cost in milliseconds. Recomputed tokens count more than queued ones, since they also delay the requests behind. */
export function costMs(input: CostInput, recomputationWeight: number, networkWeight: number): number {
    const tokens = input.queuedTokens + input.uncachedTokens * recomputationWeight;
    return tokens * input.prefillMsPerToken + input.networkMs * networkWeight;
}

/**
 * Weight of a recomputed token, which grows with the median queue of the servers.
 *
 * The work that a request adds delays all requests behind it. With a constant weight, long queues would spread every
 * prefix to every server, and the recomputation would keep the queues long. The median is not affected by a single
 * overloaded server, whose prefixes should spread.
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
 * The preferred server of a prefix, which is the first one in its rendezvous order, is expected to have cached the
 * pieces that this entry sent anywhere, because the other entries send them to the preferred server too. Candidates
 * whose cost ties with the lowest one are ordered by their rendezvous rank, so that a prefix returns to its preferred
 * server when the load drops and its copies on other servers expire. `random` is uniform in [0, 1).
 */
export function rankServers(
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
    const ranks = rendezvousRanks(request, usable);
    const queues = usable.map(candidate => loads.queuedTokens(candidate.address, now));
    const tokenWeight = recomputationWeight(median(queues), request.promptTokens, settings);
    const estimates = usable
        .map((candidate, position) => {
            const rendezvousRank = ranks.get(candidate.address) ?? Number.POSITIVE_INFINITY;
            const matched = matchedPieces(candidate, matches.get(candidate.address));
            const preferredServerPieces = rendezvousRank === 0
                ? expectedPreferredServerPieces(request, candidate, index) * settings.preferredServerConfidence
                : 0;
            const pieces = Math.max(matched, preferredServerPieces);
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
                costMs: costMs(input, tokenWeight, settings.networkWeight),
                rendezvousRank,
                tieMs: request.promptTokens * input.prefillMsPerToken * settings.tieTolerance,
            };
        })
        .sort((left, right) => left.costMs - right.costMs || compareText(left.address, right.address));
    const tieLimitMs = estimates.length === 0 ? 0 : estimates[0].costMs + estimates[0].tieMs;
    const tied = estimates.filter(server => server.costMs <= tieLimitMs);
    const others = estimates.filter(server => server.costMs > tieLimitMs);
    const first = Math.floor(random * tied.length);
    const rotated = [...tied.slice(first), ...tied.slice(0, first)];
    const ordered = rotated.toSorted((left, right) => left.rendezvousRank - right.rendezvousRank);
    return [...ordered, ...others].map(({ rendezvousRank: _, tieMs: __, ...server }) => server);
}

/** Rendezvous rank of each candidate for the first piece; all are 0 when the prompt has no full piece. */
function rendezvousRanks(
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

/** Pieces that the preferred server should have cached because the other entries send them there, too. */
function expectedPreferredServerPieces(
    request: types.RoutableRequest,
    preferredServer: types.Candidate,
    index: CacheEstimates,
): number {
    const isCurrent = preferredServer.engineBoot === "" ||
        preferredServer.engineBoot === index.bootOf(preferredServer.address);
    return isCurrent ? index.piecesSentSinceBoot(request.chain, preferredServer.address) : 0;
}

function median(values: readonly number[]): number {
    const sorted = values.toSorted((left, right) => left - right);
    return sorted[(sorted.length - 1) >> 1] ?? 0;
}

function compareText(left: string, right: string): number {
    return left < right ? -1 : Number(left > right);
}
