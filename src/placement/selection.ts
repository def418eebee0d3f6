/**
 * Chooses the server for a call by the lowest cost in milliseconds.
 *
 * The cost is the expected time to the first event (prefill of queued prompts, prefill of the call's own prompt, transfer
 * of cached parts) plus penalties in the same unit: displacing cached parts at a server other than the preferred one,
 * crossing data centres, outdated weights, failures, and delaying a server whose weights update is pending.
 */
import * as rendezvous from "../core/rendezvous.js";
import * as groupChoice from "./group-choice.js";
import * as spread from "./spread.js";
import type * as types from "./types.js";

export interface SelectionSettings {
    /** Time in milliseconds after which a server with outdated weights is penalised. */
    readonly outdatedPenaltyFromMs: number;
    /** Time in milliseconds after which a server with outdated weights gets no calls. */
    readonly outdatedExcludedFromMs: number;
    /** Penalty in milliseconds for a call that crosses data centres. */
    readonly crossDataCentreMs: number;
}

/** Time to fetch a token's cached state, relative to the prefill time of the token; from measured transfers. */
const CACHE_TRANSFER_RATIO = 0.25;
/**
 * Cost of prefilling shared parts that another server is already prefilling, relative to their prefill time: the delay of
 * this call, the delay of the calls queued after it, and the cached parts that are evicted.
 */
const DUPLICATE_PREFILL_RATIO = 2.5;
/**
 * Penalty in milliseconds per output token at a server whose weights update is pending: it cannot load weights until the
 * call has finished. About the duration of one engine step.
 */
const PENDING_UPDATE_MS_PER_OUTPUT_TOKEN = 5;
/** Output tokens of an answer that ends within a tenth of a second, so that it hardly delays an update of weights. */
const MAXIMUM_SHORT_OUTPUT_TOKENS = 16;
/**
 * Extra cost of a server other than the preferred one, relative to the prefill time of the shared parts: they evict other
 * parts there, and fetching them uses the network link of the store, which all servers share.
 */
const DISPLACEMENT_RATIO = 1.5;
/** Penalty in milliseconds for a server whose calls all fail; a failure share of 0.1 costs as much as a short queue. */
const FAILURE_PENALTY_MS = 2000;
/**
 * Penalty in milliseconds for outdated weights, which reduce the value of a call by a fifth; weighed against the prefill
 * time of a whole prompt.
 */
const OUTDATED_PENALTY_MS = 150;
/** Penalty in milliseconds for a cold server, and the extra time for the call's prompt there relative to its prefill time. */
const COLD_PENALTY_MS = 20;
const COLD_PREFILL_RATIO = 1;
/** Maximum queue of an HTTP server, relative to its slots; beyond it, a call would wait longer there than at the entry. */
const HTTP_SERVICE_QUEUE_RATIO = 0.5;
/** Maximum prefill time in milliseconds of the prompts queued at an engine; with more, the engine is full. */
const MAXIMUM_ENGINE_QUEUE_MS = 1500;
/** Time in milliseconds that each running call adds to the engine steps of a short response, in total. */
const STEP_MS_PER_RUNNING_CALL = 0.4;

/** Chooses a server from the inputs and the numbers in [0, 1) that `random` returns. */
export function chooseServer(
    candidates: readonly types.Candidate[],
    request: types.PlacementRequest,
    latency: types.LatencyEstimate,
    settings: SelectionSettings,
    random: () => number,
): types.PlacementDecision {
    let eligible: readonly types.Candidate[] = candidates;
    for (const [reason, accepts] of filtersOf(request, latency, settings)) {
        const accepted = eligible.filter(accepts);
        if (accepted.length === 0) {
            const pauseMs = Math.min(...eligible.map(candidate => candidate.pauseMs));
            return reason === "all-paused" ? { kind: "none", reason, pauseMs } : { kind: "none", reason };
        }
        eligible = accepted;
    }
    eligible = sparePending(spareLimited(eligible, request), request);
    const { own, other } = groupChoice.groupCandidates(eligible, request, latency);
    const preferred = preferredOf(candidates, request);
    const isOutdated = (candidate: types.Candidate) => (candidate.outdatedForMs ?? 0) >= settings.outdatedPenaltyFromMs;
    const busyServers = request.group?.busyServers ?? candidates.length * request.utilization;
    const spreadInput = {
        busyServers,
        isOutdated,
        isShared: request.isContended === true && request.isHttpService,
        isSampled: request.group !== undefined,
    };
    const compared = [...spread.candidatesToCompare({ ...spreadInput, eligible: own, preferred }, random)];
    if (other.length > 0 && compared.every(candidate => hasLongQueue(candidate, request, latency))) {
        compared.push(...spread.candidatesToCompare({ ...spreadInput, eligible: other, preferred: undefined }, random));
    }
    const costs = compared.map(candidate => {
        return {
            candidate,
            cost: costMs(candidate, request, latency, settings, candidate.server.id === preferred?.server.id),
        };
    });
    const lowest = Math.min(...costs.map(entry => entry.cost));
    const ties = costs.filter(entry => entry.cost <= lowest);
    const best = ties[Math.floor(random() * ties.length)]!;
    return {
        kind: "server",
        candidate: best.candidate,
        isPreferred: best.candidate.server.id === preferred?.server.id,
        preferredServer: preferred?.server,
        costMs: best.cost,
        ...groupChoice.groupOfServer(best.candidate, request),
    };
}

type Filter = readonly [reason: types.UnplacedReason, accepts: (candidate: types.Candidate) => boolean];

/** What a server needs to get the call, in the order in which the first unmet one becomes the reason for waiting. */
function filtersOf(
    request: types.PlacementRequest,
    latency: types.LatencyEstimate,
    settings: SelectionSettings,
): readonly Filter[] {
    return [
        ["no-server", candidate => candidate.server.state === "ready"],
        ["all-outside-homes", candidate => isInHomes(candidate, request)],
        ["all-evacuated", candidate => candidate.isEvacuated !== true],
        ["no-server", candidate => !request.triedServers.has(candidate.server.id)],
        ["all-suspected", candidate => !candidate.isSuspected],
        ["all-outdated", candidate => (candidate.outdatedForMs ?? 0) < settings.outdatedExcludedFromMs],
        ["all-moving", candidate => !candidate.isUpdatingWeights],
        ["all-paused", candidate => candidate.pauseMs === 0],
        ["all-cold", candidate => candidate.isCold !== true || candidate.limit !== "closed"],
        ["all-limited", candidate => candidate.limit !== "closed"],
        ["all-full", candidate => hasCapacity(candidate, request, latency)],
    ];
}

/** A server as a choice sees it, for the explanation of choices. */
export interface Assessment {
    readonly candidate: types.Candidate;
    /** Why the server does not get the call; undefined if it may. */
    readonly excludedBy: types.UnplacedReason | undefined;
    readonly costMs: number;
    readonly isPreferred: boolean;
}

/** Assesses all servers, those with the lowest cost first and the excluded ones last. Decides nothing. */
export function assess(
    candidates: readonly types.Candidate[],
    request: types.PlacementRequest,
    latency: types.LatencyEstimate,
    settings: SelectionSettings,
): readonly Assessment[] {
    const preferred = preferredOf(candidates, request);
    const filters = filtersOf(request, latency, settings);
    const assessments = candidates.map(candidate => {
        const isPreferred = candidate.server.id === preferred?.server.id;
        const excludedBy = filters.find(([, accepts]) => !accepts(candidate))?.[0];
        return {
            candidate,
            excludedBy,
            isPreferred,
            costMs: costMs(candidate, request, latency, settings, isPreferred),
        };
    });
    return assessments.toSorted((left, right) => {
        const byExclusion = Number(left.excludedBy !== undefined) - Number(right.excludedBy !== undefined);
        return byExclusion === 0 ? left.costMs - right.costMs : byExclusion;
    });
}

/** Whether the operator permits the call at the server, apart from the server's state. */
export function isPermitted(
    candidate: types.Candidate,
    request: Pick<types.PlacementRequest, "mayRunIn">,
): boolean {
    return isInHomes(candidate, request) && candidate.isEvacuated !== true;
}

function isInHomes(candidate: types.Candidate, { mayRunIn }: Pick<types.PlacementRequest, "mayRunIn">): boolean {
    return mayRunIn === undefined || mayRunIn(candidate.server.dataCentre);
}

/**
 * Leaves the few requests of servers that name a limit to calls with long prompts, for which a server does most work for
 * one request; the others use them only when no other server has capacity. What a cold server takes is lost if it is not
 * used, and its cost is higher for long prompts, so that it is not spared.
 */
function spareLimited(
    eligible: readonly types.Candidate[],
    request: types.PlacementRequest,
): readonly types.Candidate[] {
    const unlimited = request.isShort ?
        eligible.filter(candidate => candidate.limit === "none" || candidate.isCold === true)
        : [];
    return unlimited.length === 0 ? eligible : unlimited;
}

/**
 * Under contention, leaves servers whose update is pending to short answers while others have capacity. Their queues and
 * caches would outweigh the penalty, and a server that begins to load weights with many long answers is out of use for
 * seconds until these have ended.
 */
function sparePending(
    eligible: readonly types.Candidate[],
    request: types.PlacementRequest,
): readonly types.Candidate[] {
    if (request.isContended !== true || request.expectedOutputTokens <= MAXIMUM_SHORT_OUTPUT_TOKENS) {
        return eligible;
    }
    const others = eligible.filter(candidate => !candidate.isUpdatePending);
    return others.length === 0 ? eligible : others;
}

/** The ready server to which rendezvous hashing assigns the shared parts. All entries agree on it without communication. */
function preferredOf(
    candidates: readonly types.Candidate[],
    request: types.PlacementRequest,
): types.Candidate | undefined {
    if (request.affinityKey === undefined) {
        return undefined;
    }
    const ready = candidates.filter(candidate => {
        return candidate.server.state === "ready" && isPermitted(candidate, request)
            && groupChoice.isInGroup(candidate, request);
    });
    const nodes = ready.map(candidate => ({ id: candidate.server.id, weight: 1, candidate }));
    return rendezvous.best(request.affinityKey, nodes)?.candidate;
}

function costMs(
    candidate: types.Candidate,
    request: types.PlacementRequest,
    latency: types.LatencyEstimate,
    settings: SelectionSettings,
    isPreferred: boolean,
): number {
    const crossDataCentreMs = candidate.server.dataCentre === request.dataCentre ? 0 : settings.crossDataCentreMs;
    const isOutdated = (candidate.outdatedForMs ?? 0) >= settings.outdatedPenaltyFromMs;
    // Cancels the advantage of the preferred server: parts cached for outdated weights do not justify choosing it.
    const outdatedMs = isOutdated ? OUTDATED_PENALTY_MS + cacheMovePenaltyMs(request, latency) : 0;
    const failingMs = candidate.failureShare * FAILURE_PENALTY_MS;
    const pendingUpdateMs = candidate.isUpdatePending
        ? request.expectedOutputTokens * PENDING_UPDATE_MS_PER_OUTPUT_TOKEN
        : 0;
    const promptMs = (request.sharedTokens + request.unsharedTokens) * latency.msPerPromptToken;
    const coldMs = candidate.isCold === true ? COLD_PENALTY_MS + promptMs * COLD_PREFILL_RATIO : 0;
    const penaltiesMs = crossDataCentreMs + outdatedMs + failingMs + pendingUpdateMs + coldMs;
    const workMs = queueMs(candidate, request, latency) + prefillMs(candidate, request, latency, isPreferred);
    return workMs * paceOf(candidate) + slownessMs(candidate, request, latency) + penaltiesMs;
}

/** Duration of work at the server, relative to the usual one. */
function paceOf(candidate: types.Candidate): number {
    return candidate.stated?.pace ?? 1;
}

/** Time by which the call itself takes longer or less long than usual at an HTTP server; that of a prompt is its prefill. */
function slownessMs(
    candidate: types.Candidate,
    request: types.PlacementRequest,
    latency: types.LatencyEstimate,
): number {
    return request.isHttpService ? latency.callMs * (paceOf(candidate) - 1) : 0;
}

function queueMs(candidate: types.Candidate, request: types.PlacementRequest, latency: types.LatencyEstimate): number {
    if (request.isHttpService) {
        const slots = Math.max(1, candidate.server.slots);
        const waiting = Math.max(0, candidate.calls + 1 - slots);
        return waiting * latency.callMs / slots + candidate.calls / slots * latency.callMs / 4;
    }
    return queuedTokens(candidate, request) * latency.msPerPromptToken + candidate.calls * STEP_MS_PER_RUNNING_CALL;
}

/** Prompt tokens that an engine prefills before those of the call, by the entries' counts or its own statement. */
function queuedTokens(candidate: types.Candidate, request: types.PlacementRequest): number {
    const statedTokens = (candidate.stated?.waiting ?? 0) * (request.meanPromptTokens ?? 0);
    return Math.max(candidate.pendingPromptTokens, statedTokens);
}

/** Whether a call would wait so long at a server of its own group that servers of the other one are worth a look. */
function hasLongQueue(
    candidate: types.Candidate,
    request: types.PlacementRequest,
    latency: types.LatencyEstimate,
): boolean {
    return request.group !== undefined && queueMs(candidate, request, latency) > request.group.maximumQueueMs;
}

function prefillMs(
    candidate: types.Candidate,
    request: types.PlacementRequest,
    latency: types.LatencyEstimate,
    isPreferred: boolean,
): number {
    const unsharedMs = request.unsharedTokens * latency.msPerPromptToken;
    if (request.prefillingServers.size > 0) {
        const isPrefilling = request.prefillingServers.has(candidate.server.id);
        return unsharedMs +
            (isPrefilling ? 0 : request.sharedTokens * DUPLICATE_PREFILL_RATIO * latency.msPerPromptToken);
    }
    return unsharedMs + (isPreferred ? 0 : cacheMovePenaltyMs(request, latency));
}

function cacheMovePenaltyMs(request: types.PlacementRequest, latency: types.LatencyEstimate): number {
    return request.sharedTokens * (CACHE_TRANSFER_RATIO + DISPLACEMENT_RATIO) * latency.msPerPromptToken;
}

function hasCapacity(
    candidate: types.Candidate,
    request: types.PlacementRequest,
    latency: types.LatencyEstimate,
): boolean {
    if (candidate.stated?.isFull === true) {
        return false;
    }
    if (request.isHttpService) {
        return candidate.calls < Math.ceil(candidate.server.slots * (1 + HTTP_SERVICE_QUEUE_RATIO));
    }
    return candidate.calls < candidate.server.slots
        && queuedTokens(candidate, request) * latency.msPerPromptToken * paceOf(candidate) <= MAXIMUM_ENGINE_QUEUE_MS;
}
