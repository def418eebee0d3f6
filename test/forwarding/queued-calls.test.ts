/** Guards against queued calls that are all sent to the one server that has a free slot. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as harnesses from "../support/entry-harness.js";

const CALLS = 60;
const CALL_MS = 60;
/** Calls that an HTTP server with 8 slots gets at once, those in its queue included. */
const CAPACITY = 12;

testing.test("queued calls: a pass of the queue does not fill a server beyond its capacity", async () => {
    const running = [0, 0];
    const most = [0, 0];
    const scripts = running.map((_, server): harnesses.ServerScript => (socket, { id }) => {
        running[server]!++;
        most[server] = Math.max(most[server]!, running[server]!);
        setTimeout(() => {
            running[server]!--;
            socket.write(harnesses.response(id, "answer"));
        }, CALL_MS + 10 * Math.random());
    });
    await using harness = await harnesses.EntryHarness.start(scripts);
    const results = await Promise.all(Array.from({ length: CALLS }, () => harness.call("booking")));
    assert.equal(results.filter(({ status }) => status === 200).length, CALLS);
    assert.ok(Math.max(...most) <= CAPACITY, `${most.join(" and ")} calls at once, ${CAPACITY} fit`);
});
