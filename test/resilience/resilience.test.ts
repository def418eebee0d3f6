/** Guards against retries that multiply the load, circuits that stay open or never open, and deadlines that grow. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as backoff from "../../src/resilience/backoff.js";
import * as breakers from "../../src/resilience/circuit-breaker.js";
import * as deadlines from "../../src/resilience/deadline.js";
import * as budgets from "../../src/resilience/retry-budget.js";

const SEED = 3;

testing.test("retry budget: guards against more retries than a tenth of the requests and the floor", () => {
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
                    budget.request(now);
                }
            }
            const floor = 3 * (Math.floor(now / 1000) + 1);
            assert.ok(retries <= requests * 0.1 + floor);
        }),
        { seed: SEED },
    );
    const busy = new budgets.RetryBudget();
    for (let count = 0; count < 1000; count++) {
        busy.request(500);
    }
    const allowed = Array.from({ length: 500 }, () => busy.tryRetry(600)).filter(passed => passed).length;
    assert.equal(allowed, 100);
});

testing.test("circuit breaker: guards against passing requests to a failing server and against never trying again", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.double({ min: 0, max: 0.999, noNaN: true }), random => {
            const breaker = new breakers.CircuitBreaker();
            let passed = 0;
            for (let now = 0; now < 60_000; now += 10) {
                if (breaker.tryPass(now)) {
                    passed++;
                    breaker.failed(now, random);
                }
            }
            assert.ok(passed > 6, "it tries again");
            assert.ok(passed < 90, `${passed} requests reached a dead server in a minute`);
            let closedAt = Infinity;
            for (let now = 60_000; now < 90_000 && closedAt === Infinity; now += 10) {
                if (breaker.tryPass(now)) {
                    breaker.succeeded(now);
                }
                closedAt = breaker.state === "closed" ? now : closedAt;
            }
            assert.ok(closedAt <= 60_000 + 16_000, "it closes when the server answers again");
        }),
        { seed: SEED },
    );
});

testing.test("circuit breaker: guards against more than one trial at a time and against trials without outcome", () => {
    const breaker = new breakers.CircuitBreaker();
    for (let count = 0; count < 5; count++) {
        breaker.tryPass(0);
        breaker.failed(0, 0.5);
    }
    assert.equal(breaker.tryPass(100), false);
    assert.equal(breaker.tryPass(1000), true);
    assert.equal(breaker.tryPass(1001), false);
    assert.equal(breaker.tryPass(31_001), true);
});

testing.test("backoff and deadlines: guards against pauses beyond the limit and deadlines that grow on the way", () => {
    const time = fastCheck.integer({ min: 0, max: 1e6 });
    fastCheck.assert(
        fastCheck.property(
            time,
            time,
            fastCheck.nat(100),
            fastCheck.nat(40),
            (remainingMs, now, networkMs, attempt) => {
                const deadline = deadlines.deadlineAfter(remainingMs, now);
                assert.ok(deadlines.forwarded(deadline, now, networkMs) <= Math.max(0, remainingMs - networkMs));
                assert.equal(deadlines.remaining(deadline, deadline + 1), 0);
                const pause = backoff.pause({ firstMs: 10, longestMs: 1000 }, attempt, 0.999);
                assert.ok(pause >= 1 && pause <= 1000);
            },
        ),
        { seed: SEED },
    );
});
