/** Guards against wrongly decoded heartbeats, processes counted twice, and old heartbeats that replace newer ones. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as codec from "../../src/peering/codec.js";
import * as memberTables from "../../src/peering/member-table.js";
import type * as types from "../../src/peering/types.js";

const SEED = 8;

function member(name: string, beatAddress: string): types.Member {
    return {
        name,
        role: "entry",
        dataCentre: undefined,
        beatAddress,
        documentAddress: beatAddress,
        serverAddress: undefined,
    };
}

function heartbeat(name: string, incarnation: string, sequence: number): types.Heartbeat {
    return {
        member: member(name, `10.0.0.${name.length}:7600`),
        incarnation,
        sequence,
        isLeaving: false,
        lastChanges: { config: { era: 2, revision: 3 } },
        spentTokens: { gallery: 100 },
        serverLoads: { server: { calls: 2, pendingPromptTokens: 300 } },
        prefills: [{ partHash: 7, server: "server", isComplete: true }],
        savedParts: [{ partHash: 4_000_000_000, tokens: 6670 }, { partHash: 5, tokens: 79 }],
        cacheStores: [{ address: "10.9.0.1:80", incarnation: "7" }, { address: "10.9.0.2:80", incarnation: undefined }],
        rollouts: [],
        serverLimits: [],
        loadStatements: [{
            server: "server",
            startedAt: 5,
            load: { running: 6, waiting: 24, slots: 6, pace: 2.5 },
            ageMs: 20,
            isRejecting: true,
        }],
        suspects: { records: [], trials: [] },
        desiredWeights: [{ model: "menu", version: 2, position: { era: 1, revision: 9 } }],
        report: {
            address: "10.0.0.9:8000",
            isAlive: true,
            startedAt: 5,
            weights: [{ model: "menu", version: 2 }],
            isUpdatingWeights: false,
            isUpdatePending: true,
            running: 1,
            waiting: 0,
        },
    };
}

testing.test("a decoded heartbeat equals the encoded one", () => {
    const sent = heartbeat("a", "run", 1);
    const minimal = { ...sent, report: undefined, serverLoads: {}, spentTokens: {}, isLeaving: true };
    const located = { ...sent, member: { ...sent.member, dataCentre: "one" } };
    const demand = { service: "menu", short: { busyServers: 0.25, calls: 3 }, long: { busyServers: 1.5, calls: 2 } };
    const dividing = { ...sent, promptDemands: [demand] };
    const message = { heartbeat: sent, passedOn: [minimal, located, dividing] };
    assert.deepEqual(codec.decode(codec.encode(message)), message);
    assert.deepEqual(codec.decode(codec.encode({ heartbeat: minimal, passedOn: [] })), {
        heartbeat: minimal,
        passedOn: [],
    });
});

testing.test("rolling restart: heartbeats without the appended elements of newer processes are understood", () => {
    const sent = heartbeat("a", "run", 1);
    const encoded = codec.encode({ heartbeat: sent, passedOn: [sent] });
    const withoutAppended = (JSON.parse(encoded.toString()) as unknown[]).slice(0, 15);
    const decoded = codec.decode(Buffer.from(JSON.stringify(withoutAppended)));
    const lastChanges = { config: { era: 0, revision: 3 } };
    assert.deepEqual(decoded, {
        heartbeat: { ...sent, savedParts: [], cacheStores: [], loadStatements: [], lastChanges },
        passedOn: [],
    });
});

testing.test("guards against datagrams of other layouts or of other senders", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.uint8Array({ maxLength: 80 }), bytes => {
            assert.equal(codec.decode(Buffer.from(bytes)), undefined);
        }),
        { seed: SEED },
    );
    assert.equal(codec.decode(Buffer.from('{"layout":2}')), undefined);
});

testing.test("guards against a reordered heartbeat that replaces a newer one", () => {
    const table = new memberTables.MemberTable("self");
    assert.equal(table.receive(heartbeat("a", "run", 5), 0), true);
    assert.equal(table.receive(heartbeat("a", "run", 4), 1), false);
    assert.equal(table.receive(heartbeat("a", "next run", 0), 2), true);
});

testing.test("guards against a heartbeat that is passed on after its sender has restarted", () => {
    const table = new memberTables.MemberTable("self");
    table.receive(heartbeat("a", "first", 90), 0);
    assert.equal(table.receive(heartbeat("a", "second", 0), 500), true);
    assert.equal(table.receive(heartbeat("a", "first", 91), 600), false);
    assert.equal(table.receive(heartbeat("a", "second", 1), 700), true);
    assert.equal(table.receive(heartbeat("a", "third", 0), 900), true);
});

testing.test("a seed that reports its name, and a process that replaces another at its address, are counted once", () => {
    const table = new memberTables.MemberTable("self");
    table.add([member("seed 10.0.0.1:7600", "10.0.0.1:7600")]);
    table.receive(heartbeat("a", "run", 0), 0);
    table.add([member("b", "10.0.0.1:7600")]);
    assert.deepEqual(table.peers().map(peer => peer.name), ["b"]);
    assert.equal(table.recentHeartbeats(3000, 1000).length, 0);
});
