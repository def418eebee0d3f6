/** Guards against calls that wait in vain, or that engines rank alike, where several kinds compete for servers. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as fleet from "../../src/fleet/types.js";
import * as harnesses from "../support/entry-harness.js";

const CONTENDED: fleet.Capabilities = { placementConstraints: false, contendedServers: true };
/** Calls that an HTTP server with 8 slots gets at once, those in its queue included. */
const CAPACITY = 12;
const DEADLINE_MS = 600;

const CUSTOMER: fleet.Customer = {
    name: "customer",
    keys: ["key"],
    priority: 3,
    isolated: false,
    rateUnit: "calls",
    tokensPerSecond: 0,
    burstTokens: 0,
    defaultCallTokens: 1,
};
const AUTHORIZATION = { Authorization: "Bearer key" };

/** A server that answers each call after a time. */
function answersAfter(answerMs: number): harnesses.ServerScript {
    return (socket, { id }) => {
        setTimeout(() => void (socket.destroyed || socket.write(harnesses.response(id, "answer"))), answerMs);
    };
}

testing.test("burst: calls that find all places taken wait for as long as an answer is of use", async () => {
    await using harness = await harnesses.EntryHarness.start([answersAfter(400)], { capabilities: CONTENDED });
    const calls = Array.from({ length: 2 * CAPACITY }, () => {
        return harness.call("booking", { headers: { "Deadline-Ms": "1400" } });
    });
    const results = await Promise.all(calls);
    assert.deepEqual(results.map(({ status }) => status), results.map(() => 200));
});

testing.test("no servers: calls are refused with proof before their deadline, spread, and within a third of their time", async () => {
    await using harness = await harnesses.EntryHarness.start([], { capabilities: CONTENDED });
    const results = await Promise.all(Array.from({ length: 8 }, () => {
        return harness.call("lookup", { headers: { "Deadline-Ms": String(DEADLINE_MS) } });
    }));
    assert.deepEqual(new Set(results.map(({ status }) => status)), new Set([503]));
    const delays = results.map(({ headers }) => Number(headers["retry-after"]));
    assert.ok(delays.every(seconds => seconds >= 0.05 && seconds <= DEADLINE_MS / 3000), delays.join(" "));
    const refusals = harness.events.filter(({ name }) => name === "call-refused");
    assert.ok(refusals.every(({ fields }) => Number(fields["elapsedMs"]) < DEADLINE_MS + 50));
});

testing.test("retry delays differ between refused callers that have time left", async () => {
    await using harness = await harnesses.EntryHarness.start([answersAfter(2500)], {
        capabilities: CONTENDED,
        routeTimeoutMs: 8000,
    });
    const running = Array.from({ length: CAPACITY }, () => harness.call("booking"));
    const results = await Promise.all(Array.from({ length: 6 }, (_, index) => {
        return harness.call("note", { id: `note-${index}` });
    }));
    const delays = results.map(({ headers }) => headers["retry-after"]);
    assert.equal(new Set(delays).size, delays.length, delays.join(" "));
    await Promise.all(running);
});

testing.test("a customer's priority does not hide that of the route from the server", async () => {
    const priorities = new Map<string, string | undefined>();
    const script: harnesses.ServerScript = (socket, { id, head }) => {
        priorities.set(id, /^request-priority: (\d)$/im.exec(head)?.[1]);
        socket.write(harnesses.response(id, "answer"));
    };
    const options = {
        customers: [CUSTOMER, { ...CUSTOMER, name: "first", keys: ["first"], priority: 0 }],
        priorities: { booking: 0, lookup: 2 },
    };
    const idOf = (key: string, route: string) => `${key}-${route}`;
    const callAll = async (harness: harnesses.EntryHarness) => {
        for (const key of ["first", "key"]) {
            for (const route of ["booking", "lookup"]) {
                await harness.call(route, { id: idOf(key, route), headers: { Authorization: `Bearer ${key}` } });
            }
        }
        return ["first-booking", "first-lookup", "key-booking", "key-lookup"].map(id => priorities.get(id));
    };
    await using contended = await harnesses.EntryHarness.start([script], { ...options, capabilities: CONTENDED });
    assert.deepEqual(await callAll(contended), ["0", "2", "3", "5"]);
    await using plain = await harnesses.EntryHarness.start([script], options);
    assert.deepEqual(await callAll(plain), ["0", "0", "3", "3"]);
});

testing.test("planned stop: the queue is emptied at once, and the calls that run are answered", async () => {
    const held: (() => void)[] = [];
    const script: harnesses.ServerScript = (socket, { id }) => {
        held.push(() => void socket.write(harnesses.response(id, "answer")));
    };
    await using harness = await harnesses.EntryHarness.start([script], {
        capabilities: CONTENDED,
        customers: [CUSTOMER],
        routeTimeoutMs: 20_000,
    });
    const calls = Array.from({ length: 2 * CAPACITY }, () => harness.call("booking", { headers: AUTHORIZATION }));
    const waiting = () => harness.events.filter(({ name }) => name === "call-waits").length;
    while (waiting() < CAPACITY || held.length < CAPACITY) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    harness.entry.endWaitingCalls();
    held.forEach(answer => void answer());
    const results = await Promise.all(calls);
    assert.equal(results.filter(({ status }) => status === 200).length, CAPACITY);
    assert.equal(results.filter(({ status }) => status === 503).length, CAPACITY);
    assert.equal(held.length, CAPACITY);
});

testing.test("burst: a stream waits for a busy server that is reported to work, and the server is not excluded", async () => {
    const arrivals: number[] = [];
    const script: harnesses.ServerScript = (socket, { id }) => {
        arrivals.push(performance.now());
        setTimeout(() => void socket.end(`${harnesses.streamHead(id)}id: 1\ndata: answer\n\n`), 2000);
    };
    const options = { capabilities: CONTENDED, targetLatencyMs: 1200, routeTimeoutMs: 8000 };
    await using harness = await harnesses.EntryHarness.start([script, script], options);
    for (const server of harness.view.listedServers()) {
        const report = { ...server, startedAt: 1, isAlive: true, isUpdatingWeights: false, isUpdatePending: false };
        harness.view.applyReport({ ...report, weights: [], running: 0, waiting: 0 }, performance.now());
    }
    const result = await harness.call("review");
    assert.equal(result.status, 200);
    assert.match(result.body, /data: answer/);
    assert.equal(arrivals.length, 1);
    assert.ok(harness.events.every(({ name }) => name !== "server-suspected"));
});

testing.test("crash: a stream leaves a silent server that is not reported to work", async () => {
    let arrivals = 0;
    const script: harnesses.ServerScript = (socket, { id }) => {
        arrivals++;
        if (arrivals > 1) {
            socket.end(`${harnesses.streamHead(id)}id: 1\ndata: answer\n\n`);
        }
    };
    const options = { capabilities: CONTENDED, targetLatencyMs: 1200, routeTimeoutMs: 8000 };
    await using harness = await harnesses.EntryHarness.start([script, script], options);
    assert.match((await harness.call("review")).body, /data: answer/);
    assert.ok(harness.events.some(({ name }) => name === "server-suspected"));
});
