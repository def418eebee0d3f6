/** Guards against entries with stale views that send their calls to the same server. Titles start with the load. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as demands from "../../src/placement/demand.js";
import * as selection from "../../src/placement/selection.js";
import type * as types from "../../src/placement/types.js";
import * as builders from "../support/placement-builders.js";
import * as simulationClock from "../support/simulation-clock.js";

const SETTINGS = { outdatedPenaltyFromMs: 1200, outdatedExcludedFromMs: 6000, crossDataCentreMs: 6 };
const LATENCY: types.LatencyEstimate = { msPerPromptToken: 0.018, callMs: 80 };
const SERVERS = 55;
/** Calls that all entries place between two heartbeats, during which none of them sees the calls of the others. */
const BLIND_CALLS = 120;
const SEED = 4;

function candidates(outdated: (index: number) => boolean): readonly types.Candidate[] {
    return Array.from({ length: SERVERS }, (_, index) => {
        const server = builders.serverOf(`i-${index}`, { dataCentre: `centre-${index % 5}`, slots: 24 });
        return builders.candidateOf(server, {
            // The cheapest server by far: it has just become available.
            calls: index === 0 ? 0 : 4,
            pendingPromptTokens: index === 0 ? 0 : 6000,
            weightsVersion: outdated(index) ? 1 : 2,
            outdatedForMs: outdated(index) ? 2000 : undefined,
        });
    });
}

function request(key: string, utilization: number): types.PlacementRequest {
    return {
        affinityKey: `/${key}`,
        sharedTokens: 6300,
        prefillingServers: new Set(),
        unsharedTokens: 2890,
        expectedOutputTokens: 10,
        triedServers: new Set(),
        dataCentre: "centre-1",
        utilization,
        isShort: false,
        isHttpService: false,
    };
}

/** Places calls of many entries on the same view, and counts them by server. */
function placeBlindly(view: readonly types.Candidate[], utilization: number): ReadonlyMap<string, number> {
    const { random } = new simulationClock.SimulationClock(SEED);
    const counts = new Map<string, number>();
    for (let call = 0; call < BLIND_CALLS; call++) {
        const placementRequest = request(`part-${call}`, utilization);
        const decision = selection.chooseServer(view, placementRequest, LATENCY, SETTINGS, random);
        const id = decision.kind === "server" ? decision.candidate.server.id : decision.reason;
        counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    return counts;
}

testing.test("server back: guards against all entries sending their calls to the one idle server", () => {
    const counts = placeBlindly(candidates(() => false), 0.3);
    assert.ok(Math.max(...counts.values()) <= BLIND_CALLS / 8, [...counts.values()].join(" "));
});

testing.test("new weights: updated servers get as many calls as they can serve, the others go to outdated servers", () => {
    const updated = 5;
    const view = candidates(index => index >= updated);
    const counts = placeBlindly(view, 0.35);
    const onUpdated = view.slice(0, updated).reduce((sum, { server }) => sum + (counts.get(server.id) ?? 0), 0);
    const capacity = BLIND_CALLS * updated / (SERVERS * 0.35);
    assert.ok(onUpdated > capacity / 3 && onUpdated <= capacity, `${onUpdated} of ${capacity}`);
});

testing.test("new weights: with few calls all of them go to updated servers", () => {
    const updated = 5;
    const view = candidates(index => index >= updated);
    const counts = placeBlindly(view, 0.02);
    assert.equal(
        view.slice(0, updated).reduce((sum, { server }) => sum + (counts.get(server.id) ?? 0), 0),
        BLIND_CALLS,
    );
});

testing.test("calm: calls stay at the preferred servers of their parts", () => {
    const view = candidates(() => false).map(candidate => ({ ...candidate, calls: 2, pendingPromptTokens: 0 }));
    const { random } = new simulationClock.SimulationClock(SEED);
    const decisions = Array.from({ length: BLIND_CALLS }, (_, call) => {
        return selection.chooseServer(view, request(`part-${call}`, 0.3), LATENCY, SETTINGS, random);
    });
    assert.ok(decisions.every(decision => decision.kind === "server" && decision.isPreferred));
});

testing.test("the load of all servers is estimated from the own calls and the number of entries", () => {
    const estimates = new demands.DemandEstimates(() => 10);
    // 100 tokens in each millisecond of all entries: each of 10 servers prefills for 0.2 of the time.
    for (let now = 0; now < 20_000; now += 100) {
        estimates.record("menu", 1000, 1000, now);
    }
    const latency = { msPerPromptToken: 0.02, callMs: 80 };
    const utilization = estimates.utilization("menu", 10, latency, 20_000);
    assert.ok(Math.abs(utilization - 0.2) < 0.02, String(utilization));
    assert.ok(estimates.utilization("menu", 10, latency, 40_000) < 0.001);
    assert.equal(estimates.utilization("note", 10, latency, 20_000), 0);
});

testing.test("servers that return cold: calls use an open one while all others have queues, and leave it when they have none", () => {
    const cold = (index: number) => index % 5 === 0 && index < 20;
    const view = (pendingPromptTokens: number) =>
        candidates(() => false).map((candidate, index) => ({
            ...candidate,
            ...cold(index)
                ? { calls: 0, pendingPromptTokens: 0, isCold: true, limit: "open" as const }
                : { calls: 4, pendingPromptTokens },
        }));
    const coldCalls = (pendingPromptTokens: number) => {
        const { random } = new simulationClock.SimulationClock(SEED);
        const decisions = Array.from({ length: BLIND_CALLS }, (_, call) => {
            return selection.chooseServer(
                view(pendingPromptTokens),
                request(`p-${call}`, 0.9),
                LATENCY,
                SETTINGS,
                random,
            );
        });
        return decisions.filter(decision => decision.kind === "server" && decision.candidate.isCold === true).length;
    };
    assert.equal(coldCalls(60_000), BLIND_CALLS);
    assert.ok(coldCalls(0) < BLIND_CALLS / 10, `${coldCalls(0)} calls at cold servers`);
});
