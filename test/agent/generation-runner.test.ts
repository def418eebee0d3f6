/** Guards against crashes that are attributed to the wrong requests, and against trials that do not run alone. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as engineTypes from "../../src/agent/engine-types.js";
import * as runners from "../../src/agent/generation-runner.js";
import type * as failures from "../../src/core/failure.js";
import * as outcomes from "../../src/core/outcome.js";
import type * as tables from "../../src/quarantine/table.js";
import type * as quarantine from "../../src/quarantine/types.js";
import * as manual from "../support/manual-clock.js";

const MAX_TURNS = 1000;
const ENDED: engineTypes.EngineEvent = { type: "end", count: 1, reason: "stop" };
const CONNECTION_LOST = failed("engine-connection-lost");

/** Fake engine and quarantine with a shared log to check the order of their calls. The test decides when runs end. */
class Harness implements runners.Engine, runners.Quarantine {
    readonly address = "engine";
    readonly log: string[] = [];
    readonly running = new Map<string, (event: engineTypes.EngineEvent) => void>();
    readonly cancels: ((cancelled: outcomes.Outcome<boolean>) => void)[] = [];
    readonly verdicts = new Map<string, quarantine.Verdict>();
    readonly reports: tables.CrashReport[] = [];
    boot: string | undefined = "boot-1";
    private onVerdictEscalated: (fingerprint: string, verdict: quarantine.Verdict) => void = () => undefined;
    private time = 0;
    private readonly clock = Object.assign(new manual.ManualClock(), {
        now: () => this.time,
        sleep: async (durationMs: number) => {
            this.time += durationMs;
            assert.ok(this.time < MAX_TURNS * durationMs, "waits without end");
            await eventLoopTurn();
        },
    });
    private readonly runner = new runners.GenerationRunner({
        server: "agent",
        engine: this,
        engineBoot: () => "boot-1",
        clock: this.clock,
        createQuarantine: onVerdictEscalated => {
            this.onVerdictEscalated = onVerdictEscalated;
            return this;
        },
    });

    /** Runs a request whose identifier is also its fingerprint, and returns `end` or the kind of its failure. */
    async run(id: string, runAlone = false, signal = new AbortController().signal): Promise<string> {
        const request = { requestId: id } as engineTypes.EngineRequest;
        const generation = { request, fingerprint: id, runAlone, onStart: () => undefined };
        let last = "";
        for await (const event of this.runner.generate(generation, signal)) {
            last = event.type === "failed" ? event.failure.kind : event.type;
        }
        this.log.push(`answered ${id}`);
        return last;
    }

    async untilStarted(...ids: readonly string[]): Promise<void> {
        for (let count = 0; !ids.every(id => this.running.has(id)); count++) {
            assert.ok(count < MAX_TURNS, `${ids.join(", ")} never started`);
            await eventLoopTurn();
        }
    }

    async expectNotStarted(id: string): Promise<void> {
        for (let count = 0; count < 10; count++) {
            await eventLoopTurn();
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
        this.log.push(`decide ${fingerprint}`);
        return this.verdicts.get(fingerprint) ?? "run";
    }

    worsen(fingerprint: string, verdict: quarantine.Verdict): void {
        this.verdicts.set(fingerprint, verdict);
        this.onVerdictEscalated(fingerprint, verdict);
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

function eventLoopTurn(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

testing.test("generation runner: a crash is reported once, with all runs in flight, before any of them is answered", async () => {
    const harness = new Harness();
    const results = [harness.run("a"), harness.run("b")];
    await harness.untilStarted("a", "b");
    harness.boot = "boot-2";
    harness.running.get("a")?.(CONNECTION_LOST);
    assert.deepEqual(await Promise.all(results), ["engine-connection-lost", "engine-connection-lost"]);
    assert.deepEqual(harness.reports, [{ server: "agent", boot: "boot-1", inFlight: ["a", "b"], trial: false }]);
    assert.ok(harness.log.indexOf("crash") < harness.log.findIndex(entry => entry.startsWith("answered")));
});

testing.test("generation runner: a lost connection to an engine that keeps running is not a crash", async () => {
    const harness = new Harness();
    const results = [harness.run("a"), harness.run("b")];
    await harness.untilStarted("a", "b");
    harness.running.get("a")?.(CONNECTION_LOST);
    assert.equal(await results[0], "engine-connection-lost");
    harness.running.get("b")?.(ENDED);
    assert.equal(await results[1], "end");
    assert.deepEqual(harness.reports, []);
});

testing.test("generation runner: a trial runs alone, is refused after a crash, and the runs queued behind it start later", async () => {
    const harness = new Harness();
    const results = [harness.run("a"), harness.run("t", true)];
    await harness.expectNotStarted("t");
    harness.running.get("a")?.(ENDED);
    await harness.untilStarted("t");
    results.push(harness.run("b"));
    await harness.expectNotStarted("b");
    harness.boot = undefined;
    harness.running.get("t")?.(CONNECTION_LOST);
    assert.equal(await results[1], "request-quarantined");
    harness.boot = "boot-2";
    await harness.untilStarted("b");
    harness.running.get("b")?.(ENDED);
    assert.deepEqual(await Promise.all(results), ["end", "request-quarantined", "end"]);
    assert.equal(harness.reports[0].trial, true);
});

testing.test("generation runner: a completed trial is reported before the verdicts of the runs behind it are read", async () => {
    const harness = new Harness();
    const results = [harness.run("t", true), harness.run("b")];
    await harness.untilStarted("t");
    harness.running.get("t")?.(ENDED);
    await harness.untilStarted("b");
    harness.running.get("b")?.(ENDED);
    assert.deepEqual(await Promise.all(results), ["end", "end"]);
    assert.ok(harness.log.slice(harness.log.indexOf("completed t")).includes("decide b"), harness.log.join(", "));
});

testing.test("generation runner: runs are withdrawn, sent back or refused when the verdict worsens", async () => {
    const harness = new Harness();
    const running = [harness.run("a"), harness.run("b")];
    await harness.untilStarted("a", "b");
    harness.worsen("a", "run-alone");
    harness.worsen("b", "refuse");
    assert.deepEqual(await Promise.all(running), ["suspect-withdrawn", "request-quarantined"]);
    assert.equal(await harness.run("a"), "request-suspected");
    assert.equal(await harness.run("b", true), "request-quarantined");
});

testing.test("generation runner: a crash during the cancellation of a run is not attributed to the trial behind it", async () => {
    const harness = new Harness();
    const caller = new AbortController();
    const results = [harness.run("a", false, caller.signal), harness.run("t", true)];
    await harness.untilStarted("a");
    caller.abort();
    await harness.expectNotStarted("t");
    harness.boot = "boot-2";
    harness.cancels[0](outcomes.fail("engine-connection-lost", ""));
    await harness.untilStarted("t");
    assert.deepEqual(harness.reports.map(report => [...report.inFlight, report.trial]), [["a", false]]);
    harness.running.get("t")?.(ENDED);
    assert.deepEqual(await Promise.all(results), ["engine-cancelled", "end"]);
});

testing.test("generation runner: a trial waits for a starting engine, and fails if the engine stays down", async () => {
    const harness = new Harness();
    harness.boot = undefined;
    const result = harness.run("t", true);
    await harness.expectNotStarted("t");
    harness.boot = "boot-2";
    await harness.untilStarted("t");
    harness.running.get("t")?.(ENDED);
    assert.equal(await result, "end");
    harness.boot = undefined;
    assert.equal(await harness.run("u", true), "engine-unreachable");
});
