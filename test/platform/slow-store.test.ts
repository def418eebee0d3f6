/** Guards against a store that is slow, and is taken for one that is down or for silent connections. */
import * as assert from "node:assert/strict";
import * as http from "node:http";
import type * as net from "node:net";
import * as testing from "node:test";
import * as stores from "../../platform/store.js";
import * as clocks from "../../src/clock/clock.js";
import * as journals from "../../src/logging/journal.js";
import * as watches from "../../src/store-access/kind-watch.js";
import * as restoration from "../../src/store-access/restoration.js";
import * as standIns from "./stand-ins.js";

/** Time in milliseconds that a watch has for its answer after its wait, and that the slow store takes for each answer. */
const WATCH_TIMEOUT_MS = 200;
const ANSWER_MS = 500;
const WAIT_MS = 300;
const POLL_MS = 10;
const CHANGES = 3;
/** A change that is made at the worst moment is in the copy after a wait, its timeout and an answer on a new connection. */
const CHANGE_LIMIT_MS = WAIT_MS + WATCH_TIMEOUT_MS + 2 * ANSWER_MS;

testing.test("guards against changes that never arrive while the store is slow", async context => {
    let revision = 1;
    const item = () => ({ metadata: { name: "main", revision }, spec: {} });
    const server = http.createServer((request, response) => void answer(request, response));
    const answer = async (request: http.IncomingMessage, response: http.ServerResponse) => {
        const query = new URL(request.url!, "http://store").searchParams;
        const after = Number(query.get("watch") ?? -1);
        const waitEndsAt = performance.now() + Number(query.get("waitMs") ?? 0);
        while (after >= revision && performance.now() < waitEndsAt) {
            await standIns.pause(POLL_MS);
        }
        const events = after >= revision ? [] : [{ object: item(), deleted: false }];
        const body = JSON.stringify({ items: [item()], events, hasMore: false, storeRevision: revision });
        await standIns.pause(ANSWER_MS);
        response.end(body);
    };
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    context.after(() => {
        server.closeAllConnections();
        server.close();
    });
    const { port } = server.address() as net.AddressInfo;
    let silences = 0;
    await using watch = new watches.KindWatch(
        {
            kind: "config",
            waitMs: () => WAIT_MS,
            batchDelayMs: () => 0,
            ownersReregister: false,
            restoration: restoration.asStored,
            mayBeStale: () => false,
        },
        {
            store: new stores.ObjectStore(`127.0.0.1:${port}`, WATCH_TIMEOUT_MS),
            clock: clocks.systemClock,
            journal: journals.silentJournal,
            onChange: () => undefined,
            onEraChange: () => undefined,
            onSilentConnection: () => void silences++,
        },
    );
    watch.start();
    await standIns.pause(CHANGE_LIMIT_MS);
    for (let change = 0; change < CHANGES; change++) {
        revision++;
        await standIns.pause(CHANGE_LIMIT_MS);
        assert.equal(watch.copy.revision, revision);
    }
    assert.equal(watch.isConnected, true);
    assert.equal(silences, 0);
});
