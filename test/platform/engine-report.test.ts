/** Guards against orders that reject calls which an engine has accepted but not begun, for lack of knowing of them. */
import * as assert from "node:assert/strict";
import * as http from "node:http";
import type * as net from "node:net";
import * as testing from "node:test";
import * as engines from "../../platform/engine.js";

const REPORT = { models: [{ name: "m", version: 1 }], busy: false, seq: 0, born: 1 };

async function stateOf(report: Readonly<Record<string, unknown>>): Promise<number | undefined> {
    const server = http.createServer((_, response) => {
        response.setHeader("Content-Type", "application/json");
        response.setHeader("Connection", "close");
        response.end(JSON.stringify({ ...REPORT, ...report }));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as net.AddressInfo;
    const state = await new engines.Engine(`127.0.0.1:${port}`, "holder").state();
    await new Promise(resolve => server.close(resolve));
    return state?.unstarted;
}

testing.test("calls in the queue and runs without an event have not begun", async () => {
    const runs = [["a", 608, 15, 1], ["b", 300, 0, 1]];
    assert.equal(await stateOf({ running: 3, waiting: 2, runs }), 4);
    assert.equal(await stateOf({ running: 2, waiting: 0, runs: [["a", 608, 15, 1], ["b", 90, 1, 0]] }), 0);
});

testing.test("without a list of runs, or with an odd one, only the queue counts or all runs do", async () => {
    assert.equal(await stateOf({ running: 3, waiting: 2 }), 2);
    assert.equal(await stateOf({ running: 3, waiting: 0, runs: [7, ["a"], false, ["b", 1, "x"]] }), 3);
});
