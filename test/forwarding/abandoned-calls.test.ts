/** Guards against calls that occupy a server without end once their caller has left. */
import * as assert from "node:assert/strict";
import * as net from "node:net";
import * as testing from "node:test";
import * as harnesses from "../support/entry-harness.js";

const ROUTE_TIMEOUT_MS = 1500;
const MARGIN_MS = 700;

function pause(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

testing.test("a booking whose caller has left does not occupy a silent server for longer than its deadline", async () => {
    await using harness = await harnesses.EntryHarness.start([() => undefined]);
    const head = `GET /booking/a HTTP/1.1\r\nHost: ${harnesses.HOST}\r\nRequest-Id: left\r\n\r\n`;
    const socket = net.connect({ host: "127.0.0.1", port: harness.port });
    socket.write(head);
    await pause(200);
    socket.destroy();
    await pause(200);
    assert.equal(harness.openConnections, 1, "the booking goes on without its caller");
    await pause(ROUTE_TIMEOUT_MS + MARGIN_MS - 400);
    assert.equal(harness.openConnections, 0);
    assert.deepEqual(harness.serverLoad.snapshot(), {});
});
