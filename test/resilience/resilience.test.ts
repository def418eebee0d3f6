/** Guards against retries that multiply the load, circuits that never close or never open, and growing deadlines. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as backoff from "../../src/resilience/backoff.js";
import * as breakers from "../../src/resilience/circuit-breaker.js";
import * as deadlines from "../../src/resilience/deadline.js";
import * as budgets from "../../src/resilience/retry-budget.js";

const SEED = 3;

testing.test("retry budget: allows at most a tenth of the requests plus the minimum rate as retries", () => {
    const steps = fastCheck.array(
        fastCheck.record({ gap: fastCheck.integer({ min: 0, max: 300 }), retry: fastCheck.boolean() }),
        { maxLength: 400 },
    );
    fastCheck.assert(
        fastCheck.property(steps, sequence => {
            const budget = new budgets.RetryBudget();
            let now = 0;
            let requests = 0;
            let retries = 0;
            for (const { gap, retry } of sequence) {
                now += gap;
                if (retry) {
                    retries += budget.tryRetry(now) ? 1 : 0;
                }
                else {
                    requests++;
                    budget.recordRequest(now);
                }
            }
            const floor = 3 * (Math.floor(now / 1000) + 1);
            assert.ok(retries <= requests * 0.1 + floor);
        }),
        { seed: SEED },
    );
    const busyBudget = new budgets.RetryBudget();
    for (let count = 0; count < 1000; count++) {
        busyBudget.recordRequest(500);
    }
    const allowed = Array.from({ length: 500 }, () => busyBudget.tryRetry(600)).filter(passed => passed).length;
    assert.equal(allowed, 100);
});

testing.test("circuit breaker: limits the requests to a failing server and closes after its recovery", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.double({ min: 0, max: 0.999, noNaN: true }), random => {
            const breaker = new breakers.CircuitBreaker();
            let passed = 0;
            for (let now = 0; now < 60_000; now += 10) {
                if (breaker.tryAcquire(now)) {
                    passed++;
                    breaker.recordFailure(now, random);
                }
            }
            assert.ok(passed > 6, "it admits trial requests");
            assert.ok(passed < 90, `${passed} requests reached a failing server in a minute`);
            let closedAt = Infinity;
            for (let now = 60_000; now < 90_000 && closedAt === Infinity; now += 10) {
                if (breaker.tryAcquire(now)) {
                    breaker.recordSuccess(now);
                }
                closedAt = breaker.state === "closed" ? now : closedAt;
            }
            assert.ok(closedAt <= 60_000 + 16_000, "it closes soon after the server recovers");
        }),
        { seed: SEED },
    );
});

testing.test("circuit breaker: admits one trial at a time, and another one when the first has no outcome", () => {
    const breaker = new breakers.CircuitBreaker();
    for (let count = 0; count < 5; count++) {
        breaker.tryAcquire(0);
        breaker.recordFailure(0, 0.5);
    }
    assert.equal(breaker.tryAcquire(100), false);
    assert.equal(breaker.tryAcquire(1000), true);
    assert.equal(breaker.tryAcquire(1001), false);
    assert.equal(breaker.tryAcquire(31_001), true);
});

testing.test("backoff and deadlines: delays stay within the limit, and forwarded timeouts do not grow", () => {
    const time = fastCheck.integer({ min: 0, max: 1e6 });
    fastCheck.assert(
        fastCheck.property(
            time,
            time,
            fastCheck.nat(100),
            fastCheck.nat(40),
            (remainingMs, now, networkMs, attempt) => {
                const deadline = deadlines.deadlineAfter(remainingMs, now);
                assert.ok(
                    deadlines.forwardedTimeoutMs(deadline, now, networkMs) <= Math.max(0, remainingMs - networkMs),
                );
                assert.equal(deadlines.remainingMs(deadline, deadline + 1), 0);
                const delayMs = backoff.delayMs({ initialMs: 10, maximumMs: 1000 }, attempt, 0.999);
                assert.ok(delayMs >= 1 && delayMs <= 1000);
            },
        ),
        { seed: SEED },
    );
});
