/** Guards against waits that outlast the caller, and against cutting a stream whose next server is not free yet. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as waitLimits from "../../src/forwarding/wait-limit.js";

const STREAM: waitLimits.WaitingCall = {
    kind: "stream",
    arrivedAt: 0,
    deadlineAt: 5000,
    executedAttempts: 0,
    lastProgressAt: 0,
    targetLatencyMs: 600,
    targetGapMs: 200,
};

testing.test("burst: a call that has not run is refused while its caller can still return", () => {
    assert.equal(waitLimits.waitEndsAt(STREAM, 100), 1000);
    assert.equal(waitLimits.waitEndsAt({ ...STREAM, kind: "idempotent", deadlineAt: 800 }, 100), 320);
});

testing.test("crash: a stream that lost its server after more than a second waits for another one", () => {
    const interrupted = { ...STREAM, executedAttempts: 1, lastProgressAt: 1500 };
    assert.equal(waitLimits.waitEndsAt(interrupted, 1600), 3650);
});

testing.test("guards against waiting longer than the caller, or than the deadline", () => {
    assert.equal(waitLimits.abandonedAt(STREAM), 2400);
    assert.equal(waitLimits.abandonedAt({ ...STREAM, targetLatencyMs: 300, targetGapMs: 300 }), 2400);
    assert.equal(waitLimits.abandonedAt({ ...STREAM, targetLatencyMs: 300, targetGapMs: 200 }), 2000);
    assert.equal(waitLimits.abandonedAt({ ...STREAM, kind: "idempotent" }), 5000);
    const late = { ...STREAM, executedAttempts: 1, lastProgressAt: 4000 };
    assert.equal(waitLimits.waitEndsAt(late, 4100), 4750);
    assert.equal(waitLimits.waitEndsAt(late, 4900), 4900);
});
