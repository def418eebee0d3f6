/** Guards against load estimates that forget own requests, count them twice or never age (promise 1). */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as parameters from "../../src/routing/parameters.js";
import * as serverLoads from "../../src/routing/server-loads.js";

const IDLE = { queuedTokens: 0, running: 0, waiting: 0 };

testing.test("loads: own requests count from sending to the first token, and a report does not count them twice", () => {
    const loads = new serverLoads.ServerLoads({ ...parameters.defaults, drainShare: 0 });
    loads.sent("s", "1", 1000, 0, 10);
    assert.equal(loads.queuedTokens("s", 10), 1000);
    loads.reported("s", { ...IDLE, queuedTokens: 1500 }, 11);
    assert.equal(loads.queuedTokens("s", 11), 1500, "the report contains the request");
    loads.sent("s", "2", 200, 0, 12);
    assert.equal(loads.queuedTokens("s", 12), 1700, "the report is older than the request");
    loads.reported("s", IDLE, 13);
    assert.equal(loads.queuedTokens("s", 13), 1200, "at least the own requests wait");
    loads.abandoned("s", "2");
    assert.equal(loads.queuedTokens("s", 13), 1000);
    loads.started("s", "1", 1000, IDLE, 60);
    assert.equal(loads.queuedTokens("s", 60), 0);
});

testing.test("loads: a report ages at the drain share of the prefill rate", () => {
    const loads = new serverLoads.ServerLoads();
    loads.reported("s", { ...IDLE, queuedTokens: 10_000 }, 0);
    const { drainShare, initialPrefillMsPerToken } = parameters.defaults;
    assert.ok(Math.abs(loads.queuedTokens("s", 100) - (10_000 - 100 * drainShare / initialPrefillMsPerToken)) < 1e-6);
    assert.equal(loads.queuedTokens("s", 100_000), 0);
    loads.retain(new Set());
    assert.equal(loads.queuedTokens("s", 0), 0, "a server that left is forgotten");
});

testing.test("loads: the prefill time approaches the observed one, without the network time", () => {
    const loads = new serverLoads.ServerLoads();
    for (let attempt = 0; attempt < 1000; attempt++) {
        const now = attempt * 1000;
        loads.sent("s", String(attempt), 1000, 5, now);
        loads.started("s", String(attempt), 1000, IDLE, now + 105);
    }
    assert.ok(Math.abs(loads.prefillMsPerToken - 0.1) < 0.005);
});
