/** Guards against wrong answers of the platform clients when the object API or the instance list fails. */
import * as assert from "node:assert/strict";
import * as http from "node:http";
import * as net from "node:net";
import * as testing from "node:test";
import * as clock from "../../src/clock/clock.js";
import * as outcomes from "../../src/core/outcome.js";
import * as instanceListClient from "../../src/object-api/instance-list-client.js";
import * as objectApiClient from "../../src/object-api/object-api-client.js";
import * as settledWrite from "../../src/object-api/settled-write.js";
import * as instanceLists from "../../stand-ins/instance-list/instance-list.js";
import * as objectApis from "../../stand-ins/object-api/object-api.js";
import * as manualClock from "../support/manual-clock.js";
import * as memoryStores from "../support/memory-object-store.js";

interface Fixture {
    readonly api: objectApis.ObjectApi;
    readonly client: objectApiClient.ObjectApiClient;
}

async function withStore(body: (fixture: Fixture) => Promise<void>, time = clock.systemClock): Promise<void> {
    await using api = await objectApis.createObjectApi();
    await using client = new objectApiClient.ObjectApiClient(`http://${api.address}`, { time });
    await body({ api, client });
}

function kind(outcome: { readonly ok: boolean; readonly failure?: { readonly kind: string; }; }): string {
    return outcome.ok ? "ok" : outcome.failure?.kind ?? "";
}

testing.test("object API: conditional updates, reads and lists follow the versions", () =>
    withStore(async ({ client }) => {
        const first = await client.put("config/a b", "one", 0);
        assert.deepEqual(first, { ok: true, value: 1 });
        assert.equal(kind(await client.put("config/a b", "two", 0)), "store-conflict");
        assert.deepEqual(await client.put("config/a b", "two", 1), { ok: true, value: 2 });
        assert.deepEqual(await client.get("config/a b"), {
            ok: true,
            value: { name: "config/a b", version: 2, value: "two" },
        });
        assert.deepEqual(await client.get("config/none"), { ok: true, value: undefined });
        const listed = await client.list("config/");
        assert.deepEqual(listed.ok && listed.value.map(object => object.version), [2]);
    }));

testing.test("object API: a watch returns a change made while it waits", () =>
    withStore(async ({ client, api }) => {
        const watch = client.watch("config/", 0, 5000);
        await client.put("other/x", "ignored", 0);
        await client.put("config/x", "seen", 0);
        const change = await watch;
        assert.deepEqual(change.ok && change.value.objects.map(object => object.value), ["seen"]);
        assert.equal(api.counts.watches, 1);
    }));

testing.test("object API: a lost answer is unconfirmed and is settled by reading", () =>
    withStore(async ({ client, api }) => {
        api.setFaults({ loseAnswers: 1 });
        assert.equal(kind(await client.put("a", "one", 0)), "store-write-unconfirmed");
        api.setFaults({ loseAnswers: 1 });
        const settled = await settledWrite.putSettled(client, { name: "b", value: "mine", expectedVersion: 0 }, 3);
        assert.equal(settled.ok, true);
        assert.equal(api.counts.conflicts, 0);
    }));

testing.test("object API: a settled write of another writer is a conflict", () =>
    withStore(async ({ client, api }) => {
        await client.put("a", "other", 0);
        api.setFaults({ loseAnswers: 1 });
        const settled = await settledWrite.putSettled(client, { name: "a", value: "mine", expectedVersion: 0 }, 3);
        assert.equal(kind(settled), "store-conflict");
    }));

testing.test("object API: a request that was sent in an outage is unconfirmed, an unsent one is not written", async () => {
    await withStore(async ({ client, api }) => {
        api.setFaults({ outage: true });
        assert.equal(kind(await client.put("a", "one", 0)), "store-write-unconfirmed");
        assert.equal(kind(await client.get("a")), "store-unavailable");
    });
    await using unreachable = new objectApiClient.ObjectApiClient(`http://127.0.0.1:${await closedPort()}`, {
        time: clock.systemClock,
    });
    assert.equal(kind(await unreachable.put("a", "one", 0)), "store-unavailable");
});

testing.test("object API: a slow store ends a write as unconfirmed", () => {
    const time = new manualClock.ManualClock();
    return withStore(async ({ client, api }) => {
        api.setFaults({ delayMs: 600_000 });
        const write = client.put("a", "one", 0);
        await manualClock.waitUntil(() => api.counts.received === 1);
        time.endSleeps();
        assert.equal(kind(await write), "store-write-unconfirmed");
    }, time);
});

testing.test("object API: a server error to a write is unconfirmed, to a read it is a failure", async context => {
    const server = http.createServer((_request, response) => response.writeHead(503).end());
    context.after(() => {
        server.closeAllConnections();
        server.close();
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as net.AddressInfo;
    await using client = new objectApiClient.ObjectApiClient(`http://127.0.0.1:${port}`, { time: clock.systemClock });
    assert.equal(kind(await client.put("a", "one", 0)), "store-write-unconfirmed");
    assert.equal(kind(await client.get("a")), "store-unavailable");
});

testing.test("settled write: an open write is sent again, so that its delayed copy is excluded", async () => {
    const store = new memoryStores.MemoryObjectStore();
    const put = store.put.bind(store);
    const delayed: (() => Promise<unknown>)[] = [];
    store.put = async (...write) => {
        store.put = put;
        delayed.push(() => put(...write));
        return outcomes.fail("store-write-unconfirmed", "delayed");
    };
    const settled = await settledWrite.putSettled(store, { name: "a", value: "mine", expectedVersion: 0 }, 3);
    assert.deepEqual(settled, { ok: true, value: 1 });
    await Promise.all(delayed.map(write => write()));
    assert.equal(store.writes, 1);
});

testing.test("object API: a value over the limit is not sent", () =>
    withStore(async ({ client, api }) => {
        assert.equal(kind(await client.put("a", "x".repeat(1024 * 1024 + 1), 0)), "store-value-too-large");
        assert.equal(api.counts.writes, 0);
    }));

testing.test("instance list: a change is visible after the lag, an outage is a failure", async () => {
    await using list = await instanceLists.createInstanceList();
    await using client = new instanceListClient.InstanceListClient(`http://${list.address}`, clock.systemClock);
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
    assert.equal(kind(await client.list()), "store-unavailable");
});

/** A port that refuses connections. */
async function closedPort(): Promise<number> {
    const server = net.createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as net.AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return port;
}
