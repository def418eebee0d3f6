/** Integration of the controller, the RPC service and the client with loopback connections and an in-memory store. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as clients from "../../src/admission/client.js";
import * as controllers from "../../src/admission/controller.js";
import * as holdersObjects from "../../src/admission/holders-object.js";
import * as services from "../../src/admission/service.js";
import * as transports from "../../src/admission/transport.js";
import * as clocks from "../../src/clock/clock.js";
import * as boards from "../../src/daemon/board.js";
import type * as gossip from "../../src/gossip/types.js";
import * as journals from "../../src/logging/journal.js";
import * as manifest from "../../src/manifest/types.js";
import type * as membership from "../../src/membership/types.js";
import * as clientPools from "../../src/rpc/client-pool.js";
import * as budgets from "../../src/rpc/gen/ibisstep/v1/budget_pb.js";
import * as servers from "../../src/rpc/server.js";
import * as stores from "../support/memory-object-store.js";

const GROUPS = 1;
const holderRecord = (group: number, epoch: number, address: string) => ({
    group,
    epoch,
    primary: { address, boot: "1" },
});

/** Gossip documents that are never exchanged. */
function noDocuments(): gossip.Documents {
    return {
        get: () => undefined,
        list: () => [],
        publish: () => true,
        subscribe: () => ({ [Symbol.dispose]: () => undefined }),
    };
}

testing.test("holders object: a lost response or a change of another group does not count as a failure", async () => {
    const store = new stores.MemoryObjectStore();
    const first = { record: holderRecord(0, 1, "a"), expectedEpoch: 0 };
    store.fault = "lose-answers";
    const confirmed = await holdersObjects.applyChanges(store, [first]);
    assert.deepEqual(
        confirmed.results.map(item => item.result.kind),
        ["recorded"],
        "reading the object confirms the write",
    );
    store.fault = "none";
    await holdersObjects.applyChanges(store, [{ record: holderRecord(1, 1, "b"), expectedEpoch: 0 }]);
    const mixed = await holdersObjects.applyChanges(store, [
        { record: holderRecord(0, 1, "c"), expectedEpoch: 0 },
        { record: holderRecord(1, 2, "b"), expectedEpoch: 1 },
    ]);
    assert.deepEqual(mixed.results.map(item => item.result.kind).sort(), ["recorded", "superseded"]);
    store.fault = "outage";
    const outage = await holdersObjects.applyChanges(store, [{ record: holderRecord(1, 3, "b"), expectedEpoch: 2 }]);
    assert.deepEqual(outage.results.map(item => item.result.kind), ["unavailable"]);
});

testing.test("admission: the controller, the RPC service and the client work together over the network", async () => {
    const clock = clocks.systemClock;
    const store = new stores.MemoryObjectStore();
    await using pool = new clientPools.ClientPool();
    const transport = transports.createTransport(pool);
    const board = boards.createBoard();
    const customer = { name: "c", keyHashes: [], rate: { requestsPerSecond: 1000, burst: 200 }, weight: 1 };
    board.write("configuration", { ...manifest.emptyConfiguration, version: 1, customers: new Map([["c", customer]]) });
    const started: controllers.BudgetController[] = [];
    await using server = await servers.listen("127.0.0.1:0", router => {
        router.service(budgets.BudgetService, {
            acquire: (request, context) => services.createBudgetService(started[0]).acquire(request, context),
            renew: (request, context) => services.createBudgetService(started[0]).renew(request, context),
        });
    });
    const self = { address: server.address, boot: "1" };
    const member: membership.Member = {
        incarnation: self,
        role: "agent",
        dataCentre: "x",
        backendServer: "s",
        state: "live",
        weights: [],
        manifestVersion: 1,
        backendBoot: "",
    };
    board.write("members", new Map([[self.address, member]]));
    const liveness: membership.LivenessProbe = { probe: async () => "alive" };
    await using agent = new controllers.BudgetController({
        self,
        board,
        store,
        documents: noDocuments(),
        liveness,
        transport,
        clock,
        journal: journals.silentJournal,
        groupCount: GROUPS,
    });
    started.push(agent);
    await using client = new clients.AdmissionClient({ board, transport, clock, groupCount: GROUPS });
    const admissions = Array.from({ length: 20 }, () => client.admit("c", 10_000));
    while (board.read("holders").version === 0) {
        await agent.step(clock.now());
        await clock.sleep(5);
    }
    assert.ok((await Promise.all(admissions)).every(outcome => outcome.ok));
    const abort = new AbortController();
    abort.abort();
    const cancelled = await client.admit("c", 1000, abort.signal);
    assert.equal(!cancelled.ok && cancelled.failure.kind, "admission-cancelled");
    const unknown = await client.admit("nobody", 1000);
    assert.equal(!unknown.ok && unknown.failure.kind, "budget-customer-unknown");
});
