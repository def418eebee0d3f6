/** Guards against load estimates that omit own requests, count them twice or never expire. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as parameters from "../../src/routing/parameters.js";
import * as serverLoads from "../../src/routing/server-loads.js";

const IDLE = { queuedTokens: 0, running: 0, waiting: 0 };

testing.test("loads: own requests count until their first token, and are not counted twice with a report", () => {
    const loads = new serverLoads.ServerLoads({ ...parameters.defaults, queueDrainFactor: 0 });
    loads.recordSent("s", "1", 1000, 0, 10);
    assert.equal(loads.queuedTokens("s", 10), 1000);
    loads.recordReport("s", { ...IDLE, queuedTokens: 1500 }, 11);
    assert.equal(loads.queuedTokens("s", 11), 1500, "the report includes the request");
    loads.recordSent("s", "2", 200, 0, 12);
    assert.equal(loads.queuedTokens("s", 12), 1700, "the report is older than the request");
    loads.recordReport("s", IDLE, 13);
    assert.equal(loads.queuedTokens("s", 13), 1200, "the own pending requests are a lower bound");
    loads.removePending("s", "2");
    assert.equal(loads.queuedTokens("s", 13), 1000);
    loads.recordFirstToken("s", "1", 1000, IDLE, 60);
    assert.equal(loads.queuedTokens("s", 60), 0);
});

testing.test("loads: a reported queue drains at the drain factor of the prefill speed", () => {
    const loads = new serverLoads.ServerLoads();
    loads.recordReport("s", { ...IDLE, queuedTokens: 10_000 }, 0);
    const { queueDrainFactor, initialPrefillMsPerToken } = parameters.defaults;
    assert.ok(
        Math.abs(loads.queuedTokens("s", 100) - (10_000 - 100 * queueDrainFactor / initialPrefillMsPerToken)) < 1e-6,
    );
    assert.equal(loads.queuedTokens("s", 100_000), 0);
    loads.retain(new Set());
    assert.equal(loads.queuedTokens("s", 0), 0, "the state of a removed server is dropped");
});

testing.test("loads: the prefill time converges to the observed one, excluding the network time", () => {
    const loads = new serverLoads.ServerLoads();
    for (let attempt = 0; attempt < 1000; attempt++) {
        const now = attempt * 1000;
        loads.recordSent("s", String(attempt), 1000, 5, now);
        loads.recordFirstToken("s", String(attempt), 1000, IDLE, now + 105);
    }
    assert.ok(Math.abs(loads.prefillMsPerToken - 0.1) < 0.005);
});
