/** Guards against a revoked key that stays valid for requests in flight or at an entry with an old configuration. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as controllers from "../../src/configuration/controller.js";
import * as keys from "../../src/configuration/keys.js";
import * as liveRequests from "../../src/configuration/live-requests.js";
import * as versions from "../../src/configuration/versions.js";
import * as failures from "../../src/core/failure.js";
import * as outcomes from "../../src/core/outcome.js";
import * as boards from "../../src/daemon/board.js";
import type * as peers from "../../src/gossip/peers.js";
import * as tables from "../../src/gossip/table.js";
import * as journals from "../../src/logging/journal.js";
import * as memoryStore from "../support/memory-object-store.js";
import * as virtualClock from "../support/virtual-clock.js";

const SEED = 22;
const RUNS = 100;

/** Returns a manifest in which each customer has the given raw keys. */
function manifestOf(rawKeysByCustomer: Readonly<Record<string, readonly string[]>>): string {
    return Object.entries(rawKeysByCustomer).map(([name, rawKeys]) =>
        `[[customers]]\nname = "${name}"\nkey_hashes = ${JSON.stringify(rawKeys.map(keys.hashKey))}\n`
        + "rate = { requests_per_second = 1, burst = 1 }\n"
    ).join("\n");
}

function createController(board: boards.Board, documents: tables.DocumentTable, fetch: peers.Peers["fetch"]) {
    return new controllers.ConfigurationController({
        address: "10.0.0.1:7000",
        dataCentre: "dc-0",
        board,
        documents,
        store: new memoryStore.MemoryObjectStore(),
        peers: { fetch },
        clock: new virtualClock.VirtualClock(SEED),
        journal: journals.silentJournal,
    });
}

const unreachablePeers: peers.Peers["fetch"] = async address => outcomes.fail("peer-unreachable", address);

testing.test("live requests: an adoption aborts exactly those whose key was revoked or moved to another customer", () => {
    const owner = fastCheck.constantFrom("none", "a", "b");
    const owners = fastCheck.array(owner, { minLength: 1, maxLength: 8 });
    fastCheck.assert(
        fastCheck.property(owners, owners, (before, after) => {
            const board = boards.createBoard();
            const documents = new tables.DocumentTable();
            createController(board, documents, unreachablePeers);
            const registry = new liveRequests.LiveRequests(board);
            const adopt = (version: number, keyOwners: readonly string[]) => {
                const keysOf = (name: string) => keyOwners.flatMap((id, index) => id === name ? [`key-${index}`] : []);
                const text = manifestOf({ a: keysOf("a"), b: keysOf("b") });
                documents.publish({ name: "manifest", version, value: { text } });
            };
            adopt(1, before);
            const admitted = before.map((_, index) => registry.admit(keys.hashKey(`key-${index}`)));
            adopt(2, after);
            admitted.forEach((outcome, index) => {
                assert.equal(outcome.ok, before[index] !== "none");
                if (outcome.ok) {
                    const revoked = after[index] !== before[index];
                    assert.equal(outcome.value.signal.aborted, revoked);
                    const reason: unknown = outcome.value.signal.reason;
                    assert.equal(
                        reason instanceof failures.FailureError && reason.failure.kind,
                        revoked && "key-revoked",
                    );
                }
            });
        }),
        { seed: SEED, numRuns: RUNS },
    );
});

testing.test("live requests: a finished request is removed", () => {
    const board = boards.createBoard();
    const documents = new tables.DocumentTable();
    createController(board, documents, unreachablePeers);
    const registry = new liveRequests.LiveRequests(board);
    documents.publish({ name: "manifest", version: 1, value: { text: manifestOf({ a: ["key"] }) } });
    const admitted = registry.admit(keys.hashKey("key"));
    assert.ok(admitted.ok);
    admitted.value[Symbol.dispose]();
    assert.equal(registry.count, 0);
});

testing.test("versions: an agent never serves a request of another version", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.nat(5), fastCheck.nat(5), (entry, agent) => {
            const decision = versions.decideAtAgent(entry, agent);
            assert.equal(decision.action, entry === agent ? "serve" : entry < agent ? "refuse" : "fetch");
            const failure = decision.action === "refuse" ? decision.failure : undefined;
            const expected = entry < agent ? "fetch-and-authorize" : "continue";
            assert.equal(versions.decideAtEntry(entry, agent, failure).action, expected);
        }),
        { seed: SEED, numRuns: RUNS },
    );
});

testing.test("configuration: an entry that reaches only an agent fetches from it and refuses a revoked key", async () => {
    const board = boards.createBoard();
    const documents = new tables.DocumentTable();
    const newer = { name: "manifest", version: 2, value: { text: manifestOf({ a: ["other"] }) } };
    const controller = createController(board, documents, async () => outcomes.succeed([newer]));
    documents.publish({ name: "manifest", version: 1, value: { text: manifestOf({ a: ["key"] }) } });
    const fetched = await controller.ensureVersion(2, ["10.0.0.2:7000"]);
    assert.ok(fetched.ok);
    const authorized = keys.reauthorize(fetched.value, keys.hashKey("key"), "a");
    assert.equal(!authorized.ok && authorized.failure.kind, "key-revoked");
    const missing = await controller.ensureVersion(3, ["10.0.0.2:7000"]);
    assert.equal(!missing.ok && missing.failure.kind, "configuration-unavailable");
});

testing.test("configuration: a manifest that does not compile changes nothing and is not published", () => {
    const board = boards.createBoard();
    const documents = new tables.DocumentTable();
    createController(board, documents, unreachablePeers);
    documents.publish({ name: "manifest", version: 1, value: { text: manifestOf({ a: ["key"] }) } });
    const inForce = board.read("configuration");
    const invalidTexts: readonly unknown[] = ["customers = 3", "[[", '[[customers]]\nname = "A"'];
    [...invalidTexts.map(text => ({ text })), 7, {}].forEach((value, index) => {
        documents.publish({ name: "manifest", version: 2 + index, value });
        assert.equal(board.read("configuration"), inForce);
    });
    documents.publish({ name: "manifest", version: 9, value: { text: manifestOf({ b: ["key"] }) } });
    assert.equal(board.read("configuration").version, 9);
});
