/** Guards against calls that can still be on time behind those that are late anyhow. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as callTimes from "../../src/scheduling/call-times.js";

const BOOKING: callTimes.TimedCall = {
    kind: "at-most-once",
    arrivedAt: 0,
    deadlineAt: 627,
    abandonedAt: 627,
    targetLatencyMs: 148,
};
const NOTE: callTimes.TimedCall = {
    kind: "stream",
    arrivedAt: 0,
    deadlineAt: 15_000,
    abandonedAt: 2400,
    targetLatencyMs: 400,
};

testing.test("a start is of use until the caller can no longer get the answer", () => {
    const booking = callTimes.startTimes(BOOKING, { firstMs: 20, wholeMs: 20 });
    assert.deepEqual(booking, { onTimeUntil: 128, usefulUntil: 0.7 * 627, callMs: 20 });
    assert.equal(callTimes.startTimes(BOOKING, { firstMs: 20, wholeMs: 300 }).usefulUntil, 297);
    const note = callTimes.startTimes(NOTE, { firstMs: 20, wholeMs: 500 });
    assert.deepEqual(note, { onTimeUntil: 380, usefulUntil: 2130, callMs: 500 });
    const whole = callTimes.startTimes({ ...NOTE, deadlineAt: 1000 }, { firstMs: 20, wholeMs: 500 });
    assert.equal(whole.usefulUntil, 470);
});

testing.test("calls that can still be on time start first, the earliest time limit first, and then the late ones", () => {
    const times = { firstMs: 20, wholeMs: 20 };
    const late = callTimes.startTimes(NOTE, times);
    const soon = callTimes.startTimes({ ...NOTE, arrivedAt: 200 }, times);
    const later = callTimes.startTimes({ ...NOTE, arrivedAt: 300, targetLatencyMs: 600 }, times);
    const order = [late, later, soon].toSorted((left, right) => callTimes.compareStarts(left, right, 500));
    assert.deepEqual(order, [soon, later, late]);
    assert.ok(callTimes.compareStarts(late, soon, 100) < 0, "before it is late, the earliest time limit decides");
});
