/**
 * Guards against a suspect that runs beside other requests before its document arrives, and against needless isolation.
 */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as decisions from "../../src/quarantine/decisions.js";

const NOTHING: decisions.EntryEvidence = { loss: "none", agentDead: false, flaggedAsSuspect: false };

testing.test("quarantine decisions: an entry isolates on evidence of a crash, not on a broken connection alone", () => {
    const alone = (evidence: Partial<decisions.EntryEvidence>) =>
        decisions.decideAtEntry("run", { ...NOTHING, ...evidence });
    assert.equal(alone({}), "run");
    assert.equal(alone({ loss: "engine" }), "run-alone");
    assert.equal(alone({ loss: "agent" }), "run");
    assert.equal(alone({ loss: "agent", agentDead: true }), "run-alone");
    assert.equal(alone({ flaggedAsSuspect: true }), "run-alone");
    assert.equal(decisions.decideAtEntry("refuse", { ...NOTHING, flaggedAsSuspect: true }), "refuse");
});

testing.test("quarantine decisions: an agent rejects a suspect that was not sent as a trial before queueing it", () => {
    const kind = (verdict: "run" | "run-alone" | "refuse", marked: boolean) => {
        const allowed = decisions.checkAtAgent(verdict, marked, "f");
        return allowed.ok ? "passes" : allowed.failure.kind;
    };
    assert.equal(kind("run", false), "passes");
    assert.equal(kind("run-alone", false), "request-suspected");
    assert.equal(kind("run-alone", true), "passes");
    assert.equal(kind("refuse", true), "request-quarantined");
});
