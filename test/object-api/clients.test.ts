/** Guards against clients that report a wrong outcome when the object API or the instance list fails. */
import * as assert from "node:assert/strict";
import * as http from "node:http";
import * as net from "node:net";
import * as testing from "node:test";
import * as clocks from "../../src/clock/clock.js";
import * as outcomes from "../../src/core/outcome.js";
import * as confirmedWrites from "../../src/object-api/confirmed-write.js";
import * as instanceListClients from "../../src/object-api/instance-list-client.js";
import * as objectApiClients from "../../src/object-api/object-api-client.js";
import * as instanceLists from "../../stand-ins/instance-list/instance-list.js";
import * as objectApis from "../../stand-ins/object-api/object-api.js";
import * as manualClock from "../support/manual-clock.js";
import * as memoryStores from "../support/memory-object-store.js";

interface Fixture {
    readonly api: objectApis.ObjectApi;
    readonly client: objectApiClients.ObjectApiClient;
}

async function withStore(body: (fixture: Fixture) => Promise<void>, clock = clocks.systemClock): Promise<void> {
    await using api = await objectApis.createObjectApi();
    await using client = new objectApiClients.ObjectApiClient(`http://${api.address}`, { clock });
    await body({ api, client });
}

function outcomeKind(outcome: { readonly ok: boolean; readonly failure?: { readonly kind: string; }; }): string {
    return outcome.ok ? "ok" : outcome.failure?.kind ?? "";
}

testing.test("object API: conditional updates, reads and lists use object versions", () =>
    withStore(async ({ client }) => {
        const first = await client.put("config/a b", "one", 0);
        assert.deepEqual(first, { ok: true, value: 1 });
        assert.equal(outcomeKind(await client.put("config/a b", "two", 0)), "store-conflict");
        assert.deepEqual(await client.put("config/a b", "two", 1), { ok: true, value: 2 });
        assert.deepEqual(await client.get("config/a b"), {
            ok: true,
            value: { name: "config/a b", version: 2, value: "two" },
        });
        assert.deepEqual(await client.get("config/none"), { ok: true, value: undefined });
        const listed = await client.list("config/");
        assert.deepEqual(listed.ok && listed.value.map(object => object.version), [2]);
    }));

testing.test("object API: a watch returns a change that is made during the long poll", () =>
    withStore(async ({ client, api }) => {
        const watch = client.watch("config/", 0, 5000);
        await client.put("other/x", "ignored", 0);
        await client.put("config/x", "seen", 0);
        const change = await watch;
        assert.deepEqual(change.ok && change.value.objects.map(object => object.value), ["seen"]);
        assert.equal(api.counts.watches, 1);
    }));

testing.test("object API: a write whose response is lost is unconfirmed until a read confirms it", () =>
    withStore(async ({ client, api }) => {
        api.setFaults({ loseAnswers: 1 });
        assert.equal(outcomeKind(await client.put("a", "one", 0)), "store-write-unconfirmed");
        api.setFaults({ loseAnswers: 1 });
        const outcome = await confirmedWrites.putConfirmed(client, { name: "b", value: "mine", expectedVersion: 0 }, 3);
        assert.equal(outcome.ok, true);
        assert.equal(api.counts.conflicts, 0);
    }));

testing.test("object API: a write is a conflict if the object was created by another writer", () =>
    withStore(async ({ client, api }) => {
        await client.put("a", "other", 0);
        api.setFaults({ loseAnswers: 1 });
        const outcome = await confirmedWrites.putConfirmed(client, { name: "a", value: "mine", expectedVersion: 0 }, 3);
        assert.equal(outcomeKind(outcome), "store-conflict");
    }));

testing.test("object API: a write sent during an outage is unconfirmed, an unsent write did not take effect", async () => {
    await withStore(async ({ client, api }) => {
        api.setFaults({ outage: true });
        assert.equal(outcomeKind(await client.put("a", "one", 0)), "store-write-unconfirmed");
        assert.equal(outcomeKind(await client.get("a")), "store-unavailable");
    });
    await using unreachable = new objectApiClients.ObjectApiClient(`http://127.0.0.1:${await closedPort()}`, {
        clock: clocks.systemClock,
    });
    assert.equal(outcomeKind(await unreachable.put("a", "one", 0)), "store-unavailable");
});

testing.test("object API: a write that times out is unconfirmed", () => {
    const clock = new manualClock.ManualClock();
    return withStore(async ({ client, api }) => {
        api.setFaults({ delayMs: 600_000 });
        const write = client.put("a", "one", 0);
        await manualClock.waitUntil(() => api.counts.received === 1);
        clock.endSleeps();
        assert.equal(outcomeKind(await write), "store-write-unconfirmed");
    }, clock);
});

testing.test("object API: a server error makes a write unconfirmed and a read unavailable", async context => {
    const server = http.createServer((_request, response) => response.writeHead(503).end());
    context.after(() => {
        server.closeAllConnections();
        server.close();
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as net.AddressInfo;
    await using client = new objectApiClients.ObjectApiClient(`http://127.0.0.1:${port}`, {
        clock: clocks.systemClock,
    });
    assert.equal(outcomeKind(await client.put("a", "one", 0)), "store-write-unconfirmed");
    assert.equal(outcomeKind(await client.get("a")), "store-unavailable");
});

testing.test("confirmed write: a pending write is sent again, and the delayed first request has no effect", async () => {
    const store = new memoryStores.MemoryObjectStore();
    const put = store.put.bind(store);
    const delayedWrites: (() => Promise<unknown>)[] = [];
    store.put = async (...write) => {
        store.put = put;
        delayedWrites.push(() => put(...write));
        return outcomes.fail("store-write-unconfirmed", "delayed");
    };
    const outcome = await confirmedWrites.putConfirmed(store, { name: "a", value: "mine", expectedVersion: 0 }, 3);
    assert.deepEqual(outcome, { ok: true, value: 1 });
    await Promise.all(delayedWrites.map(write => write()));
    assert.equal(store.writes, 1);
});

testing.test("object API: a value that exceeds the size limit is not sent", () =>
    withStore(async ({ client, api }) => {
        assert.equal(outcomeKind(await client.put("a", "x".repeat(1024 * 1024 + 1), 0)), "store-value-too-large");
        assert.equal(api.counts.writes, 0);
    }));

testing.test("instance list: a change is visible after the lag, an outage is a failure", async () => {
    await using list = await instanceLists.createInstanceList();
    await using client = new instanceListClients.InstanceListClient(`http://${list.address}`, clocks.systemClock);
    const instance = { address: "127.0.0.1:1", role: "agent", data_centre: "dc-1", state: "live" } as const;
    list.control({ instances: [instance] });
    const listed = await client.list();
    assert.deepEqual(listed.ok && listed.value, [
        { address: "127.0.0.1:1", role: "agent", dataCentre: "dc-1", state: "live" },
    ]);
    list.control({ instances: [], lag_ms: 3_600_000 });
    const lagging = await client.list();
    assert.equal(lagging.ok && lagging.value.length, 1);
    list.control({ outage: true });
    assert.equal(outcomeKind(await client.list()), "store-unavailable");
});

/** Returns a port on which nothing listens. */
async function closedPort(): Promise<number> {
    const server = net.createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as net.AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return port;
}
