/** Guards against parts that several servers read, and against readings that are believed after they ended. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as codec from "../../src/peering/codec.js";
import type * as peering from "../../src/peering/types.js";
import * as readings from "../../src/placement/readings.js";

const SCOPE = "menu/2";
const WALL = [{ id: "wall", tokens: 3780 }];

function beatWith(entries: readonly peering.Prefill[]): peering.Heartbeat {
    const member: peering.Member = {
        name: "peer",
        role: "entry",
        beatAddress: "10.0.0.1:7600",
        documentAddress: "10.0.0.1:7600",
        serverAddress: undefined,
    };
    return {
        member,
        incarnation: "run",
        sequence: 1,
        isLeaving: false,
        changeRevisions: {},
        spentTokens: {},
        serverLoads: {},
        prefills: entries,
        targetWeights: [],
        report: undefined,
    };
}

testing.test("a part that is read for one entry is known to the others by its beat", () => {
    const own = new readings.Readings();
    own.begin(SCOPE, WALL, "one", 0);
    const heard = codec.decode(codec.encode(beatWith(own.snapshot(100))))!;
    const other = new readings.Readings();
    assert.deepEqual(other.stateOf(SCOPE, "wall", [heard], 100).servers, new Set(["one"]));
    assert.equal(other.stateOf(SCOPE, "wall", [heard], 100).isRead, false);
    assert.deepEqual(other.stateOf(SCOPE, "garden", [heard], 100).servers, new Set());
});

testing.test("guards against parts of older weights that stand for those of newer ones", () => {
    const own = new readings.Readings();
    own.begin("menu/1", WALL, "one", 0).finished(100);
    assert.deepEqual(own.stateOf(SCOPE, "wall", [], 200), { servers: new Set(), isRead: false });
});

testing.test("a part that was read counts until the store tells of it, one that was not is dropped at once", () => {
    const own = new readings.Readings();
    const read = own.begin(SCOPE, WALL, "one", 0);
    assert.equal(own.stateOf(SCOPE, "wall", [], 200).isRead, false);
    read.finished(300);
    assert.equal(own.stateOf(SCOPE, "wall", [], 300).isRead, true);
    read[Symbol.dispose]();
    assert.deepEqual(own.stateOf(SCOPE, "wall", [], 800).servers, new Set(["one"]));
    assert.deepEqual(own.stateOf(SCOPE, "wall", [], 1000).servers, new Set());
    const turnedAway = own.begin(SCOPE, WALL, "two", 1000);
    turnedAway[Symbol.dispose]();
    assert.deepEqual(own.stateOf(SCOPE, "wall", [], 1000).servers, new Set());
});

testing.test("guards against beats that grow by parts that are read in no time", () => {
    const own = new readings.Readings();
    own.begin(SCOPE, [{ id: "note", tokens: 200 }], "one", 0);
    assert.deepEqual(own.snapshot(0), []);
});

testing.test("guards against a server that is waited for although it never answers", () => {
    const own = new readings.Readings();
    own.begin(SCOPE, WALL, "one", 0);
    assert.deepEqual(own.stateOf(SCOPE, "wall", [], 2500).servers, new Set());
});
