/** Guards against a `not-run` failure that the entry returns without proof. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as catalogue from "../../src/catalogue/failures.js";
import type * as failures from "../../src/core/failure.js";
import * as decisions from "../../src/idempotency/attempt-decision.js";

const SEED = 1;
const NO_RETRY: decisions.RetryConditions = { remainingMs: 0, untriedAgents: 0, mayRetry: false };
const RETRY_POSSIBLE: decisions.RetryConditions = { remainingMs: 5000, untriedAgents: 2, mayRetry: true };

function refused(kind: failures.FailureKind): decisions.AttemptOutcome {
    return { kind: "refused", failure: { kind, detail: "" } };
}

const lost: decisions.AttemptOutcome = { kind: "lost", failure: { kind: "peer-connection-lost", detail: "" } };
const notSent: decisions.AttemptOutcome = { kind: "not-sent", failure: { kind: "peer-unreachable", detail: "" } };

function finalDecision(origin: "caller" | "generated", attempts: readonly decisions.AttemptOutcome[]): string {
    let history = decisions.initialHistory(origin);
    let decision: decisions.Decision = { kind: "retry" };
    attempts.forEach((outcome, index) => {
        const step = decisions.decide(history, outcome, index === attempts.length - 1 ? NO_RETRY : RETRY_POSSIBLE);
        history = step.history;
        decision = step.decision;
    });
    return (decision as decisions.Decision).kind === "refuse"
        ? (decision as unknown as { readonly failure: failures.Failure; }).failure.kind
        : (decision as decisions.Decision).kind;
}

testing.test("attempt decision: the failure states no more than what is proved", () => {
    assert.equal(finalDecision("generated", [notSent]), "peer-unreachable");
    assert.equal(finalDecision("caller", [notSent]), "repeat-unsettled");
    assert.equal(finalDecision("generated", [refused("call-not-claimed")]), "call-not-claimed");
    assert.equal(finalDecision("caller", [refused("call-not-claimed")]), "repeat-unsettled");
    assert.equal(finalDecision("caller", [refused("call-not-run")]), "call-not-run");
    assert.equal(finalDecision("caller", [refused("idempotency-group-full")]), "idempotency-group-full");
    assert.equal(finalDecision("generated", [lost]), "outcome-unknown");
    assert.equal(finalDecision("generated", [lost, notSent]), "outcome-unknown");
    assert.equal(finalDecision("generated", [lost, refused("earlier-call-not-run")]), "outcome-unknown");
    assert.equal(finalDecision("generated", [lost, refused("call-not-run"), notSent]), "call-not-run");
    assert.equal(finalDecision("generated", [refused("call-not-run"), lost]), "outcome-unknown");
    assert.equal(finalDecision("caller", [lost, { kind: "looked-up", state: "not-run" }]), "outcome-unknown");
    assert.equal(finalDecision("caller", [lost, { kind: "looked-up", state: "done" }]), "deliver");
    assert.equal(finalDecision("caller", [refused("response-not-stored")]), "response-not-stored");
});

testing.test("attempt decision: a lost attempt is retried, looked up without a retry budget, or unknown", () => {
    const history = decisions.initialHistory("caller");
    const kindOf = (conditions: decisions.RetryConditions) => decisions.decide(history, lost, conditions).decision.kind;
    assert.equal(kindOf(RETRY_POSSIBLE), "retry");
    assert.equal(kindOf({ ...RETRY_POSSIBLE, mayRetry: false }), "lookup");
    assert.equal(kindOf({ ...RETRY_POSSIBLE, mayRetry: false, untriedAgents: 0 }), "refuse");
    const reused = decisions.decide(history, refused("idempotency-key-reused"), RETRY_POSSIBLE);
    assert.equal(reused.decision.kind, "refuse");
});

testing.test("attempt decision: not-run is reported after a lost attempt only if a record excludes it", () => {
    const attempts = fastCheck.constantFrom(
        lost,
        notSent,
        ...(["call-not-claimed", "earlier-call-not-run", "idempotency-group-full", "outcome-unknown"] as const)
            .map(refused),
    );
    fastCheck.assert(
        fastCheck.property(
            fastCheck.array(attempts),
            fastCheck.constantFrom("caller", "generated"),
            (laterAttempts, origin) => {
                const kind = finalDecision(origin as "caller" | "generated", [lost, ...laterAttempts]);
                assert.equal(catalogue.failures[kind as failures.FailureKind].execution, "unknown");
            },
        ),
        { seed: SEED },
    );
});
