/** Guards against an entry that answers "not run" without a proof. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as catalogue from "../../src/catalogue/failures.js";
import type * as failures from "../../src/core/failure.js";
import * as decisions from "../../src/idempotency/attempt-decision.js";

const SEED = 1;
const NO_OPTIONS: decisions.Options = { remainingMs: 0, otherAgents: 0, mayRetry: false };
const ALL_OPTIONS: decisions.Options = { remainingMs: 5000, otherAgents: 2, mayRetry: true };

function refused(kind: failures.FailureKind): decisions.AttemptEnd {
    return { kind: "refused", failure: { kind, detail: "" } };
}

const lost: decisions.AttemptEnd = { kind: "lost", failure: { kind: "peer-connection-lost", detail: "" } };
const notSent: decisions.AttemptEnd = { kind: "not-sent", failure: { kind: "peer-unreachable", detail: "" } };

function answer(origin: "caller" | "generated", ends: readonly decisions.AttemptEnd[]): string {
    let history = decisions.initialHistory(origin);
    let decision: decisions.Decision = { kind: "retry" };
    ends.forEach((end, index) => {
        const step = decisions.decide(history, end, index === ends.length - 1 ? NO_OPTIONS : ALL_OPTIONS);
        history = step.history;
        decision = step.decision;
    });
    return (decision as decisions.Decision).kind === "refuse"
        ? (decision as unknown as { readonly failure: failures.Failure; }).failure.kind
        : (decision as decisions.Decision).kind;
}

testing.test("attempt decision: the answer is the strongest statement that is proved", () => {
    assert.equal(answer("generated", [notSent]), "peer-unreachable");
    assert.equal(answer("caller", [notSent]), "repeat-unsettled");
    assert.equal(answer("generated", [refused("call-not-claimed")]), "call-not-claimed");
    assert.equal(answer("caller", [refused("call-not-claimed")]), "repeat-unsettled");
    assert.equal(answer("caller", [refused("call-not-run")]), "call-not-run");
    assert.equal(answer("caller", [refused("idempotency-group-full")]), "idempotency-group-full");
    assert.equal(answer("generated", [lost]), "outcome-unknown");
    assert.equal(answer("generated", [lost, notSent]), "outcome-unknown");
    assert.equal(answer("generated", [lost, refused("earlier-call-not-run")]), "outcome-unknown");
    assert.equal(answer("generated", [lost, refused("call-not-run"), notSent]), "call-not-run");
    assert.equal(answer("generated", [refused("call-not-run"), lost]), "outcome-unknown");
    assert.equal(answer("caller", [lost, { kind: "looked-up", state: "not-run" }]), "outcome-unknown");
    assert.equal(answer("caller", [lost, { kind: "looked-up", state: "done" }]), "deliver");
    assert.equal(answer("caller", [refused("response-not-stored")]), "response-not-stored");
});

testing.test("attempt decision: a lost attempt is retried, looked up without a retry budget, or unknown", () => {
    const history = decisions.initialHistory("caller");
    const kindOf = (options: decisions.Options) => decisions.decide(history, lost, options).decision.kind;
    assert.equal(kindOf(ALL_OPTIONS), "retry");
    assert.equal(kindOf({ ...ALL_OPTIONS, mayRetry: false }), "lookup");
    assert.equal(kindOf({ ...ALL_OPTIONS, mayRetry: false, otherAgents: 0 }), "refuse");
    const reused = decisions.decide(history, refused("idempotency-key-reused"), ALL_OPTIONS);
    assert.equal(reused.decision.kind, "refuse");
});

testing.test("attempt decision: after a lost attempt only a record that excludes it allows not-run", () => {
    const ends = fastCheck.constantFrom(
        lost,
        notSent,
        ...(["call-not-claimed", "earlier-call-not-run", "idempotency-group-full", "outcome-unknown"] as const)
            .map(refused),
    );
    fastCheck.assert(
        fastCheck.property(fastCheck.array(ends), fastCheck.constantFrom("caller", "generated"), (rest, origin) => {
            const kind = answer(origin as "caller" | "generated", [lost, ...rest]);
            assert.equal(catalogue.failures[kind as failures.FailureKind].execution, "unknown");
        }),
        { seed: SEED },
    );
});
