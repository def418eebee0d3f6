/** Guards against processes that stay on an old version after a lost push, or return to one after a restart. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as controllers from "../../src/configuration/controller.js";
import * as startup from "../../src/configuration/startup.js";
import * as outcomes from "../../src/core/outcome.js";
import * as boards from "../../src/daemon/board.js";
import * as gossipControllers from "../../src/gossip/controller.js";
import type * as peers from "../../src/gossip/peers.js";
import * as tables from "../../src/gossip/table.js";
import type * as gossip from "../../src/gossip/types.js";
import * as journals from "../../src/logging/journal.js";
import * as memberships from "../../src/membership/controller.js";
import * as memberDocuments from "../../src/membership/member-document.js";
import type * as membership from "../../src/membership/types.js";
import * as memoryStore from "../support/memory-object-store.js";
import * as virtualClock from "../support/virtual-clock.js";

const SEED = 25;
const SELF = "10.0.0.1:7000";
const PEER = "10.0.0.2:7000";

function manifestDocument(version: number): gossip.Document {
    return { name: "manifest", version, value: { text: "" } };
}

function memberOf(address: string, manifestVersion: number): membership.Member {
    return {
        incarnation: { address, boot: "boot" },
        role: "entry",
        dataCentre: "dc-0",
        backendServer: "",
        state: "live",
        weights: [],
        manifestVersion,
        backendBoot: "",
    };
}

/** Peers that return the given documents; records the addresses that are called. */
function peersWith(documents: readonly gossip.Document[], calledAddresses: string[]): peers.Peers {
    return {
        push: async () => outcomes.succeed([]),
        compare: async address => {
            calledAddresses.push(address);
            return outcomes.succeed({ equal: true, bucketHashes: [], newer: [], wanted: [], storeAgeMs: 0 });
        },
        fetch: async (address, names) => {
            calledAddresses.push(address);
            return outcomes.succeed(documents.filter(item => names.length === 0 || names.includes(item.name)));
        },
        identify: async address => outcomes.fail("peer-unreachable", address),
    };
}

function create(peerClient: peers.Peers, formerVersion = 0) {
    const clock = new virtualClock.VirtualClock(SEED);
    const board = boards.createBoard();
    const documents = new tables.DocumentTable();
    const store = new memoryStore.MemoryObjectStore();
    store.fault = "outage";
    const journal = journals.silentJournal;
    const common = { address: SELF, board, documents, store, peers: peerClient, clock, journal };
    const controller = new controllers.ConfigurationController({ ...common, dataCentre: "dc-0", formerVersion });
    return { ...common, controller };
}

testing.test("configuration: a version that a member reports is fetched from it when its push was lost", async () => {
    const calledAddresses: string[] = [];
    const { board, clock, controller } = create(peersWith([manifestDocument(2)], calledAddresses));
    board.write("members", new Map([[PEER, memberOf(PEER, 2)]]));
    await controller.step(clock.now());
    await clock.advance(400);
    assert.equal(board.read("configuration").version, 0);
    await controller.step(clock.now());
    await clock.advance(1);
    assert.equal(board.read("configuration").version, 2);
    assert.deepEqual(calledAddresses, [PEER]);
});

testing.test("configuration: a restarted process waits for its previous version for a limited time", async () => {
    const { board, clock, controller, documents } = create(peersWith([], []), 5);
    documents.publish(manifestDocument(4));
    await clock.advance(3999);
    await controller.step(clock.now());
    assert.equal(board.read("configuration").version, 0);
    await clock.advance(1);
    await controller.step(clock.now());
    assert.equal(board.read("configuration").version, 4);
    documents.publish(manifestDocument(6));
    assert.equal(board.read("configuration").version, 6);
});

testing.test("startup: reads the version from before the restart and a newer manifest of another member", async () => {
    const calledAddresses: string[] = [];
    const former = memberDocuments.toDocument(memberOf(SELF, 7), 1);
    const newer = memberDocuments.toDocument(memberOf("10.0.0.3:7000", 7), 1);
    const peerClient = peersWith([manifestDocument(6), former, newer], calledAddresses);
    const { clock, ...options } = create(peerClient);
    const report = await clock.runUntilSettled(startup.start({ ...options, clock, seeds: [PEER] }));
    assert.equal(report.formerVersion, 7);
    assert.deepEqual(calledAddresses, [PEER, "10.0.0.3:7000"]);
});

testing.test("membership: publishes nothing before its first step, to keep the document from before the restart", async () => {
    const { board, clock, documents, journal } = create(peersWith([], []));
    const membership = new memberships.MembershipController({
        self: { address: SELF, boot: "new" },
        role: "entry",
        dataCentre: "dc-0",
        backendServer: "",
        seeds: [],
        board,
        documents,
        instances: { list: async () => outcomes.succeed([]) },
        clock,
        journal,
    });
    // The wall clock was set back since the previous start.
    const former = memberDocuments.toDocument(memberOf(SELF, 7), Number.MAX_SAFE_INTEGER - 9);
    documents.publish(former);
    await clock.advance(100);
    assert.equal(documents.get(former.name), former);
    await membership.step(clock.now());
    assert.equal(board.read("members").get(SELF)?.incarnation.boot, "new");
    assert.equal(documents.get(former.name)?.version, former.version + 1);
});

testing.test("gossip: a process without a recent confirmation of the store asks a watcher of the store", async () => {
    const calledAddresses: string[] = [];
    const { clock, ...options } = create(peersWith([], calledAddresses));
    const contacts = Array.from({ length: 500 }, (_, index) => `10.0.1.${index}:7000`);
    const controller = new gossipControllers.GossipController({
        ...options,
        clock,
        peerAddresses: () => contacts,
        watchers: () => [SELF, PEER],
    });
    for (let elapsed = 0; elapsed < 4000; elapsed += 1000) {
        await clock.advance(1000);
        await controller.step(clock.now());
        await clock.advance(1);
    }
    // Each response contains a recent confirmation, so only every second or third round needs a watcher.
    assert.equal(calledAddresses[0], PEER);
    assert.notEqual(calledAddresses[1], PEER);
});
