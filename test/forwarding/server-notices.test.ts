/** Guards against calls to servers that state in their responses that they want no more. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as harnesses from "../support/entry-harness.js";

const CALLS = 12;
const ROUTES = ["lookup", "booking", "review", "note"];

/** Adds a header to a response. */
function withHeader(response: string, header: string): string {
    return response.replace("\r\n", `\r\n${header}\r\n`);
}

/** Script of a server that counts its calls and renders each response. */
function counting(counts: number[], index: number, render: (id: string) => string): harnesses.ServerScript {
    return (socket, { id }) => {
        counts[index] = (counts[index] ?? 0) + 1;
        socket.write(render(id));
    };
}

for (const route of ROUTES) {
    testing.test(`${route}: a server that states that it is leaving gets no more calls, though it is listed as ready`, async () => {
        const counts = [0, 0];
        const leaving = counting(
            counts,
            0,
            id => withHeader(harnesses.response(id, "answer"), "Server-Leaving: 1"),
        );
        const staying = counting(counts, 1, id => harnesses.response(id, "answer"));
        await using harness = await harnesses.EntryHarness.start([leaving, staying]);
        for (let call = 0; call < CALLS; call++) {
            assert.equal((await harness.call(route)).status, 200);
            // The registry repeats what it has.
            harness.view.updateServers(harness.view.listedServers());
        }
        assert.ok(counts[0]! <= 1, `${counts[0]} calls at the leaving server`);
        assert.equal(counts[0]! + counts[1]!, CALLS);
        const restarted = harness.view.listedServers().map(server => ({ ...server, startedAt: 2 }));
        harness.view.updateServers(restarted.slice(0, 1));
        assert.equal((await harness.call(route)).status, 200, "its next run takes calls");
    });
}

testing.test("a refusal by a leaving server counts as well, and the statement of another server does not", async () => {
    const counts = [0, 0];
    const leaving = counting(counts, 0, id => {
        const refusal = harnesses.response(id, "", "503 Service Unavailable");
        return withHeader(withHeader(refusal, "Not-Executed: 1"), "Server-Leaving: 1");
    });
    const misdirected = counting(counts, 1, id => {
        const refusal = harnesses.response(id, "", "421 Misdirected Request");
        return withHeader(withHeader(refusal, "Instance-Id: another"), "Server-Leaving: 1");
    });
    await using harness = await harnesses.EntryHarness.start([leaving, misdirected]);
    const result = await harness.call("booking");
    assert.equal(result.status, 503);
    const [first, second] = harness.view.listedServers();
    assert.equal(harness.view.notices.isLeaving(first!), true);
    assert.equal(harness.view.notices.isLeaving(second!), false);
});
