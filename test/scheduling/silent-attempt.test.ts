/** Guards against calls that leave busy servers all at once, and so make the others read their prompts as well. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as silentAttempts from "../../src/scheduling/silent-attempt.js";

testing.test("burst: a call waits at a server that works, and tries another one before its caller leaves", () => {
    const busy = { isReportedAlive: true, abandonedAt: 4860 };
    assert.deepEqual(silentAttempts.decide(busy, 1500), { kind: "wait", checkInMs: 300 });
    assert.deepEqual(silentAttempts.decide(busy, 4100), { kind: "wait", checkInMs: 60 });
    assert.deepEqual(silentAttempts.decide(busy, 4160), { kind: "abandon", isServerBusy: true });
});

testing.test("crash: a server that no process states to work is left at once", () => {
    const gone = { isReportedAlive: false, abandonedAt: 4860 };
    assert.deepEqual(silentAttempts.decide(gone, 1500), { kind: "abandon", isServerBusy: false });
});
