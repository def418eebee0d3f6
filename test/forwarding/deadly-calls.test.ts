/** Guards against calls that reach servers although calls like them crash them, and against crashes seen in mere resets. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as crashDetectors from "../../src/forwarding/crash-detector.js";
import type * as suspectTrackers from "../../src/quarantine/suspect-tracker.js";
import * as harnesses from "../support/entry-harness.js";

const PARTS = { "Prompt-Prefix": "root:100,deadly:50,own:10", "Token-Count": "160,5" };
const FINGERPRINTS = ["part:root", "part:deadly"];

function now(): suspectTrackers.Moment {
    return { now: performance.now(), wallTime: Date.now() };
}

testing.test("a refused call is answered with 503 and a time to come back, and reaches no server", async () => {
    let requests = 0;
    await using harness = await harnesses.EntryHarness.start([(socket, { id }) => {
        requests++;
        socket.end(harnesses.response(id, "sound"));
    }]);
    for (const server of ["a", "b"]) {
        harness.suspects.recordCrash({ server, fingerprints: FINGERPRINTS, trials: new Set() }, now());
    }
    const crash = { server: "c", fingerprints: FINGERPRINTS, trials: new Set(FINGERPRINTS) };
    harness.suspects.recordCrash(crash, now());
    const refused = await harness.call("review", { headers: PARTS });
    assert.deepEqual([refused.status, requests], [503, 0]);
    assert.ok(Number(refused.headers["retry-after"]) > 1);
    const sound = await harness.call("lookup", { headers: { "Prompt-Prefix": "other:100,own:10" } });
    assert.deepEqual([sound.status, requests], [200, 1]);
});

testing.test("a call whose two servers crashed is accused with its shared parts; an answer clears them", async () => {
    let isDeadly = true;
    const script: harnesses.ServerScript = (socket, { id }) => {
        if (isDeadly) {
            void harness.crash(socket);
            return;
        }
        socket.end(harnesses.response(id, "sound"));
    };
    await using harness = await harnesses.EntryHarness.start([script, script, script]);
    const lost = await harness.call("lookup", { headers: PARTS });
    assert.equal(lost.status, 502);
    const moment = now();
    assert.equal(
        harness.suspects.decide(["part:deadly"], { ...moment, wallTime: moment.wallTime + 500 }).kind,
        "trial",
    );
    isDeadly = false;
    await new Promise(resolve => setTimeout(resolve, 300));
    const answered = await harness.call("lookup", { headers: PARTS });
    assert.equal(answered.status, 200);
    assert.equal(harness.suspects.decide(["part:deadly"], now()).kind, "run");
});

testing.test("a server that resets connections and goes on listening has not crashed", async () => {
    await using harness = await harnesses.EntryHarness.start([
        socket => void socket.resetAndDestroy(),
        socket => void socket.resetAndDestroy(),
    ]);
    const result = await harness.call("lookup", { headers: PARTS });
    assert.equal(result.status, 502);
    assert.ok(harness.suspects.isEmpty);
});

testing.test("calls that one crash ends are accused together, once for the run of the server", async () => {
    const crashes: suspectTrackers.LostCalls[] = [];
    const detector = new crashDetectors.CrashDetector({
        clock: { now: () => 1, wallTime: () => 2 },
        suspects: { recordCrash: lost => void crashes.push(lost) },
        isRefusingConnections: async () => true,
    });
    const server = {
        id: "server",
        startedAt: 9,
        service: "service",
        address: "127.0.0.1:9",
        dataCentre: "one",
        slots: 8,
        state: "ready",
        softwareVersion: "v1",
        weights: new Map(),
    } as const;
    await Promise.all([
        detector.report(server, { fingerprints: ["part:a"], trials: [] }),
        detector.report(server, { fingerprints: ["part:b"], trials: ["part:b"] }),
    ]);
    assert.deepEqual(crashes, [
        { server: "server/9", fingerprints: ["part:a", "part:b"], trials: new Set(["part:b"]) },
    ]);
});
