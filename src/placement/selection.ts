/**
 * Chooses the server of a call by the lowest cost in milliseconds.
 *
 * The cost adds the time until the first event (prompts to read before, own prompt, transfer of cached parts) and prices
 * in the same unit: moving cached parts off their home, traffic between data centres, older weights, failures, delay of
 * a server that is about to load weights.
 */
import * as rendezvous from "../core/rendezvous.js";
import type * as types from "./types.js";

export interface SelectionSettings {
    /** Age of newer weights in milliseconds from which calls on older ones lose value. */
    readonly outdatedCostsFromMs: number;
    /** Age in milliseconds from which no call is sent to older weights. */
    readonly outdatedForbiddenFromMs: number;
    /** Cost in milliseconds of a call that crosses data centres. */
    readonly crossingMs: number;
}

/** Cost of reading a token's cached state from elsewhere, relative to reading the prompt token; from measured transfers. */
const TRANSFER_SHARE = 0.25;
/**
 * Cost of reading shared parts that another server reads now, as a share of the time to read them: the own time, that
 * of the calls behind, and the parts that are displaced.
 */
const READING_AGAIN_SHARE = 2.5;
/**
 * Cost in milliseconds of each token that is generated at a server that is about to load weights: the server is out of
 * use until it is done. About the time of a step of an engine.
 */
const WINDING_DOWN_MS = 5;
/**
 * Extra cost of a place that is not the home, as a share of the time to read the parts: they displace others there, and
 * bringing them takes the link of a store, which all servers share.
 */
const DISPLACEMENT_SHARE = 1.5;
/** Cost in milliseconds of a server whose calls all fail; a tenth of failures weighs as much as a short queue. */
const FAILURE_MS = 2000;
/** Cost in milliseconds of older weights: a fifth of the value of a call, against the time of a whole prompt. */
const OUTDATED_MS = 150;
/** Calls above the slots of a plain server, as a share of its slots; more would wait longer there than here. */
const PLAIN_QUEUE_SHARE = 0.5;
/** Longest time in milliseconds that prompts may wait at an engine. */
const LONGEST_ENGINE_QUEUE_MS = 1500;
/** Time in milliseconds that each running call adds to a step of an engine, over the steps of a short answer. */
const STEP_SHARE_MS = 0.4;

/** The choice is the same for the same inputs; `random` in [0, 1) breaks ties. */
export function choose(
    candidates: readonly types.Candidate[],
    demand: types.Demand,
    pace: types.Pace,
    settings: SelectionSettings,
    random: number,
): types.Choice {
    const listed = candidates.filter(candidate => candidate.server.state === "ready");
    const filters: readonly (readonly [types.Unavailable, (candidate: types.Candidate) => boolean])[] = [
        ["no-server", candidate => !demand.tried.has(candidate.server.id)],
        ["all-suspected", candidate => !candidate.isSuspected],
        ["all-outdated", candidate => (candidate.outdatedForMs ?? 0) < settings.outdatedForbiddenFromMs],
        ["all-moving", candidate => !candidate.isMoving],
        ["all-full", candidate => hasRoom(candidate, demand, pace)],
    ];
    let open = listed;
    for (const [reason, accepts] of filters) {
        open = open.filter(accepts);
        if (open.length === 0) {
            return { kind: "none", reason };
        }
    }
    const home = findHome(listed, demand);
    const costs = open.map(candidate => {
        return { candidate, cost: costMs(candidate, demand, pace, settings, candidate.server.id === home?.server.id) };
    });
    const lowest = Math.min(...costs.map(entry => entry.cost));
    const ties = costs.filter(entry => entry.cost <= lowest);
    const best = ties[Math.floor(random * ties.length)]!;
    return {
        kind: "server",
        candidate: best.candidate,
        isHome: best.candidate.server.id === home?.server.id,
        home: home?.server,
        costMs: best.cost,
    };
}

/** All entries agree on the home of a shared part without exchanging anything. */
function findHome(listed: readonly types.Candidate[], demand: types.Demand): types.Candidate | undefined {
    if (demand.affinityKey === undefined) {
        return undefined;
    }
    const nodes = listed.map(candidate => ({ id: candidate.server.id, weight: 1, candidate }));
    return rendezvous.rank(demand.affinityKey, nodes)[0]?.candidate;
}

function costMs(
    candidate: types.Candidate,
    demand: types.Demand,
    pace: types.Pace,
    settings: SelectionSettings,
    isHome: boolean,
): number {
    const crossing = candidate.server.dataCentre === demand.dataCentre ? 0 : settings.crossingMs;
    const isOutdated = (candidate.outdatedForMs ?? 0) >= settings.outdatedCostsFromMs;
    // Parts of older weights are no reason to stay with them.
    const outdated = isOutdated ? OUTDATED_MS + awayFromHomeMs(demand, pace) : 0;
    const failing = candidate.failureShare * FAILURE_MS;
    const delaysMove = candidate.isWindingDown ? demand.outputTokens * WINDING_DOWN_MS : 0;
    const prices = crossing + outdated + failing + delaysMove;
    return queueMs(candidate, demand, pace) + readingMs(candidate, demand, pace, isHome) + prices;
}

function queueMs(candidate: types.Candidate, demand: types.Demand, pace: types.Pace): number {
    if (demand.isPlain) {
        const slots = Math.max(1, candidate.server.slots);
        const waiting = Math.max(0, candidate.calls + 1 - slots);
        return waiting * pace.callMs / slots + candidate.calls / slots * pace.callMs / 4;
    }
    return candidate.unreadTokens * pace.msPerPromptToken + candidate.calls * STEP_SHARE_MS;
}

function readingMs(candidate: types.Candidate, demand: types.Demand, pace: types.Pace, isHome: boolean): number {
    const ownMs = demand.ownTokens * pace.msPerPromptToken;
    if (demand.readers.size > 0) {
        const isReader = demand.readers.has(candidate.server.id);
        return ownMs + (isReader ? 0 : demand.sharedTokens * READING_AGAIN_SHARE * pace.msPerPromptToken);
    }
    return ownMs + (isHome ? 0 : awayFromHomeMs(demand, pace));
}

function awayFromHomeMs(demand: types.Demand, pace: types.Pace): number {
    return demand.sharedTokens * (TRANSFER_SHARE + DISPLACEMENT_SHARE) * pace.msPerPromptToken;
}

function hasRoom(candidate: types.Candidate, demand: types.Demand, pace: types.Pace): boolean {
    if (demand.isPlain) {
        return candidate.calls < Math.ceil(candidate.server.slots * (1 + PLAIN_QUEUE_SHARE));
    }
    return candidate.calls < candidate.server.slots
        && candidate.unreadTokens * pace.msPerPromptToken <= LONGEST_ENGINE_QUEUE_MS;
}
