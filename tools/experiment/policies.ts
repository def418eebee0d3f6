/** Routing policies to compare: baselines, the policy of src/routing, and oracles that read the servers without lag. */
import * as rendezvous from "../../src/core/rendezvous.js";
import * as parameters from "../../src/routing/parameters.js";
import type * as prefixIndex from "../../src/routing/prefix-index.js";
import * as selection from "../../src/routing/selection.js";
import type * as serverLoads from "../../src/routing/server-loads.js";
import type * as types from "../../src/routing/types.js";
import type * as fakes from "./fake-server.js";
import type * as workloads from "./workload.js";

/** State of one entry; only the oracles read `servers`. */
export interface EntryState {
    readonly index: prefixIndex.PrefixIndex;
    readonly loads: serverLoads.ServerLoads;
    /** Requests in flight from this entry by server. */
    readonly inFlight: Map<string, number>;
    readonly random: () => number;
    readonly settings: parameters.Parameters;
    readonly servers: ReadonlyMap<string, fakes.FakeServer>;
    readonly workload: workloads.Workload;
    roundRobinTurn: number;
}

export type Choice = Omit<types.RankedServer, "costMs">;
type Rank = (
    arrival: workloads.Arrival,
    all: readonly types.Candidate[],
    state: EntryState,
    now: number,
) => readonly Choice[];
type SortKey = (
    address: string,
    state: EntryState,
    now: number,
    position: number,
    arrival: workloads.Arrival,
) => number;
export type Policy = ReturnType<typeof createPolicy>;
/** Limit of a server in rendezvous hashing with bounded loads, as a multiple of the mean load. */
const BOUNDED_LOAD_FACTOR = 1.25;

function createPolicy(name: string, rank: Rank, changes: Partial<parameters.Parameters> = {}) {
    return { name, rank, settings: { ...parameters.defaults, ...changes }, isRouterPolicy: rank === rankByCost };
}

/** Ranks servers by ascending key. */
function rankByKey(key: SortKey): Rank {
    return (arrival, all, state, now) =>
        all.map(({ address }, position) => ({ address, key: key(address, state, now, position, arrival) }))
            .sort((left, right) => left.key - right.key)
            .map(({ address }) => ({ address, expectedCachedTokens: 0, expectedMs: 0 }));
}

/**
 * Rendezvous hashing by the shared part of the prompt. A real router does not know where that part ends, which favours
 * this baseline.
 */
const rendezvousKey: SortKey = (address, _, __, ___, arrival) =>
    -rendezvous.score(arrival.sharedKey, { id: address, weight: 1 });

const boundedLoadKey: SortKey = (address, state, now, position, arrival) => {
    const total = [...state.inFlight.values()].reduce((sum, count) => sum + count, 1);
    const limit = Math.ceil(BOUNDED_LOAD_FACTOR * total / state.servers.size);
    const isFull = (state.inFlight.get(address) ?? 0) >= limit;
    return rendezvousKey(address, state, now, position, arrival) + (isFull ? Number.MAX_SAFE_INTEGER : 0);
};

const rankByCost: Rank = (arrival, all, state, now) =>
    selection.rankServers(arrival, all, state.index, state.loads, now, state.random(), state.settings);

/** The cost model of the router on the actual queues and caches. It is greedy, so it only approximates the optimum. */
const rankWithFullKnowledge: Rank = (arrival, all, state, now) => {
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
    createPolicy("random", rankByKey((_, state) => state.random())),
    createPolicy(
        "round robin",
        rankByKey((_, state, __, position) => {
            state.roundRobinTurn += position === 0 ? 1 : 0;
            return (position + state.roundRobinTurn) % state.servers.size;
        }),
    ),
    createPolicy(
        "least load",
        rankByKey((address, state, now) => state.loads.queuedTokens(address, now) + state.random()),
    ),
    createPolicy("rendezvous", rankByKey(rendezvousKey)),
    createPolicy("bounded rendezvous", rankByKey(boundedLoadKey)),
];
export const ROUTER_POLICY = createPolicy("ours", rankByCost);
export const ORACLES: readonly Policy[] = [1, 2].map(weight =>
    createPolicy(`full knowledge, w=${weight}`, rankWithFullKnowledge, {
        recomputationWeight: weight,
        congestionWeight: 0,
        tieTolerance: 0.02,
    })
);
export const ALL: readonly Policy[] = [...BASELINES, ROUTER_POLICY, ...ORACLES];
