/** Guards against a rig that sees no violation where there is one, or one where the rules excuse it. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as workers from "../../stand-ins/platform/worker.js";
import type * as callers from "../../tools/rig/callers.js";
import type * as configurations from "../../tools/rig/configurations.js";
import type * as deployments from "../../tools/rig/deployment.js";
import * as disturbances from "../../tools/rig/disturbances.js";
import * as judges from "../../tools/rig/judge.js";

const ENTRY = "edge-1";
const WORKER = "i-desk-1";
const KEY = "key-1";
const ACKNOWLEDGED_AT = 10_000;

function call(sentAt: number, changes: Partial<callers.Call> = {}): callers.Call {
    return {
        id: `call-${sentAt}`,
        entry: ENTRY,
        life: 1,
        isDirect: true,
        route: "/look/",
        key: KEY,
        timeoutMs: 800,
        mayRunAgain: true,
        sentAt,
        status: 200,
        isComplete: true,
        isBodyRight: true,
        isAbandoned: false,
        error: undefined,
        endedAt: sentAt + 20,
        ...changes,
    };
}

function version(number: number, service: string, keys: readonly string[], acknowledgedAt: number) {
    const route = { path: "/look/", service, kind: "idempotent", isResumable: false, timeoutMs: 800 } as const;
    return {
        version: number,
        routes: new Map([[route.path, route]]),
        keys: new Set(keys),
        sentAt: acknowledgedAt - 5,
        acknowledgedAt,
    };
}

function run(requestId: string, service: string, arrivedAt: number, isLeavingTold = false): workers.Run {
    return {
        requestId,
        tenant: undefined,
        authorization: undefined,
        path: "/look/",
        software: "v1",
        worker: WORKER,
        service,
        weights: undefined,
        arrivedAt,
        isLeavingTold,
        endedAt: arrivedAt + 10,
    };
}

interface Scene {
    readonly calls: readonly callers.Call[];
    readonly runs?: readonly workers.Run[];
    readonly versions?: readonly configurations.ConfigurationVersion[];
    readonly departures?: judges.Evidence["departures"];
    readonly terminations?: judges.Evidence["terminations"];
    readonly ends?: readonly deployments.ProcessEnd[];
    readonly disturbed?: Omit<disturbances.Disturbance, "machines" | "isPlanned" | "detail" | "name">;
}

function rulesBrokenIn({ runs = [], disturbed, ...scene }: Scene): readonly string[] {
    const log = workers.createWorkerLog();
    log.runs.push(...runs);
    const ledger = new disturbances.Disturbances();
    if (disturbed !== undefined) {
        const { scope, from, until } = disturbed;
        ledger.begin({ name: "test", scope, machines: undefined, from, isPlanned: false, detail: "" }).until = until;
    }
    const violations = judges.judge({
        log,
        versions: [version(1, "desk", [KEY], 0)],
        disturbances: ledger,
        departures: [],
        terminations: [],
        ends: [],
        readiness: [],
        machines: [],
        startedAt: 0,
        endedAt: 60_000,
        ...scene,
    });
    return violations.map(({ rule }) => rule);
}

const MOVED = [version(1, "desk", [KEY], 0), version(2, "annex", [KEY], ACKNOWLEDGED_AT)];
const WITHDRAWN = [version(1, "desk", [KEY], 0), version(2, "desk", [], ACKNOWLEDGED_AT)];

testing.test("a call run by the old service after the bound breaks CONFIG, and before it does not", () => {
    const sceneAt = (at: number) => ({ calls: [call(at)], runs: [run(`call-${at}`, "desk", at + 5)], versions: MOVED });
    assert.deepEqual(rulesBrokenIn(sceneAt(ACKNOWLEDGED_AT + 2100)), ["CONFIG"]);
    assert.deepEqual(rulesBrokenIn(sceneAt(ACKNOWLEDGED_AT + 1900)), []);
});

testing.test("a withdrawn key that runs breaks CONFIG, unless its machine was not in touch", () => {
    const at = ACKNOWLEDGED_AT + 5000;
    const scene = { calls: [call(at)], runs: [run(`call-${at}`, "desk", at + 5)], versions: WITHDRAWN };
    const disturbedUntil = (until: number) => ({ scope: "machine", from: 9000, until }) as const;
    assert.deepEqual(rulesBrokenIn({ ...scene, disturbed: disturbedUntil(at - 3100) }), ["CONFIG"]);
    assert.deepEqual(rulesBrokenIn({ ...scene, disturbed: disturbedUntil(at - 2900) }), []);
});

testing.test("another disturbance of the store extends the bound, and does not suspend it", () => {
    const sceneAt = (at: number) => ({
        calls: [call(at)],
        runs: [run(`call-${at}`, "desk", at + 5)],
        versions: WITHDRAWN,
        disturbed: { scope: "core", from: at - 1000, until: at - 900 } as const,
    });
    assert.deepEqual(rulesBrokenIn(sceneAt(ACKNOWLEDGED_AT + 6900)), []);
    assert.deepEqual(rulesBrokenIn(sceneAt(ACKNOWLEDGED_AT + 7100)), ["CONFIG"]);
});

testing.test("an older version after the effect of a newer one breaks CONFIG, also before the bound", () => {
    const calls = [call(10_100), call(10_500)];
    const runs = [run("call-10100", "annex", 10_110), run("call-10500", "desk", 10_510)];
    assert.deepEqual(rulesBrokenIn({ calls, runs, versions: MOVED }), ["CONFIG"]);
    const restarted = [calls[0]!, call(10_500, { life: 2 })];
    assert.deepEqual(rulesBrokenIn({ calls: restarted, runs, versions: MOVED }), []);
});

testing.test("a call that reaches a leaving worker after the bound breaks DRAIN, until the worker has ended", () => {
    const sceneUntil = (voidAt: number) => ({
        calls: [call(13_000)],
        runs: [run("call-13000", "desk", 13_005)],
        departures: [{ worker: WORKER, manner: "removed", acknowledgedAt: ACKNOWLEDGED_AT, voidAt }] as const,
    });
    assert.deepEqual(rulesBrokenIn(sceneUntil(20_000)), ["DRAIN"]);
    assert.deepEqual(rulesBrokenIn(sceneUntil(12_500)), []);
});

testing.test("a call sent after its entry passed on that the worker leaves breaks DRAIN", () => {
    const calls = [call(10_000), call(12_100)];
    const runs = [run("call-10000", "desk", 10_005, true), run("call-12100", "desk", 12_105, true)];
    const departures = [{ worker: WORKER, manner: "told", acknowledgedAt: 11_000, voidAt: 20_000 }] as const;
    assert.deepEqual(rulesBrokenIn({ calls, runs, departures }), ["DRAIN"]);
});

testing.test("a process that ends by itself breaks FAULT, and one that is killed does not", () => {
    const end = { machine: ENTRY, at: 20_000, status: 1, life: 1 };
    assert.deepEqual(rulesBrokenIn({ calls: [], ends: [{ ...end, reason: undefined }] }), ["FAULT"]);
    assert.deepEqual(rulesBrokenIn({ calls: [], ends: [{ ...end, reason: "SIGKILL", status: "SIGKILL" }] }), []);
    assert.deepEqual(rulesBrokenIn({ calls: [], ends: [{ ...end, reason: "SIGTERM", status: 0 }] }), []);
});

testing.test("a call that was passed on and ends without a response in a planned stop breaks LOST", () => {
    const calls = [call(11_000, { status: undefined, isComplete: false, error: "ECONNRESET", endedAt: 11_100 })];
    const terminations = [{ machine: ENTRY, at: ACKNOWLEDGED_AT, life: 1, series: 1 }];
    assert.deepEqual(rulesBrokenIn({ calls, runs: [run("call-11000", "desk", 11_005)], terminations }), ["LOST"]);
    assert.deepEqual(rulesBrokenIn({ calls, terminations }), []);
    const refused = calls.map(each => ({ ...each, error: "ECONNREFUSED", endedAt: 11_400 }));
    assert.deepEqual(rulesBrokenIn({ calls: refused, terminations }), [], "no process has read it");
});
