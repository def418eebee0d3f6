/** Guards against parts that several servers read, and against readings that are believed after they ended. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as codec from "../../src/peering/codec.js";
import type * as peering from "../../src/peering/types.js";
import * as readings from "../../src/placement/readings.js";

const TOKENS = 3780;

function beatWith(entries: readonly peering.Reading[]): peering.Beat {
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
        changes: {},
        spending: {},
        use: {},
        readings: entries,
        weights: [],
        report: undefined,
    };
}

testing.test("a part that is read for one entry is known to the others by its beat", () => {
    const own = new readings.Readings();
    own.begin("/wall", TOKENS, "one", 0);
    const heard = codec.decode(codec.encode(beatWith(own.snapshot(100))))!;
    const other = new readings.Readings();
    assert.deepEqual(other.servers("/wall", [heard], 100), new Set(["one"]));
    assert.deepEqual(other.servers("/garden", [heard], 100), new Set());
});

testing.test("a part that was read counts until the store tells of it, one that was not is dropped at once", () => {
    const own = new readings.Readings();
    const read = own.begin("/wall", TOKENS, "one", 0);
    read.finished(300);
    read[Symbol.dispose]();
    assert.deepEqual(own.servers("/wall", [], 800), new Set(["one"]));
    assert.deepEqual(own.servers("/wall", [], 1000), new Set());
    const turnedAway = own.begin("/wall", TOKENS, "two", 1000);
    turnedAway[Symbol.dispose]();
    assert.deepEqual(own.servers("/wall", [], 1000), new Set());
});

testing.test("guards against beats that grow by parts that are read in no time", () => {
    const own = new readings.Readings();
    own.begin("/note", 200, "one", 0);
    assert.deepEqual(own.snapshot(0), []);
});

testing.test("guards against a server that is waited for although it never answers", () => {
    const own = new readings.Readings();
    own.begin("/wall", TOKENS, "one", 0);
    assert.deepEqual(own.servers("/wall", [], 2500), new Set());
});
