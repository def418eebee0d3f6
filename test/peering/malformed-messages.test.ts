/** Guards against messages of peers that end a process or stop its exchange, over real sockets. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as dgram from "node:dgram";
import * as http from "node:http";
import type * as net from "node:net";
import * as testing from "node:test";
import * as clocks from "../../src/clock/clock.js";
import type * as event from "../../src/core/event.js";
import * as outcomes from "../../src/core/outcome.js";
import * as journals from "../../src/logging/journal.js";
import * as budgets from "../../src/memory/budget.js";
import * as readMemory from "../../src/memory/read-memory.js";
import * as codec from "../../src/peering/codec.js";
import * as documents from "../../src/peering/documents.js";
import * as heartbeatExchanges from "../../src/peering/heartbeat-exchange.js";
import * as memberTables from "../../src/peering/member-table.js";
import type * as types from "../../src/peering/types.js";
import * as cacheIndexes from "../../src/placement/cache-index.js";
import * as prefills from "../../src/placement/prefills.js";
import * as serverLoads from "../../src/placement/server-load.js";
import * as suspectTrackers from "../../src/quarantine/suspect-tracker.js";
import * as ledgers from "../../src/quota/ledger.js";
import * as watches from "../../src/store-access/kind-watch.js";
import * as restoration from "../../src/store-access/restoration.js";

/** Position of the spent tokens in a heartbeat. */
const SPENT_TOKENS_POSITION = 10;
const SEED = 12;
const HOST = "127.0.0.1";
const CUSTOMER = {
    name: "gallery",
    keys: [],
    priority: undefined,
    isolated: false,
    rateUnit: "tokens" as const,
    tokensPerSecond: 10,
    burstTokens: 10,
    defaultCallTokens: 1,
};

function member(name: string, beatAddress: string): types.Member {
    return {
        name,
        role: "entry",
        dataCentre: "one",
        beatAddress,
        documentAddress: beatAddress,
        serverAddress: undefined,
    };
}

function heartbeat(name: string, address: string, sequence: number): types.Heartbeat {
    return {
        member: member(name, address),
        incarnation: "run",
        sequence,
        isLeaving: false,
        lastChanges: { config: { era: 2, revision: 3 } },
        spentTokens: { gallery: 100 },
        serverLoads: { server: { calls: 2, pendingPromptTokens: 300 } },
        prefills: [{ partHash: 7, server: "server", isComplete: true }],
        savedParts: [{ partHash: 8, tokens: 10 }],
        cacheStores: [],
        rollouts: [],
        serverLimits: [],
        loadStatements: [],
        suspects: {
            records: [{
                fingerprint: "part:a",
                crashes: [{ id: "server/1", server: "server/1", alone: true, at: 5 }],
                cleared: ["server/1"],
            }],
            trials: ["part:b"],
        },
        desiredWeights: [{ model: "menu", version: 2, position: { era: 1, revision: 9 } }],
        report: undefined,
    };
}

/** Consumes heartbeats as an entry does. */
function consumer(received: string[]) {
    const quotas = new ledgers.QuotaLedger({ overdraftTokens: 0, silenceMs: () => 700, expiryMs: 30_000 });
    const loads = new serverLoads.ServerLoadTracker();
    const tracker = new prefills.PrefillTracker();
    const index = new cacheIndexes.CacheIndex();
    quotas.track([CUSTOMER], 0);
    const suspects = new suspectTrackers.SuspectTracker({
        journal: { emit: () => undefined },
        self: "self",
        entryCount: () => 2,
        onUrgentChange: () => undefined,
        onRefusalsChange: () => undefined,
    });
    return ({ member: { name }, incarnation, spentTokens, ...state }: types.Heartbeat, now: number) => {
        quotas.applyPeerSpending(name, incarnation, spentTokens, now);
        loads.applyPeer(name, state.serverLoads, now);
        tracker.applyPeer(name, state.prefills, now);
        suspects.applyPeer(name, state.suspects, { now, wallTime: now });
        suspects.decide(["part:a"], { now, wallTime: now });
        index.applyPeerSaves(state.savedParts, now);
        received.push(name);
    };
}

async function freePort(): Promise<number> {
    const socket = dgram.createSocket("udp4");
    await new Promise<void>(resolve => socket.bind(0, HOST, resolve));
    const { port } = socket.address();
    await new Promise<void>(resolve => socket.close(() => resolve()));
    return port;
}

testing.test("guards against datagrams of unexpected shape", async () => {
    const received: string[] = [];
    const logged: event.EventName[] = [];
    const address = `${HOST}:${await freePort()}`;
    const exchange = new heartbeatExchanges.HeartbeatExchange({
        self: member("self", address),
        clock: clocks.systemClock,
        journal: { emit: name => void logged.push(name) },
        members: new memberTables.MemberTable("self"),
        compose: sequence => heartbeat("self", address, sequence),
        onHeartbeat: consumer(received),
        periodMs: () => 1000,
    });
    exchange.start(address);
    const sender = dgram.createSocket("udp4");
    const send = (datagram: Buffer | string) =>
        new Promise<void>(resolve => sender.send(datagram, Number(address.split(":")[1]), HOST, () => resolve()));
    const valid = JSON.parse(
        codec.encode({ heartbeat: heartbeat("x", "127.0.0.1:9", 1), passedOn: [] }).toString(),
    ) as unknown[];
    const mutations = fastCheck.sample(
        fastCheck.record({
            position: fastCheck.integer({ min: 1, max: valid.length }),
            value: fastCheck.jsonValue({ maxDepth: 2 }),
        }),
        { seed: SEED, numRuns: 200 },
    );
    // Passes the decoder, and fails in the consumer.
    const spentTokens = { position: SPENT_TOKENS_POSITION, value: JSON.parse("null") as fastCheck.JsonValue };
    for (const [index, { position, value }] of [...mutations, spentTokens].entries()) {
        const mutated = [...valid];
        mutated[1] = `peer-${index}`;
        mutated[position] = value;
        await send(JSON.stringify(mutated));
        // The receiver shares the event loop; without a pause its socket's buffer overflows.
        await new Promise(resolve => setImmediate(resolve));
    }
    await send(Buffer.from([0xff, 0x00, 0x5b]));
    await send(codec.encode({ heartbeat: heartbeat("last", "127.0.0.1:9", 1), passedOn: [] }));
    const deadline = performance.now() + 5000;
    while (!received.includes("last") && performance.now() < deadline) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
    sender.close();
    await exchange[Symbol.asyncDispose]();
    assert.ok(received.includes("last"));
    assert.ok(logged.includes("heartbeat-invalid"));
});

testing.test("guards against copies of peers of unexpected shape", async () => {
    const bodies = [
        "",
        "{}",
        "[]",
        '"text"',
        '{"revision":9}',
        '{"revision":9,"records":[5]}',
        '{"revision":"9","records":[]}',
        '{"revision":9,"records":[],"held":{}}',
        '{"revision":9,"records":[],"graceMs":"5"}',
        '{"revision":9,"records":[],"held":[{"name":"server","record":5}]}',
        '{"revision":9,"records":[],"held":[{"name":"server","remainingMs":"5"}]}',
    ];
    for (const body of bodies) {
        const peer = http.createServer((_request, response) => void response.end(body));
        await new Promise<void>(resolve => peer.listen(0, HOST, resolve));
        const address = `${HOST}:${(peer.address() as net.AddressInfo).port}`;
        const logged: event.EventName[] = [];
        const unavailable = () => Promise.resolve(outcomes.fail("store-unavailable", "away"));
        const watch = new watches.KindWatch(
            {
                kind: "config",
                waitMs: () => 1,
                batchDelayMs: () => 0,
                ownersReregister: false,
                restoration: restoration.asStored,
                mayBeStale: () => false,
            },
            {
                store: { list: unavailable, watch: unavailable, put: unavailable, putStatus: unavailable },
                clock: clocks.systemClock,
                journal: journals.silentJournal,
                onChange: () => undefined,
                onEraChange: () => undefined,
            },
        );
        await using exchange = new documents.DocumentExchange({
            clock: clocks.systemClock,
            journal: { emit: name => void logged.push(name) },
            watches: [watch],
            reads: new readMemory.ReadMemory(new budgets.MemoryBudget(Infinity)),
        });
        exchange.compare(heartbeat("peer", address, 1), clocks.systemClock.now());
        const deadline = performance.now() + 5000;
        while (logged.length === 0 && performance.now() < deadline) {
            await new Promise(resolve => setTimeout(resolve, 10));
        }
        await new Promise<void>(resolve => peer.close(() => resolve()));
        assert.deepEqual([logged, watch.copy.isLoaded], [["document-fetch-failed"], false], body);
    }
});

testing.test("guards against an error in one heartbeat, or an address of one peer, that ends all heartbeats", async () => {
    const received: number[] = [];
    const receiver = dgram.createSocket("udp4");
    receiver.on("message", () => void received.push(performance.now()));
    await new Promise<void>(resolve => receiver.bind(0, HOST, resolve));
    const members = new memberTables.MemberTable("self");
    members.add([member("odd", `${HOST}:70000`), member("sound", `${HOST}:${receiver.address().port}`)]);
    const address = `${HOST}:${await freePort()}`;
    let composed = 0;
    const exchange = new heartbeatExchanges.HeartbeatExchange({
        self: member("self", address),
        clock: clocks.systemClock,
        journal: journals.silentJournal,
        members,
        compose: sequence => {
            if (++composed % 2 === 1) {
                throw new Error("injected");
            }
            return heartbeat("self", address, sequence);
        },
        onHeartbeat: () => undefined,
        periodMs: () => 150,
    });
    exchange.start(address);
    const deadline = performance.now() + 5000;
    while (received.length < 3 && performance.now() < deadline) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
    // The last heartbeat, at the end, is to be one that does not throw.
    while (composed % 2 === 0) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    await exchange[Symbol.asyncDispose]();
    receiver.close();
    assert.ok(received.length >= 3, `${received.length} heartbeats`);
});

testing.test("guards against heartbeats of peers whose address has a port that does not exist", () => {
    for (const address of ["127.0.0.1:70000", "127.0.0.1:0", "127.0.0.1:", "host:80"]) {
        const datagram = codec.encode({ heartbeat: heartbeat("peer", address, 1), passedOn: [] });
        assert.equal(codec.decode(datagram), undefined, address);
    }
});
