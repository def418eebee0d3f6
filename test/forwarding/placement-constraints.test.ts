/** Guards against calls that are sent where the operator does not permit it, or to cold servers beyond their rate. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as fleet from "../../src/fleet/types.js";
import * as harnesses from "../support/entry-harness.js";

const CAPABILITIES: fleet.Capabilities = { placementConstraints: true, contendedServers: false };
const COLD_START: fleet.ColdStart = { durationMs: 3000, requestsPerSecond: 16 };
const TOLERATED_REQUESTS = 29;
const CALLS = 12;
const CALL_MS = 150;
/** Calls that an HTTP server with 8 slots gets at once, those in its queue included. */
const CAPACITY = 12;

/** Script of a server that counts its calls and answers each after a time. */
function counting(arrivals: number[], answerMs = 0): harnesses.ServerScript {
    return (socket, { id }) => {
        arrivals.push(performance.now());
        setTimeout(() => socket.write(harnesses.response(id, "answer")), answerMs);
    };
}

function evacuate(harness: harnesses.EntryHarness, ...dataCentres: readonly string[]): void {
    harness.evacuations.adopt({ dataCentres, unreadable: [] });
    harness.dispatch();
}

function busiestSecond(times: readonly number[]): number {
    return Math.max(0, ...times.map(from => times.filter(at => at >= from && at < from + 1000).length));
}

for (const route of ["lookup", "booking", "review", "note"]) {
    testing.test(`${route}: an evacuated data centre gets no calls until its evacuation ends`, async () => {
        const [one, two]: [number[], number[]] = [[], []];
        await using harness = await harnesses.EntryHarness.start([counting(one), counting(two)], {
            dataCentres: ["one", "two"],
            capabilities: CAPABILITIES,
        });
        evacuate(harness, "one", "unknown");
        for (let call = 0; call < CALLS; call++) {
            assert.equal((await harness.call(route)).status, 200);
        }
        assert.deepEqual([one.length, two.length], [0, CALLS]);
        evacuate(harness, "two");
        assert.equal((await harness.call(route)).status, 200);
        assert.equal(one.length, 1);
    });
}

testing.test("calls that wait when their data centre is evacuated run elsewhere, and those that run there end", async () => {
    const [one, two]: [number[], number[]] = [[], []];
    const scripts = [counting(one, CALL_MS), counting(two, CALL_MS)];
    await using harness = await harnesses.EntryHarness.start(scripts, {
        dataCentres: ["one", "two"],
        capabilities: CAPABILITIES,
    });
    evacuate(harness, "two");
    const calls = Array.from({ length: 2 * CAPACITY }, () => harness.call("booking"));
    while (one.length < CAPACITY) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    evacuate(harness, "one");
    const results = await Promise.all(calls);
    assert.ok(results.every(({ status }) => status === 200), results.map(({ status }) => status).join(" "));
    assert.deepEqual([one.length, two.length], [CAPACITY, CAPACITY]);
});

testing.test("a call is not run again in a data centre that was evacuated after its first attempt", async () => {
    const [one, two]: [number[], number[]] = [[], []];
    const failing: harnesses.ServerScript = (socket, { id }) => {
        one.push(performance.now());
        evacuate(harness, "one");
        socket.write(harnesses.response(id, "", "500 Internal Server Error"));
    };
    await using harness = await harnesses.EntryHarness.start([failing, failing, counting(two)], {
        dataCentres: ["one", "one", "two"],
        capabilities: CAPABILITIES,
    });
    evacuate(harness, "two");
    assert.equal((await harness.call("lookup")).status, 200);
    assert.deepEqual([one.length, two.length], [1, 1]);
});

testing.test("with all data centres evacuated, calls are refused at once as not run, and so are those that wait", async () => {
    const arrivals: number[] = [];
    await using harness = await harnesses.EntryHarness.start([counting(arrivals, CALL_MS)], {
        capabilities: CAPABILITIES,
    });
    const calls = Array.from({ length: 2 * CAPACITY }, () => harness.call("booking"));
    while (arrivals.length < CAPACITY) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    evacuate(harness, "one");
    const later = await harness.call("booking");
    assert.equal(later.status, 503);
    assert.ok(Number(later.headers["retry-after"]) > 0);
    const results = await Promise.all(calls);
    assert.equal(results.filter(({ status }) => status === 200).length, CAPACITY);
    const refused = results.filter(({ status, headers }) => status === 503 && Number(headers["retry-after"]) > 0);
    assert.equal(refused.length, CAPACITY);
    assert.equal(arrivals.length, CAPACITY);
    const waits = harness.events.filter(({ name, fields }) => {
        return name === "call-refused" && Number(fields["elapsedMs"]) > CALL_MS;
    });
    assert.deepEqual(waits, [], "no refusal waits for the calls that run");
});

testing.test("calls run only in the regions that both their route and their customer name", async () => {
    const [one, two]: [number[], number[]] = [[], []];
    const customer = (name: string, homes: readonly string[]): fleet.Customer => ({
        name,
        keys: [name],
        homes,
        priority: undefined,
        isolated: false,
        rateUnit: "calls",
        tokensPerSecond: 0,
        burstTokens: 0,
        defaultCallTokens: 1,
    });
    const customers = [customer("free", []), customer("south", ["south"]), customer("east", ["east"])];
    const options = { dataCentres: ["one", "two"], capabilities: CAPABILITIES, customers };
    await using harness = await harnesses.EntryHarness.start([counting(one), counting(two)], {
        ...options,
        homes: ["north", "south"],
    });
    const statusOf = async (key: string) => {
        return (await harness.call("booking", { headers: { Authorization: `Bearer ${key}` } })).status;
    };
    for (let call = 0; call < CALLS; call++) {
        assert.equal(await statusOf("south"), 200);
    }
    assert.deepEqual([one.length, two.length], [0, CALLS]);
    assert.equal(await statusOf("east"), 503);
    assert.equal(await statusOf("free"), 200);
    assert.equal(one.length + two.length, CALLS + 1);
});

testing.test("without the capability homes change nothing", async () => {
    const [one, two]: [number[], number[]] = [[], []];
    await using harness = await harnesses.EntryHarness.start([counting(one), counting(two)], {
        dataCentres: ["one", "two"],
        homes: ["south"],
    });
    for (let call = 0; call < 2 * CALLS; call++) {
        assert.equal((await harness.call("booking")).status, 200);
    }
    assert.ok(one.length > 0, "a server outside the homes is used");
});

testing.test("cold servers get calls within their rate only, and the others wait or are refused as not run", async () => {
    const arrivals: number[] = [];
    await using harness = await harnesses.EntryHarness.start([counting(arrivals)], {
        capabilities: CAPABILITIES,
        coldStart: COLD_START,
    });
    evacuate(harness, "one");
    evacuate(harness);
    const startedAt = performance.now();
    const results = await Promise.all(Array.from({ length: 100 }, () => harness.call("booking")));
    assert.ok(busiestSecond(arrivals) <= TOLERATED_REQUESTS, `${busiestSecond(arrivals)} requests in a second`);
    const answered = results.filter(({ status }) => status === 200).length;
    const refused = results.filter(({ status, headers }) => status === 503 && Number(headers["retry-after"]) > 0);
    assert.equal(answered, arrivals.length);
    assert.ok(answered >= 8, `${answered} calls answered`);
    assert.equal(answered + refused.length, results.length);
    const coldMs = COLD_START.durationMs - (performance.now() - startedAt);
    await new Promise(resolve => setTimeout(resolve, Math.max(0, coldMs) + 100));
    const before = arrivals.length;
    const later = await Promise.all(Array.from({ length: CAPACITY }, () => harness.call("booking")));
    assert.ok(later.every(({ status }) => status === 200));
    assert.equal(arrivals.length, before + CAPACITY);
});

testing.test("a server that states in a response that it is cold gets few further calls", async () => {
    const arrivals: number[] = [];
    const cold: harnesses.ServerScript = (socket, { id }) => {
        arrivals.push(performance.now());
        socket.write(harnesses.response(id, "answer").replace("\r\n", "\r\nCold-Ms: 1500\r\n"));
    };
    await using harness = await harnesses.EntryHarness.start([cold], {
        capabilities: CAPABILITIES,
        coldStart: COLD_START,
    });
    assert.equal((await harness.call("booking")).status, 200);
    await Promise.all(Array.from({ length: 60 }, () => harness.call("booking")));
    assert.ok(busiestSecond(arrivals) <= TOLERATED_REQUESTS, `${busiestSecond(arrivals)} requests in a second`);
});
