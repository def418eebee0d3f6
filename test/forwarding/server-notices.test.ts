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
            harness.view.updateServers(harness.view.listedServers(), 0);
        }
        assert.ok(counts[0]! <= 1, `${counts[0]} calls at the leaving server`);
        assert.equal(counts[0]! + counts[1]!, CALLS);
        const restarted = harness.view.listedServers().map(server => ({ ...server, startedAt: 2 }));
        harness.view.updateServers(restarted.slice(0, 1), 0);
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

testing.test("guards against ignoring that a server leaves when it refuses a call that expects other weights", async () => {
    const misdirected = counting([0], 0, id => {
        const refusal = harnesses.response(id, "", "421 Misdirected Request");
        return withHeader(withHeader(refusal, "Instance-Id: server-0"), "Server-Leaving: 1");
    });
    await using harness = await harnesses.EntryHarness.start([misdirected]);
    await harness.call("booking");
    assert.equal(harness.view.notices.isLeaving(harness.view.listedServers()[0]!), true);
});

testing.test("a server that refuses with a time to come back gets no calls until then, and then again", async () => {
    const arrivals: number[] = [];
    const pauseMs = 700;
    const refusing: harnesses.ServerScript = (socket, { id }) => {
        arrivals.push(performance.now());
        const refusal = harnesses.response(id, "", "503 Service Unavailable");
        socket.write(withHeader(withHeader(refusal, "Not-Executed: 1"), `Retry-After: ${pauseMs / 1000}`));
    };
    const counts = [0];
    const serving = counting(counts, 0, id => harnesses.response(id, "answer"));
    await using harness = await harnesses.EntryHarness.start([refusing, serving]);
    while (arrivals.length < 3) {
        assert.equal((await harness.call("lookup")).status, 200);
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    assert.ok(counts[0]! > arrivals.length, "calls were placed in between");
    const pauses = arrivals.slice(1).map((arrivedAt, index) => arrivedAt - arrivals[index]!);
    assert.ok(pauses.every(elapsedMs => elapsedMs >= pauseMs), `pauses of ${pauses.join(", ")} ms`);
});

testing.test("a call is refused at once when all servers are paused for longer than it may wait", async () => {
    const counts = [0];
    const refusing = counting(counts, 0, id => {
        return withHeader(harnesses.response(id, "", "503 Service Unavailable"), "Retry-After: 30\r\nNot-Executed: 1");
    });
    await using harness = await harnesses.EntryHarness.start([refusing]);
    await harness.call("booking");
    for (let call = 0; call < CALLS; call++) {
        harness.events.length = 0;
        const result = await harness.call("booking");
        assert.equal(result.status, 503);
        const waits = harness.events.filter(({ name }) => name === "call-waits");
        assert.deepEqual(waits, [], "it does not wait");
        assert.ok(Number(result.headers["retry-after"]) > 25, `Retry-After ${result.headers["retry-after"]}`);
    }
    assert.equal(counts[0], 1);
});

testing.test("a server's own failure with a time to come back is honoured, and a faulty time does not exclude it for good", async () => {
    const failing = counting([0], 0, id => {
        return withHeader(harnesses.response(id, "", "503 Service Unavailable"), "Retry-After: 99999999999999999999");
    });
    await using harness = await harnesses.EntryHarness.start([failing]);
    assert.equal((await harness.call("booking")).status, 503);
    const [server] = harness.view.listedServers();
    const remainingMs = harness.view.notices.remainingPauseMs(server!, performance.now());
    assert.ok(remainingMs > 0 && remainingMs < 3_600_000, `${remainingMs} ms`);
});
