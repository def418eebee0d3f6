/**
 * Guards against a trial that runs beside other requests, whose crash would be attributed to the wrong request, and
 * against runs that never start.
 */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as gates from "../../src/quarantine/isolation-gate.js";
import type * as types from "../../src/quarantine/types.js";

const SEED = 55;

testing.test("isolation gate: trials run alone, every run starts once, no ordinary run waits for two trials", () => {
    const step = fastCheck.oneof(
        fastCheck.record({ kind: fastCheck.constant("submit" as const), alone: fastCheck.boolean() }),
        fastCheck.record({ kind: fastCheck.constant("finish" as const), alone: fastCheck.constant(false) }),
    );
    fastCheck.assert(
        fastCheck.property(fastCheck.array(step, { maxLength: 60 }), steps => {
            const gate = new gates.IsolationGate(() => "run");
            const running: gates.Run[] = [];
            const trialsWaitedFor = new Map<string, number>();
            const started = new Set<string>();
            const checkStarted = (actions: gates.Actions) => {
                for (const run of actions.start) {
                    assert.equal(started.has(run.id), false);
                    started.add(run.id);
                    running.push(run);
                    assert.ok(!run.alone || running.length === 1, "a trial started beside another run");
                    assert.ok(
                        !running.some(other => other.alone) || running.length === 1,
                        "a run started beside a trial",
                    );
                    assert.ok(
                        run.alone || (trialsWaitedFor.get(run.id) ?? 0) <= 1,
                        "an ordinary run waited for two trials",
                    );
                    trialsWaitedFor.delete(run.id);
                }
            };
            const finishOne = () => {
                const run = running.shift();
                if (run !== undefined) {
                    for (const id of run.alone ? trialsWaitedFor.keys() : []) {
                        trialsWaitedFor.set(id, (trialsWaitedFor.get(id) ?? 0) + 1);
                    }
                    checkStarted(gate.finish(run.id));
                }
            };
            steps.forEach((item, index) => {
                if (item.kind === "finish") {
                    finishOne();
                    return;
                }
                trialsWaitedFor.set(String(index), 0);
                checkStarted(gate.submit({ id: String(index), fingerprint: String(index), alone: item.alone }));
            });
            while (running.length > 0) {
                finishOne();
            }
            assert.equal(trialsWaitedFor.size, 0, "a run never started");
        }),
        { seed: SEED, numRuns: 1000 },
    );
});

testing.test("isolation gate: copies that wait for a trial get its outcome and only the crash of a trial counts as one alone", () => {
    let verdict: types.Verdict = "run-alone";
    const gate = new gates.IsolationGate(() => verdict);
    const copy = (id: string, alone = true) => ({ id, fingerprint: "f", alone });
    assert.deepEqual(gate.submit(copy("1")).start.map(run => run.id), ["1"]);
    assert.deepEqual(gate.submit(copy("2")), { start: [], refuse: [], sendBack: [], withdraw: [] });
    assert.deepEqual(gate.handleCrash(), { inFlight: ["f"], trial: true });
    verdict = "refuse";
    assert.deepEqual(gate.startNext().refuse.map(run => run.id), ["2"]);
    verdict = "run";
    gate.submit(copy("3", false));
    assert.deepEqual(gate.runsToCancel("f").map(run => run.id), ["3"]);
    assert.deepEqual(gate.handleCrash(), { inFlight: ["f"], trial: false });
});

testing.test("isolation gate: a request that becomes a suspect while it waits is returned to its entry and not run as a trial", () => {
    let verdict: types.Verdict = "run";
    const gate = new gates.IsolationGate(() => verdict);
    gate.submit({ id: "trial", fingerprint: "other", alone: true });
    gate.submit({ id: "waiting", fingerprint: "f", alone: false });
    verdict = "run-alone";
    const actions = gate.finish("trial");
    assert.deepEqual([actions.start, actions.sendBack.map(run => run.id)], [[], ["waiting"]]);
    verdict = "run";
    gate.submit({ id: "running", fingerprint: "f", alone: false });
    assert.deepEqual(gate.submit({ id: "flagged", fingerprint: "f", alone: true }).withdraw.map(run => run.id), [
        "running",
    ]);
});

testing.test("isolation gate: a trial that waits for an idle server is not lost when the server crashes", () => {
    const gate = new gates.IsolationGate(() => "run");
    const trial = { id: "trial", fingerprint: "t", alone: true };
    gate.submit({ id: "run", fingerprint: "r", alone: false });
    gate.submit(trial);
    assert.deepEqual(gate.handleCrash(), { inFlight: ["r"], trial: false });
    assert.deepEqual(gate.startNext().start, [trial]);
});
