/** Guards against calls that run twice, and against "not run" that is not true. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as retries from "../../src/forwarding/retry-decision.js";

const SEED = 5;
const ENDS: readonly retries.AttemptEnd[] = ["not-sent", "not-executed", "broken", "silent", "server-failure"];
const NOT_RUN: ReadonlySet<retries.AttemptEnd> = new Set(["not-sent", "not-executed"]);

const history = fastCheck.record({
    kind: fastCheck.constantFrom("idempotent" as const, "at-most-once" as const, "stream" as const),
    isResumable: fastCheck.boolean(),
    maximumAttempts: fastCheck.integer({ min: 1, max: 3 }),
    remainingMs: fastCheck.integer({ min: 0, max: 3000 }),
    hasBudget: fastCheck.boolean(),
});

/** Follows the decisions for a series of ends. */
function follow(call: Omit<retries.AttemptHistory, "ran" | "turnedAway">, ends: readonly retries.AttemptEnd[]) {
    let ran = 0;
    let turnedAway = 0;
    for (const end of ends) {
        ran += NOT_RUN.has(end) ? 0 : 1;
        turnedAway += NOT_RUN.has(end) ? 1 : 0;
        const decision = retries.decide(end, { ...call, ran, turnedAway });
        if (decision !== "retry") {
            return { ran, turnedAway, decision };
        }
    }
    return { ran, turnedAway, decision: "retry" as const };
}

testing.test("no series of attempts runs a call more often than allowed, and every refusal as not run is true", () => {
    const ends = fastCheck.array(fastCheck.constantFrom(...ENDS), { minLength: 1, maxLength: 12 });
    fastCheck.assert(
        fastCheck.property(history, ends, (call, series) => {
            const { ran, decision } = follow(call, series);
            const isRepeatable = call.kind === "idempotent" || call.kind === "stream" && call.isResumable;
            assert.ok(ran <= (isRepeatable ? call.maximumAttempts : 1));
            assert.ok(decision !== "fail-not-run" || ran === 0);
            assert.ok(decision !== "retry" || ran < (isRepeatable ? call.maximumAttempts : 1) || ran === 0);
        }),
        { seed: SEED, numRuns: 2000 },
    );
});

testing.test("a call that may not be repeated is sent again only with proof that it has not run", () => {
    const call = {
        kind: "at-most-once" as const,
        isResumable: false,
        maximumAttempts: 3,
        ran: 0,
        turnedAway: 1,
        remainingMs: 1000,
        hasBudget: true,
    };
    assert.equal(retries.decide("not-sent", call), "retry");
    assert.equal(retries.decide("not-executed", call), "retry");
    assert.equal(retries.decide("broken", { ...call, ran: 1, turnedAway: 0 }), "fail-unknown");
    assert.equal(retries.decide("server-failure", { ...call, ran: 1, turnedAway: 0 }), "pass-answer");
});

testing.test("guards against arrivals beyond the retry budget", () => {
    const call = {
        kind: "idempotent" as const,
        isResumable: false,
        maximumAttempts: 2,
        ran: 0,
        turnedAway: 1,
        remainingMs: 1000,
        hasBudget: false,
    };
    assert.equal(retries.decide("not-executed", call), "fail-not-run");
    assert.equal(retries.decide("broken", { ...call, ran: 1 }), "fail-unknown");
    assert.equal(retries.decide("not-sent", call), "retry");
});
