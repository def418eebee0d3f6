/** Guards against calls to servers that state a full queue or reject calls, in an entry with scripted servers. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as fleet from "../../src/fleet/types.js";
import * as harnesses from "../support/entry-harness.js";

const CONTENDED: fleet.Capabilities = { placementConstraints: false, contendedServers: true };
const CALLS = 10;

/** Script of a server that counts its calls and renders each response with a statement of its load. */
function stating(
    counts: number[],
    index: number,
    load: string,
    response: (id: string) => string,
): harnesses.ServerScript {
    return (socket, { id }) => {
        counts[index] = (counts[index] ?? 0) + 1;
        socket.write(response(id).replace("\r\n", `\r\nServer-Load: ${load}\r\n`));
    };
}

function answer(id: string): string {
    return harnesses.response(id, "answer");
}

function rejection(id: string): string {
    return harnesses.response(id, "", "503 Service Unavailable").replace("\r\n", "\r\nNot-Executed: 1\r\n");
}

/** Time in milliseconds within which a statement has lost less than half of its weight. */
const FRESH_MS = 150;
/** Most calls until the entry has tried both servers. */
const MAXIMUM_TRIES = 100;

/** Calls until the first server has stated something, and then as long as that is fresh. Returns the later calls there. */
async function callsAfterStatement(
    harness: harnesses.EntryHarness,
    counts: readonly number[],
    route: string,
): Promise<number> {
    let before = performance.now();
    for (let call = 0; call < MAXIMUM_TRIES && counts[0] === 0; call++) {
        before = performance.now();
        assert.equal((await harness.call(route)).status, 200);
    }
    assert.equal(counts[0], 1);
    for (let call = 0; call < CALLS; call++) {
        const known = counts[0];
        assert.equal((await harness.call(route)).status, 200);
        if (performance.now() - before > FRESH_MS) {
            return known - 1;
        }
    }
    return counts[0] - 1;
}

for (const route of ["booking", "lookup", "review"]) {
    testing.test(`${route}: a server that rejects a call as full is left out, and the call goes elsewhere at once`, async () => {
        const counts = [0, 0];
        await using harness = await harnesses.EntryHarness.start([
            stating(counts, 0, "8,24,8,100", rejection),
            stating(counts, 1, "1,0,8,100", answer),
        ], { capabilities: CONTENDED });
        assert.equal(await callsAfterStatement(harness, counts, route), 0);
        assert.equal(harness.events.filter(({ name }) => name === "server-rejecting").length, 1);
        const decisions = harness.events.filter(({ name }) => name === "attempt-ended").map(({ fields }) => fields);
        assert.deepEqual(decisions.map(({ end, decision }) => [end, decision]), [["not-executed", "retry"]]);
    });
}

for (
    const [name, load] of [["a queue that a server states as long", "8,20,8,100"], [
        "a machine that is slow at the moment",
        "1,0,8,900",
    ]] as const
) {
    testing.test(`${name}: calls go to the others while the statement is fresh`, async () => {
        const counts = [0, 0];
        await using harness = await harnesses.EntryHarness.start([
            stating(counts, 0, load, answer),
            stating(counts, 1, "1,0,8,100", answer),
        ], { capabilities: CONTENDED });
        assert.equal(await callsAfterStatement(harness, counts, "booking"), 0);
    });
}

testing.test("all servers reject calls as full: the call is refused as not run", async () => {
    const counts = [0, 0];
    await using harness = await harnesses.EntryHarness.start([
        stating(counts, 0, "8,24,8,100", rejection),
        stating(counts, 1, "8,24,8,100", rejection),
    ], { capabilities: CONTENDED, routeTimeoutMs: 600 });
    assert.equal((await harness.call("booking")).status, 503);
});

testing.test("servers of other deployments: their statements change nothing", async () => {
    const counts = [0, 0];
    await using harness = await harnesses.EntryHarness.start([
        stating(counts, 0, "8,20,8,400", answer),
        stating(counts, 1, "1,0,8,100", answer),
    ]);
    await harness.call("booking");
    await harness.call("booking");
    const candidates = harness.view.candidates("service", undefined, performance.now());
    assert.deepEqual(candidates.map(({ stated }) => stated), [undefined, undefined]);
});
