/** Guards against divisions that hold a call back, that differ between entries, and that log without bound. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as event from "../../src/core/event.js";
import * as groupChoice from "../../src/placement/group-choice.js";
import * as promptDemands from "../../src/placement/prompt-demand.js";
import * as promptGroups from "../../src/placement/prompt-groups.js";
import * as promptKinds from "../../src/placement/prompt-kinds.js";
import * as selection from "../../src/placement/selection.js";
import type * as types from "../../src/placement/types.js";
import * as builders from "../support/placement-builders.js";

const LATENCY: types.LatencyEstimate = { msPerPromptToken: 0.025, callMs: 80 };
const SETTINGS = { outdatedPenaltyFromMs: 1200, outdatedExcludedFromMs: 6000, crossDataCentreMs: 6 };
const SHORT_CALL: promptGroups.DividedCall = {
    service: "menu",
    promptTokens: 800,
    targetLatencyMs: 400,
    routePriority: 0,
};
const LONG_CALL: promptGroups.DividedCall = {
    service: "menu",
    promptTokens: 9000,
    targetLatencyMs: 600,
    routePriority: 1,
};

const CONFIGURATION = builders.configurationOf([builders.streamRoute({})]);

function candidates(count: number, changes: Partial<types.Candidate> = {}): readonly types.Candidate[] {
    return Array.from({ length: count }, (_, index) => {
        const server = builders.serverOf(`i-${index}`, { dataCentre: `centre-${index % 4}`, slots: 48 });
        return builders.candidateOf(server, changes);
    });
}

const SERVERS = candidates(20);

class Entry {
    readonly events: event.Fields[] = [];
    readonly demands: promptDemands.PromptDemands;
    readonly groups: promptGroups.PromptGroups;

    constructor(entryCount = 1) {
        this.demands = new promptDemands.PromptDemands(() => entryCount);
        const journal = { emit: (_: string, fields: event.Fields = {}) => void this.events.push(fields) };
        this.groups = new promptGroups.PromptGroups({ journal, demands: this.demands });
    }

    /** Places calls of both kinds, a second's worth of each. */
    load(now: number, shortMs = 2000, longMs = 4000): this {
        this.groups.place(SHORT_CALL, "short", shortMs, now)[Symbol.dispose]();
        this.groups.place(LONG_CALL, "long", longMs, now)[Symbol.dispose]();
        return this;
    }

    groupOf(call: promptGroups.DividedCall, now: number, view = SERVERS): types.ServerGroup | undefined {
        return this.groups.groupOf(call, view, CONFIGURATION, LATENCY, now);
    }
}

function request(group: types.ServerGroup | undefined, isLong: boolean): types.PlacementRequest {
    return {
        affinityKey: "/part",
        sharedTokens: isLong ? 6300 : 200,
        prefillingServers: new Set(),
        unsharedTokens: isLong ? 2700 : 600,
        expectedOutputTokens: 10,
        triedServers: new Set(),
        dataCentre: "centre-0",
        utilization: 0.3,
        isShort: !isLong,
        isHttpService: false,
        group,
    };
}

function choose(view: readonly types.Candidate[], placed: types.PlacementRequest): types.PlacementDecision {
    return selection.chooseServer(view, placed, LATENCY, SETTINGS, () => 0.5);
}

testing.test("a prompt is long by its prefill time and the pauses that streams tolerate, not by its length", () => {
    assert.equal(promptKinds.kindOf(800, 400, LATENCY), "short");
    assert.equal(promptKinds.kindOf(9000, 400, LATENCY), "long");
    assert.equal(promptKinds.kindOf(9000, 400, { ...LATENCY, msPerPromptToken: 0.005 }), "short");
    assert.equal(promptKinds.kindOf(9000, 4000, LATENCY), "short");
});

testing.test("the streams of a service with the shortest target gap decide; without one there is no division", () => {
    const gaps = promptKinds.targetGaps(builders.configurationOf([
        builders.streamRoute({ targetGapMs: 400 }),
        builders.streamRoute({ targetGapMs: 300 }),
        builders.streamRoute({
            targetGapMs: 100,
            targets: [{ service: "menu", weight: 0 }, { service: "note", weight: 1 }],
        }),
        builders.streamRoute({ targetGapMs: 50, kind: "idempotent" }),
        builders.streamRoute({ targetGapMs: 0, targets: [{ service: "draft", weight: 1 }] }),
    ]));
    assert.deepEqual([...gaps], [["menu", 300], ["note", 100]]);
    const entry = new Entry().load(0);
    assert.equal(entry.groupOf({ ...LONG_CALL, service: "draft" }, 0), undefined);
});

testing.test("both kinds: each server is for one of them, and calls stay with their kind", () => {
    const entry = new Entry().load(0);
    const short = entry.groupOf(SHORT_CALL, 0)!;
    const long = entry.groupOf(LONG_CALL, 0)!;
    assert.equal(short.servers.size + long.servers.size, SERVERS.length);
    assert.ok([...short.servers].every(id => !long.servers.has(id)));
    for (const [group, isLong] of [[short, false], [long, true]] as const) {
        const decision = choose(SERVERS, request(group, isLong));
        assert.ok(decision.kind === "server" && group.servers.has(decision.candidate.server.id));
        assert.equal(decision.group, group.kind);
        assert.ok(decision.isPreferred);
    }
});

testing.test("only one kind: all servers are shared", () => {
    const entry = new Entry();
    entry.groups.place(SHORT_CALL, "short", 2000, 0);
    assert.equal(entry.groupOf(SHORT_CALL, 0), undefined);
    const decision = choose(SERVERS, request(undefined, false));
    assert.ok(decision.kind === "server" && decision.group === undefined);
});

testing.test("long prompts stop: the division vanishes within seconds", () => {
    const entry = new Entry().load(0);
    assert.notEqual(entry.groupOf(SHORT_CALL, 0), undefined);
    for (let now = 0; now < 20_000; now += 500) {
        entry.groups.place(SHORT_CALL, "short", 500, now)[Symbol.dispose]();
    }
    assert.equal(entry.groupOf(SHORT_CALL, 20_000), undefined);
});

testing.test("entries that disagree by a heartbeat: their groups differ by few servers", () => {
    const [first, second] = [new Entry(2), new Entry(2)];
    for (let now = 0; now <= 6000; now += 150) {
        const rate = now < 3000 ? 1 : 2;
        const sent = [first.demands.snapshot(now), second.demands.snapshot(now)] as const;
        first.load(now, 75 * rate, 150);
        second.load(now, 75 * rate, 150);
        // The second entry misses each other heartbeat.
        first.demands.applyPeer("second", sent[1], now);
        if (now % 300 === 0) {
            second.demands.applyPeer("first", sent[0], now);
        }
        const groups = [first, second].map(entry => entry.groupOf(SHORT_CALL, now)?.servers ?? new Set());
        const different = SERVERS.filter(({ server }) => groups[0]!.has(server.id) !== groups[1]!.has(server.id));
        assert.ok(now < 1500 || different.length <= 2, `${different.length} at ${now}`);
    }
});

testing.test("all servers of a group are full: its calls use the other group", () => {
    const entry = new Entry().load(0);
    const short = entry.groupOf(SHORT_CALL, 0)!;
    const view = SERVERS.map(candidate =>
        short.servers.has(candidate.server.id)
            ? { ...candidate, calls: candidate.server.slots }
            : candidate
    );
    const decision = choose(view, request(short, false));
    assert.ok(decision.kind === "server" && decision.group === "long");
});

testing.test("overload of both kinds: that of the more urgent routes gets the servers that it needs", () => {
    const sizeOf = (shortPriority: number, longPriority: number) => {
        const entry = new Entry();
        for (let call = 0; call < 100; call++) {
            entry.groups.place({ ...SHORT_CALL, routePriority: shortPriority }, "short", 180, 0);
            entry.groups.place({ ...LONG_CALL, routePriority: longPriority }, "long", 1200, 0);
        }
        return entry.groupOf(SHORT_CALL, 0)!.servers.size;
    };
    // Short prompts need 13 of 20 servers, long ones all of them and more.
    assert.equal(sizeOf(0, 2), 13);
    assert.equal(sizeOf(2, 0), 5);
    assert.ok(sizeOf(1, 1) < 5);
});

testing.test("long queues in a group: short prompts use the other group, long ones only where no stream pauses too long", () => {
    const entry = new Entry();
    for (let call = 0; call < 40; call++) {
        entry.load(0, 50, 100);
    }
    const short = entry.groupOf(SHORT_CALL, 0)!;
    const long = entry.groupOf(LONG_CALL, 0)!;
    const busy = (group: types.ServerGroup) =>
        SERVERS.map(candidate =>
            group.servers.has(candidate.server.id)
                ? { ...candidate, calls: 3, pendingPromptTokens: 30_000 }
                : candidate
        );
    const shortDecision = choose(busy(short), request(short, false));
    assert.ok(shortDecision.kind === "server" && shortDecision.group === "long");
    const longDecision = choose(busy(long), request(long, true));
    assert.ok(longDecision.kind === "server" && longDecision.group === "long");
    const small = { ...request(long, true), sharedTokens: 3000 };
    const smallDecision = choose(busy(long), small);
    assert.ok(smallDecision.kind === "server" && smallDecision.group === "short");
});

testing.test("all servers of a group are gone: no call is left without a server", () => {
    const entry = new Entry().load(0);
    const long = entry.groupOf(LONG_CALL, 0)!;
    const others = SERVERS.filter(({ server }) => !long.servers.has(server.id))
        .map(candidate => ({ ...candidate, pendingPromptTokens: 20_000 }));
    assert.equal(groupChoice.groupCandidates(others, request(long, true), LATENCY).own.length, others.length);
    assert.equal(choose(others, request(long, true)).kind, "server");
});

testing.test("all servers but two crash: they are shared", () => {
    const entry = new Entry().load(0);
    const view = SERVERS.map((candidate, index) => ({ ...candidate, isSuspected: index > 1 }));
    assert.equal(entry.groupOf(SHORT_CALL, 0, view), undefined);
});

testing.test("changing demand: at most one log line a second", () => {
    const entry = new Entry();
    for (let now = 0; now < 10_000; now += 100) {
        entry.load(now, now % 2000 < 1000 ? 1500 : 10, 400);
        entry.groupOf(SHORT_CALL, now);
    }
    assert.ok(entry.events.length > 1 && entry.events.length <= 10, String(entry.events.length));
});
