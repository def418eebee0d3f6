/** Guards against crashes that are blamed on the wrong requests, and against trials that do not run alone. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as engineTypes from "../../src/agent/engine-types.js";
import * as isolatedRuns from "../../src/agent/isolated-runs.js";
import type * as failures from "../../src/core/failure.js";
import * as outcomes from "../../src/core/outcome.js";
import type * as tables from "../../src/quarantine/table.js";
import type * as quarantine from "../../src/quarantine/types.js";
import * as manual from "../support/manual-clock.js";

const TURN_LIMIT = 1000;
const ENDED: engineTypes.EngineEvent = { type: "end", count: 1, reason: "stop" };
const BROKEN = failed("engine-connection-lost");

/** Engine and quarantine with one log, to check the order of their calls. The test ends the runs. */
class Fake implements isolatedRuns.Engine, isolatedRuns.Quarantine {
    readonly address = "engine";
    readonly log: string[] = [];
    readonly running = new Map<string, (event: engineTypes.EngineEvent) => void>();
    readonly cancels: ((cancelled: outcomes.Outcome<boolean>) => void)[] = [];
    readonly verdicts = new Map<string, quarantine.Verdict>();
    readonly reports: tables.CrashReport[] = [];
    boot: string | undefined = "boot-1";
    private onWorse: (fingerprint: string, verdict: quarantine.Verdict) => void = () => undefined;
    private time = 0;
    private readonly clock = Object.assign(new manual.ManualClock(), {
        now: () => this.time,
        sleep: async (durationMs: number) => {
            this.time += durationMs;
            assert.ok(this.time < TURN_LIMIT * durationMs, "endless wait");
            await turn();
        },
    });
    private readonly runs = new isolatedRuns.IsolatedRuns({
        server: "agent",
        engine: this,
        engineBoot: () => "boot-1",
        clock: this.clock,
        quarantine: onWorse => {
            this.onWorse = onWorse;
            return this;
        },
    });

    /** Runs a request, whose name is its fingerprint too, and returns how it ended. */
    async run(id: string, runAlone = false, signal = new AbortController().signal): Promise<string> {
        const request = { requestId: id } as engineTypes.EngineRequest;
        const generation = { request, fingerprint: id, runAlone, started: () => undefined };
        let last = "";
        for await (const event of this.runs.generate(generation, signal)) {
            last = event.type === "failed" ? event.failure.kind : event.type;
        }
        this.log.push(`answer ${id}`);
        return last;
    }

    async started(...ids: readonly string[]): Promise<void> {
        for (let count = 0; !ids.every(id => this.running.has(id)); count++) {
            assert.ok(count < TURN_LIMIT, `${ids.join(", ")} never started`);
            await turn();
        }
    }

    async waits(id: string): Promise<void> {
        for (let count = 0; count < 10; count++) {
            await turn();
        }
        assert.ok(!this.running.has(id), `${id} started`);
    }

    async *generate(request: engineTypes.EngineRequest, signal: AbortSignal) {
        yield await new Promise<engineTypes.EngineEvent>(resolve => {
            this.running.set(request.requestId, resolve);
            signal.addEventListener("abort", () => resolve(failed("engine-cancelled")));
        });
    }

    cancel(): Promise<outcomes.Outcome<boolean>> {
        return new Promise(resolve => this.cancels.push(resolve));
    }

    async health() {
        return this.boot === undefined ? outcomes.fail("engine-unreachable", "") : outcomes.succeed(this.boot);
    }

    decide(fingerprint: string): quarantine.Verdict {
        this.log.push(`judge ${fingerprint}`);
        return this.verdicts.get(fingerprint) ?? "run";
    }

    worsen(fingerprint: string, verdict: quarantine.Verdict): void {
        this.verdicts.set(fingerprint, verdict);
        this.onWorse(fingerprint, verdict);
    }

    reportCrash(report: tables.CrashReport): void {
        this.log.push("crash");
        this.reports.push(report);
        report.inFlight.forEach(fingerprint => this.worsen(fingerprint, report.trial ? "refuse" : "run-alone"));
    }

    reportCompleted(fingerprint: string): void {
        this.log.push(`completed ${fingerprint}`);
        this.verdicts.delete(fingerprint);
    }
}

function failed(kind: failures.FailureKind): engineTypes.EngineEvent {
    return { type: "failed", failure: { kind, detail: "" } };
}

function turn(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

testing.test("isolated runs: a crash is reported once, with all runs in flight, before one is answered", async () => {
    const fake = new Fake();
    const answers = [fake.run("a"), fake.run("b")];
    await fake.started("a", "b");
    fake.boot = "boot-2";
    fake.running.get("a")?.(BROKEN);
    assert.deepEqual(await Promise.all(answers), ["engine-connection-lost", "engine-connection-lost"]);
    assert.deepEqual(fake.reports, [{ server: "agent", boot: "boot-1", inFlight: ["a", "b"], trial: false }]);
    assert.ok(fake.log.indexOf("crash") < fake.log.findIndex(entry => entry.startsWith("answer")));
});

testing.test("isolated runs: a broken connection to an engine that runs on is no crash", async () => {
    const fake = new Fake();
    const answers = [fake.run("a"), fake.run("b")];
    await fake.started("a", "b");
    fake.running.get("a")?.(BROKEN);
    assert.equal(await answers[0], "engine-connection-lost");
    fake.running.get("b")?.(ENDED);
    assert.equal(await answers[1], "end");
    assert.deepEqual(fake.reports, []);
});

testing.test("isolated runs: a trial runs alone, its crash refuses it, and the runs behind it start later", async () => {
    const fake = new Fake();
    const answers = [fake.run("a"), fake.run("t", true)];
    await fake.waits("t");
    fake.running.get("a")?.(ENDED);
    await fake.started("t");
    answers.push(fake.run("b"));
    await fake.waits("b");
    fake.boot = undefined;
    fake.running.get("t")?.(BROKEN);
    assert.equal(await answers[1], "request-quarantined");
    fake.boot = "boot-2";
    await fake.started("b");
    fake.running.get("b")?.(ENDED);
    assert.deepEqual(await Promise.all(answers), ["end", "request-quarantined", "end"]);
    assert.equal(fake.reports[0].trial, true);
});

testing.test("isolated runs: a completed trial is reported before the runs behind it are judged", async () => {
    const fake = new Fake();
    const answers = [fake.run("t", true), fake.run("b")];
    await fake.started("t");
    fake.running.get("t")?.(ENDED);
    await fake.started("b");
    fake.running.get("b")?.(ENDED);
    assert.deepEqual(await Promise.all(answers), ["end", "end"]);
    assert.ok(fake.log.slice(fake.log.indexOf("completed t")).includes("judge b"), fake.log.join(", "));
});

testing.test("isolated runs: runs are withdrawn, sent back or refused when the verdict worsens", async () => {
    const fake = new Fake();
    const running = [fake.run("a"), fake.run("b")];
    await fake.started("a", "b");
    fake.worsen("a", "run-alone");
    fake.worsen("b", "refuse");
    assert.deepEqual(await Promise.all(running), ["suspect-withdrawn", "request-quarantined"]);
    assert.equal(await fake.run("a"), "request-suspected");
    assert.equal(await fake.run("b", true), "request-quarantined");
});

testing.test("isolated runs: a crash by a run that is being cancelled is not blamed on the trial behind it", async () => {
    const fake = new Fake();
    const caller = new AbortController();
    const answers = [fake.run("a", false, caller.signal), fake.run("t", true)];
    await fake.started("a");
    caller.abort();
    await fake.waits("t");
    fake.boot = "boot-2";
    fake.cancels[0](outcomes.fail("engine-connection-lost", ""));
    await fake.started("t");
    assert.deepEqual(fake.reports.map(report => [...report.inFlight, report.trial]), [["a", false]]);
    fake.running.get("t")?.(ENDED);
    assert.deepEqual(await Promise.all(answers), ["engine-cancelled", "end"]);
});

testing.test("isolated runs: a trial waits for a starting engine, and is sent back from one that stays down", async () => {
    const fake = new Fake();
    fake.boot = undefined;
    const held = fake.run("t", true);
    await fake.waits("t");
    fake.boot = "boot-2";
    await fake.started("t");
    fake.running.get("t")?.(ENDED);
    assert.equal(await held, "end");
    fake.boot = undefined;
    assert.equal(await fake.run("u", true), "engine-unreachable");
});
