/** Routing policies side by side: baselines, the functions of src/routing, and full knowledge without lag. */
import * as rendezvous from "../../src/core/rendezvous.js";
import * as parameters from "../../src/routing/parameters.js";
import type * as prefixIndex from "../../src/routing/prefix-index.js";
import * as selection from "../../src/routing/selection.js";
import type * as serverLoads from "../../src/routing/server-loads.js";
import type * as types from "../../src/routing/types.js";
import type * as fakes from "./fake-server.js";
import type * as workloads from "./workload.js";

/** What one entry knows; only the bound of full knowledge reads the servers. */
export interface EntryState {
    readonly index: prefixIndex.PrefixIndex;
    readonly loads: serverLoads.ServerLoads;
    /** Own requests in flight by server. */
    readonly inFlight: Map<string, number>;
    readonly random: () => number;
    readonly settings: parameters.Parameters;
    readonly servers: ReadonlyMap<string, fakes.FakeServer>;
    readonly workload: workloads.Workload;
    turn: number;
}

export type Choice = Omit<types.RankedServer, "costMs">;
type Rank = (
    arrival: workloads.Arrival,
    all: readonly types.Candidate[],
    state: EntryState,
    now: number,
) => readonly Choice[];
type Key = (address: string, state: EntryState, now: number, position: number, arrival: workloads.Arrival) => number;
export type Policy = ReturnType<typeof policy>;
const BOUNDED_LOAD_FACTOR = 1.25;

function policy(name: string, rank: Rank, changes: Partial<parameters.Parameters> = {}) {
    return { name, rank, settings: { ...parameters.defaults, ...changes }, isOurs: rank === ours };
}

/** Ranks by ascending keys. */
function byKey(key: Key): Rank {
    return (arrival, all, state, now) =>
        all.map(({ address }, position) => ({ address, key: key(address, state, now, position, arrival) }))
            .sort((left, right) => left.key - right.key)
            .map(({ address }) => ({ address, expectedCachedTokens: 0, expectedMs: 0 }));
}

/** Rendezvous by the shared part of the prompt; no real router knows where it ends, which favours this baseline. */
const wholePrefix: Key = (address, _, __, ___, arrival) =>
    -rendezvous.score(arrival.sharedKey, { id: address, weight: 1 });

const boundedLoad: Key = (address, state, now, position, arrival) => {
    const total = [...state.inFlight.values()].reduce((sum, count) => sum + count, 1);
    const limit = Math.ceil(BOUNDED_LOAD_FACTOR * total / state.servers.size);
    const isFull = (state.inFlight.get(address) ?? 0) >= limit;
    return wholePrefix(address, state, now, position, arrival) + (isFull ? Number.MAX_SAFE_INTEGER : 0);
};

const ours: Rank = (arrival, all, state, now) =>
    selection.rankServers(arrival, all, state.index, state.loads, now, state.random(), state.settings);

/** Our cost model on the true queues and caches. It is greedy, so it approximates the best. */
const fullKnowledge: Rank = (arrival, all, state, now) => {
    const pieces = (server: fakes.FakeServer) => server.cachedTokens(arrival, true) / arrival.pieceTokens;
    const matches = new Map(
        [...state.servers].map(([address, server]) => [address, { boot: "", pieces: pieces(server) }]),
    );
    const caches = { bootOf: () => undefined, matches: () => matches, piecesSentSinceBoot: () => 0 };
    const queuedTokens = (address: string) => state.servers.get(address)?.queuedTokens(now) ?? 0;
    const loads = { queuedTokens, prefillMsPerToken: state.workload.prefillMsPerToken };
    return selection.rankServers(arrival, all, caches, loads, now, state.random(), state.settings);
};

export const BASELINES: readonly Policy[] = [
    policy("random", byKey((_, state) => state.random())),
    policy(
        "round robin",
        byKey((_, state, __, position) => {
            state.turn += position === 0 ? 1 : 0;
            return (position + state.turn) % state.servers.size;
        }),
    ),
    policy("least load", byKey((address, state, now) => state.loads.queuedTokens(address, now) + state.random())),
    policy("rendezvous", byKey(wholePrefix)),
    policy("bounded rendezvous", byKey(boundedLoad)),
];
export const OURS = policy("ours", ours);
export const ORACLES: readonly Policy[] = [1, 2].map(weight =>
    policy(`full knowledge, w=${weight}`, fullKnowledge, {
        recomputationWeight: weight,
        congestionWeight: 0,
        tieTolerance: 0.02,
    })
);
export const ALL: readonly Policy[] = [...BASELINES, OURS, ...ORACLES];
