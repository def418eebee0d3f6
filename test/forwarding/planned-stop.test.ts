/** Guards against calls that a planned stop under load cuts off without an answer after they were read. */
import * as assert from "node:assert/strict";
import * as http from "node:http";
import * as testing from "node:test";
import * as harnesses from "../support/entry-harness.js";

const CALLERS = 24;
const SERVERS = 3;
/** Times in milliseconds: of a call at its server, of the load before the stop, and of the stop itself. */
const CALL_MS = 40;
const LOAD_MS = 300;
const KEEP_ACCEPTING_MS = 300;
const CLOSE_INTERVAL_MS = 20;

interface CallRecord {
    readonly id: string;
    readonly result: harnesses.CallerResult | undefined;
}

testing.test("planned stop under load: each call that was passed on to a server is answered completely", async () => {
    const ran = new Set<string>();
    const script: harnesses.ServerScript = (socket, { id }) => {
        ran.add(id);
        setTimeout(() => void (socket.destroyed || socket.write(harnesses.response(id, `answer to ${id}`))), CALL_MS);
    };
    await using harness = await harnesses.EntryHarness.start(Array.from({ length: SERVERS }, () => script));
    let isOver = false;
    const records: CallRecord[] = [];
    const callers = Array.from({ length: CALLERS }, async (_, caller) => {
        // Half of the callers keep their connection, the others open one for each call.
        const agent = caller % 2 === 0 ? new http.Agent({ keepAlive: true, maxSockets: 1 }) : undefined;
        for (let call = 0; !isOver; call++) {
            const id = `${caller}-${call}`;
            const route = call % 2 === 0 ? "booking" : "lookup";
            const result = await harness.call(route, agent === undefined ? { id } : { id, agent }).catch(() =>
                undefined
            );
            records.push({ id, result });
            await new Promise(resolve => setTimeout(resolve, result === undefined ? CLOSE_INTERVAL_MS : 1));
        }
        agent?.destroy();
    });
    // However slow the machine is, the stop comes while each caller is in the middle of several calls.
    do {
        await new Promise(resolve => setTimeout(resolve, LOAD_MS));
    }
    while (records.length <= 2 * CALLERS);
    harness.isDraining = true;
    await new Promise(resolve => setTimeout(resolve, KEEP_ACCEPTING_MS));
    do {
        harness.entry.close(performance.now());
        await new Promise(resolve => setTimeout(resolve, CLOSE_INTERVAL_MS));
    }
    while (harness.entry.callsInFlight > 0 || harness.entry.awaitsFirstRequest(performance.now()));
    isOver = true;
    await Promise.all(callers);
    const answered = records.filter(({ result }) => result?.status === 200);
    assert.ok(answered.length > CALLERS, `${answered.length} calls answered`);
    for (const { id, result } of answered) {
        assert.deepEqual([result?.body, result?.isComplete], [`answer to ${id}`, true]);
    }
    const cutOff = records.filter(({ id, result }) => ran.has(id) && result?.status !== 200);
    assert.deepEqual(cutOff.map(({ id }) => id), []);
});
