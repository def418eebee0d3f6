/** Guards against several servers prefilling the same part, and against stale records of prefills. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as codec from "../../src/peering/codec.js";
import type * as peering from "../../src/peering/types.js";
import * as prefills from "../../src/placement/prefills.js";

const SCOPE = "menu/2";
const PARTS = [{ id: "wall", tokens: 3780 }];

function heartbeatWith(entries: readonly peering.Prefill[]): peering.Heartbeat {
    const member: peering.Member = {
        name: "peer",
        role: "entry",
        dataCentre: undefined,
        beatAddress: "10.0.0.1:7600",
        documentAddress: "10.0.0.1:7600",
        serverAddress: undefined,
    };
    return {
        member,
        incarnation: "run",
        sequence: 1,
        isLeaving: false,
        lastChanges: {},
        spentTokens: {},
        serverLoads: {},
        prefills: entries,
        savedParts: [],
        cacheStores: [],
        rollouts: [],
        serverLimits: [],
        loadStatements: [],
        suspects: { records: [], trials: [] },
        desiredWeights: [],
        report: undefined,
    };
}

testing.test("the other entries learn of a prefill from the entry's heartbeat", () => {
    const own = new prefills.PrefillTracker();
    own.begin(SCOPE, PARTS, "one", 0);
    const message = codec.decode(codec.encode({ heartbeat: heartbeatWith(own.snapshot(100)), passedOn: [] }))!;
    const other = new prefills.PrefillTracker();
    other.applyPeer("peer", message.heartbeat.prefills, 100);
    assert.deepEqual(other.stateOf(SCOPE, "wall", 100).servers, new Set(["one"]));
    assert.equal(other.stateOf(SCOPE, "wall", 100).holders.size, 0);
    assert.deepEqual(other.stateOf(SCOPE, "garden", 100).servers, new Set());
});

testing.test("guards against prefills of a peer that ended or fell silent", () => {
    const own = new prefills.PrefillTracker();
    own.applyPeer("peer", [{ partHash: 7, server: "one", isComplete: false }], 0);
    const hash = new prefills.PrefillTracker();
    hash.begin(SCOPE, PARTS, "two", 0);
    own.applyPeer("peer", hash.snapshot(0), 100);
    assert.deepEqual(own.stateOf(SCOPE, "wall", 1000).servers, new Set(["two"]));
    assert.deepEqual(own.stateOf(SCOPE, "wall", 1200).servers, new Set());
    own.applyPeer("peer", [], 1300);
    assert.deepEqual(own.stateOf(SCOPE, "wall", 1300).servers, new Set());
});

testing.test("guards against confusing parts of different weights versions", () => {
    const own = new prefills.PrefillTracker();
    own.begin("menu/1", PARTS, "one", 0).complete(100);
    assert.deepEqual(own.stateOf(SCOPE, "wall", 200), { servers: new Set(), holders: new Set() });
});

testing.test("a server is known to hold what it has prefilled for two seconds, an unfinished prefill is dropped on disposal", () => {
    const own = new prefills.PrefillTracker();
    const first = own.begin(SCOPE, PARTS, "one", 0);
    assert.equal(own.stateOf(SCOPE, "wall", 200).holders.size, 0);
    first.complete(300);
    assert.deepEqual(own.stateOf(SCOPE, "wall", 300).holders, new Set(["one"]));
    first[Symbol.dispose]();
    assert.deepEqual(own.stateOf(SCOPE, "wall", 2299).servers, new Set(["one"]));
    assert.deepEqual(own.stateOf(SCOPE, "wall", 2300).servers, new Set());
    const rejected = own.begin(SCOPE, PARTS, "two", 2300);
    rejected[Symbol.dispose]();
    assert.deepEqual(own.stateOf(SCOPE, "wall", 2300).servers, new Set());
});

testing.test("guards against heartbeats that carry parts too small to matter", () => {
    const own = new prefills.PrefillTracker();
    own.begin(SCOPE, [{ id: "note", tokens: 200 }], "one", 0);
    assert.deepEqual(own.snapshot(0), []);
});

testing.test("guards against waiting for a server that never responds", () => {
    const own = new prefills.PrefillTracker();
    own.begin(SCOPE, PARTS, "one", 0);
    assert.deepEqual(own.stateOf(SCOPE, "wall", 2500).servers, new Set());
});

testing.test("guards against fetching a part from a server that is still prefilling it", () => {
    const own = new prefills.PrefillTracker();
    own.begin(SCOPE, PARTS, "one", 0).complete(100);
    own.begin(SCOPE, PARTS, "two", 100);
    const state = own.stateOf(SCOPE, "wall", 200);
    assert.deepEqual([state.servers, state.holders], [new Set(["one", "two"]), new Set(["one"])]);
});

testing.test("a server that fetched its parts from a store is known to hold them after the prefill", () => {
    const own = new prefills.PrefillTracker();
    const prefill = own.begin(SCOPE, [], "one", 0, PARTS);
    assert.equal(own.stateOf(SCOPE, "wall", 50).servers.size, 0);
    prefill.complete(100);
    assert.deepEqual(own.stateOf(SCOPE, "wall", 150).holders, new Set(["one"]));
});
