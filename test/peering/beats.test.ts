/** Guards against beats that are misread, processes that are counted twice, and old beats that undo newer ones. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as codec from "../../src/peering/codec.js";
import * as tables from "../../src/peering/member-table.js";
import type * as types from "../../src/peering/types.js";

const SEED = 8;

function member(name: string, beatAddress: string): types.Member {
    return { name, role: "entry", beatAddress, documentAddress: beatAddress, serverAddress: undefined };
}

function beat(name: string, incarnation: string, sequence: number): types.Beat {
    return {
        member: member(name, `10.0.0.${name.length}:7600`),
        incarnation,
        sequence,
        isLeaving: false,
        changes: { config: 3 },
        spending: { gallery: 100 },
        use: { server: { calls: 2, unreadTokens: 300 } },
        readings: [{ part: 7, server: "server", isRead: true }],
        weights: [{ model: "menu", version: 2, revision: 9 }],
        report: {
            address: "10.0.0.9:8000",
            isAlive: true,
            startedAt: 5,
            weights: [{ model: "menu", version: 2 }],
            isMoving: false,
            isWindingDown: true,
            running: 1,
            waiting: 0,
        },
    };
}

testing.test("a beat is read as it was written", () => {
    const sent = beat("a", "run", 1);
    assert.deepEqual(codec.decode(codec.encode(sent)), sent);
    const bare = { ...sent, report: undefined, use: {}, spending: {}, isLeaving: true };
    assert.deepEqual(codec.decode(codec.encode(bare)), bare);
});

testing.test("guards against datagrams of other layouts or of strangers", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.uint8Array({ maxLength: 80 }), bytes => {
            assert.equal(codec.decode(Buffer.from(bytes)), undefined);
        }),
        { seed: SEED },
    );
    assert.equal(codec.decode(Buffer.from('{"layout":2}')), undefined);
});

testing.test("guards against an overtaken beat that replaces a newer one", () => {
    const table = new tables.MemberTable("self");
    assert.equal(table.hear(beat("a", "run", 5), 0), true);
    assert.equal(table.hear(beat("a", "run", 4), 1), false);
    assert.equal(table.hear(beat("a", "next run", 0), 2), true);
});

testing.test("a seed that names itself, and a process that replaces another at its address, count once", () => {
    const table = new tables.MemberTable("self");
    table.learn([member("seed 10.0.0.1:7600", "10.0.0.1:7600")]);
    table.hear(beat("a", "run", 0), 0);
    table.learn([member("b", "10.0.0.1:7600")]);
    assert.deepEqual(table.others().map(other => other.name), ["b"]);
    assert.equal(table.recent(3000, 1000).length, 0);
});
