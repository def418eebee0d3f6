/** Guards against server choices that waste time or cached parts. Test titles start with the load scenario. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as selection from "../../src/placement/selection.js";
import type * as types from "../../src/placement/types.js";
import * as builders from "../support/placement-builders.js";

const SETTINGS = { outdatedPenaltyFromMs: 1200, outdatedExcludedFromMs: 6000, crossDataCentreMs: 6 };
const LATENCY: types.LatencyEstimate = { msPerPromptToken: 0.015, callMs: 80 };

const server = builders.serverOf;

function candidate(id: string, changes: Partial<types.Candidate> = {}): types.Candidate {
    return builders.candidateOf(server(id), changes);
}

const REVIEW: types.PlacementRequest = {
    affinityKey: "/wall",
    sharedTokens: 6300,
    prefillingServers: new Set(),
    unsharedTokens: 2900,
    expectedOutputTokens: 10,
    triedServers: new Set(),
    dataCentre: "one",
    utilization: 0.3,
    isShort: false,
    isHttpService: false,
};

function choose(candidates: readonly types.Candidate[], request = REVIEW): types.PlacementDecision {
    return selection.chooseServer(candidates, request, LATENCY, SETTINGS, () => 0.5);
}

function chosen(decision: types.PlacementDecision): string {
    return decision.kind === "server" ? decision.candidate.server.id : decision.reason;
}

const IDS = ["1", "2", "3", "4"];
const IDLE = IDS.map(id => candidate(id));
const PREFERRED = chosen(choose(IDLE));

testing.test("idle: the preferred server of a shared part does not depend on the order of the candidates", () => {
    assert.equal(chosen(choose(IDLE.toReversed())), PREFERRED);
    const decision = choose(IDLE);
    assert.ok(decision.kind === "server" && decision.isPreferred);
});

testing.test("hot key: another server is chosen when the queue of the preferred server costs more than the prefill elsewhere", () => {
    const short = IDLE.map(entry => entry.server.id === PREFERRED ? { ...entry, pendingPromptTokens: 3000 } : entry);
    assert.equal(chosen(choose(short)), PREFERRED);
    const long = IDLE.map(entry => entry.server.id === PREFERRED ? { ...entry, pendingPromptTokens: 20_000 } : entry);
    assert.notEqual(chosen(choose(long)), PREFERRED);
});

testing.test("crash: a suspected preferred server is avoided, and chosen again afterwards", () => {
    const suspected = IDLE.map(entry => ({ ...entry, isSuspected: entry.server.id === PREFERRED }));
    assert.notEqual(chosen(choose(suspected)), PREFERRED);
    assert.equal(chosen(choose(IDLE)), PREFERRED);
});

testing.test("new weights: an updating server gets no calls, an outdated one only when the others are outdated too", () => {
    const updating = IDLE.map(entry => ({ ...entry, isUpdatingWeights: entry.server.id === PREFERRED }));
    assert.notEqual(chosen(choose(updating)), PREFERRED);
    const outdated = IDLE.map(entry => entry.server.id === PREFERRED ? { ...entry, outdatedForMs: 2000 } : entry);
    assert.notEqual(chosen(choose(outdated)), PREFERRED);
    const allOutdated = IDLE.map(entry => ({ ...entry, outdatedForMs: 2000 }));
    assert.equal(chosen(choose(allOutdated)), PREFERRED);
});

testing.test("guards against calls to servers whose weights are outdated beyond the limit", () => {
    const expired = IDLE.map(entry => ({ ...entry, outdatedForMs: 6000 }));
    assert.equal(chosen(choose(expired)), "all-outdated");
});

testing.test("guards against new calls to a draining server", () => {
    const draining = IDLE.map(entry => {
        return entry.server.id === PREFERRED ? { ...entry, server: server(PREFERRED, { state: "draining" }) } : entry;
    });
    const decision = choose(draining);
    assert.notEqual(chosen(decision), PREFERRED);
    assert.ok(decision.kind === "server" && decision.preferredServer?.id !== PREFERRED);
});

testing.test("overload: a call waits at the entry rather than in the queue of a full HTTP server", () => {
    const booking: types.PlacementRequest = {
        ...REVIEW,
        affinityKey: undefined,
        sharedTokens: 0,
        unsharedTokens: 0,
        isHttpService: true,
    };
    const full = IDS.map(id => candidate(id, { server: server(id, { slots: 6 }), calls: 9 }));
    assert.equal(chosen(choose(full, booking)), "all-full");
    const free = full.with(2, { ...full[2]!, calls: 8 });
    assert.equal(chosen(choose(free, booking)), "3");
});

testing.test("limits: a server whose limit leaves nothing gets no call, and short prompts spare those that have a limit", () => {
    const closed = IDLE.map(entry => ({ ...entry, limit: "closed" as const }));
    assert.equal(chosen(choose(closed)), "all-limited");
    const open = IDLE.map(entry => ({ ...entry, limit: entry.server.id === "2" ? "none" as const : "open" as const }));
    assert.equal(chosen(choose(open)), PREFERRED);
    assert.equal(chosen(choose(open, { ...REVIEW, isShort: true })), "2");
    const full = open.map(entry => entry.server.id === "2" ? { ...entry, calls: entry.server.slots } : entry);
    const overflow = chosen(choose(full, { ...REVIEW, isShort: true }));
    assert.ok(overflow !== "2" && IDS.includes(overflow), overflow);
});

testing.test("partial failure: a server that fails many calls is avoided even if the others have more load", () => {
    const booking: types.PlacementRequest = {
        ...REVIEW,
        affinityKey: undefined,
        sharedTokens: 0,
        unsharedTokens: 0,
        isHttpService: true,
    };
    const failing = IDS.map(id => {
        const failureShare = id === "1" ? 0.4 : 0;
        return candidate(id, { server: server(id, { slots: 6 }), calls: id === "1" ? 0 : 5, failureShare });
    });
    assert.notEqual(chosen(choose(failing, booking)), "1");
});

testing.test("data centres: the server in the entry's own data centre is chosen among equals", () => {
    const unshared: types.PlacementRequest = { ...REVIEW, affinityKey: undefined, sharedTokens: 0 };
    const servers = IDS.map(id => candidate(id, { server: server(id, { dataCentre: id === "3" ? "one" : "two" }) }));
    assert.equal(chosen(choose(servers, unshared)), "3");
});

testing.test("new weights: a call with a long response avoids a server with a pending update, one with a short response stays at its preferred server", () => {
    const pending = IDLE.map(entry => ({ ...entry, isUpdatePending: entry.server.id === PREFERRED }));
    assert.notEqual(chosen(choose(pending, { ...REVIEW, expectedOutputTokens: 150 })), PREFERRED);
    assert.equal(chosen(choose(pending, { ...REVIEW, expectedOutputTokens: 8 })), PREFERRED);
    const busy = pending.map(entry => entry.isUpdatePending ? entry : { ...entry, pendingPromptTokens: 100_000 });
    assert.equal(chosen(choose(busy, { ...REVIEW, expectedOutputTokens: 150 })), PREFERRED);
});

testing.test("cold cache: guards against two servers prefilling the same part", () => {
    const prefillingServer = IDS.find(id => id !== PREFERRED)!;
    const request = { ...REVIEW, prefillingServers: new Set([prefillingServer]) };
    const busier = IDLE.map(entry =>
        entry.server.id === prefillingServer ? { ...entry, pendingPromptTokens: 12_000 } : entry
    );
    assert.equal(chosen(choose(busier, request)), prefillingServer);
    const overloaded = IDLE.map(entry =>
        entry.server.id === prefillingServer ? { ...entry, pendingPromptTokens: 60_000 } : entry
    );
    assert.notEqual(chosen(choose(overloaded, request)), prefillingServer);
});

/** What a server states of itself. */
function stated(changes: Partial<NonNullable<types.Candidate["stated"]>> = {}): types.Candidate["stated"] {
    return { calls: 0, waiting: 0, pace: 1, isFull: false, ageMs: 0, ...changes };
}

testing.test("engine that states a queue which the entries do not count: calls go to another one", () => {
    const request = { ...REVIEW, affinityKey: undefined, meanPromptTokens: 3000 };
    const decision = choose([candidate("queued", { stated: stated({ waiting: 6 }) }), candidate("idle")], request);
    assert.equal(chosen(decision), "idle");
});

testing.test("slow machine: long prompts go to another engine, unless its queue takes longer", () => {
    const request = { ...REVIEW, affinityKey: undefined };
    const slow = candidate("slow", { stated: stated({ pace: 3 }) });
    assert.equal(chosen(choose([slow, candidate("usual", { pendingPromptTokens: 5000 })], request)), "usual");
    assert.equal(chosen(choose([slow, candidate("usual", { pendingPromptTokens: 60_000 })], request)), "slow");
});

testing.test("all servers reject calls as full: the call is not placed", () => {
    const decision = choose([candidate("a", { stated: stated({ isFull: true }) })]);
    assert.deepEqual(decision, { kind: "none", reason: "all-full" });
});

testing.test("contended servers: long answers stay off a server with a pending update while another has capacity", () => {
    const pending = candidate("pending", { isUpdatePending: true });
    const busy = candidate("busy", { pendingPromptTokens: 60_000 });
    const long = { ...REVIEW, affinityKey: undefined, expectedOutputTokens: 40, isContended: true };
    assert.equal(chosen(choose([pending, busy], long)), "busy");
    assert.equal(chosen(choose([pending, busy], { ...long, expectedOutputTokens: 7 })), "pending");
    assert.equal(chosen(choose([pending, busy], { ...long, isContended: false })), "pending");
    assert.equal(chosen(choose([pending], long)), "pending", "there is no other");
});
