/** Guards against refusals that nothing proves, and against refused callers that retry all at once. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as expectedWaits from "../../src/scheduling/expected-wait.js";
import * as throughputs from "../../src/scheduling/service-throughput.js";

const TICK_MS = 20;

/** Throughput after calls have waited for a time, in which one call of the rank was placed at each interval. */
function contended(forMs: number, placedEveryMs: number, rank = 0): throughputs.ServiceThroughput {
    const throughput = new throughputs.ServiceThroughput();
    for (let now = 0; now <= forMs; now += TICK_MS) {
        throughput.observe(true, now);
        if (now % placedEveryMs === 0) {
            throughput.recordPlacement(rank, now);
        }
    }
    return throughput;
}

testing.test("nothing is refused while no call is ahead, or while the rate is not known", () => {
    const throughput = contended(200, 20);
    assert.equal(expectedWaits.expectedWaitMs(0, { sameRank: 0, moreUrgent: 0 }, undefined), 0);
    assert.equal(throughput.at(200), undefined);
    const unknown = expectedWaits.expectedWaitMs(0, { sameRank: 50, moreUrgent: 50 }, throughput.at(200));
    assert.equal(unknown, undefined);
    assert.equal(expectedWaits.isFutile(unknown, { usefulUntil: 0, callMs: 0 }, 1), false);
    assert.equal(expectedWaits.isFutile(0, { usefulUntil: 0, callMs: 0 }, 1), false);
});

testing.test("crash: a rate is not known from calls that wait while hardly any is placed", () => {
    assert.equal(contended(1000, 500).at(1000), undefined);
});

testing.test("servers that take several calls at once after a pause: the latest rate counts", () => {
    const throughput = contended(980, 1000);
    [980, 982, 984, 986].forEach(now => void throughput.recordPlacement(0, now));
    const waitMs = expectedWaits.expectedWaitMs(0, { sameRank: 8, moreUrgent: 0 }, throughput.at(990))!;
    assert.equal(Math.round(waitMs), 200);
});

testing.test("burst: what more urgent calls use of the rate is not there for the less urgent", () => {
    const throughput = contended(1000, 20, 0).at(1000);
    const urgentMs = expectedWaits.expectedWaitMs(0, { sameRank: 10, moreUrgent: 0 }, throughput)!;
    const leastUrgentMs = expectedWaits.expectedWaitMs(2, { sameRank: 10, moreUrgent: 0 }, throughput)!;
    assert.ok(urgentMs < 250, `${urgentMs} ms`);
    assert.equal(leastUrgentMs, 10_000);
    assert.equal(expectedWaits.isFutile(leastUrgentMs, { usefulUntil: 6000, callMs: 200 }, 1000), true);
    assert.equal(expectedWaits.isFutile(urgentMs, { usefulUntil: 6000, callMs: 200 }, 1000), false);
});

testing.test("freeze: what an entry saw before it stopped running refuses no call afterwards", () => {
    const throughput = contended(1000, 200);
    assert.notEqual(throughput.at(1000), undefined);
    assert.equal(throughput.at(6000), undefined);
    throughput.observe(true, 6000);
    assert.equal(throughput.at(6000), undefined);
});

testing.test("refused callers retry spread over time, the less urgent later, and within a third of their time", () => {
    const advice = { availableInMs: 400, rank: 0, ranks: 4, remainingMs: 5000, share: 0.5 };
    assert.equal(expectedWaits.retryAfterMs(advice), 400);
    assert.equal(expectedWaits.retryAfterMs({ ...advice, share: 0 }), 300);
    assert.equal(expectedWaits.retryAfterMs({ ...advice, share: 1 }), 500);
    assert.equal(expectedWaits.retryAfterMs({ ...advice, rank: 3 }), 600);
    assert.equal(expectedWaits.retryAfterMs({ ...advice, remainingMs: 600 }), 200);
    assert.equal(expectedWaits.retryAfterMs({ ...advice, remainingMs: -10 }), 50);
    assert.equal(expectedWaits.retryAfterMs({ ...advice, availableInMs: 0 }), 50);
});
