/**
 * Guards against a new version that answers several times slower and is rolled out and kept, also when each entry sees
 * few of its calls, and against a good version that is taken back or not completed in time.
 */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as outcomes from "../../src/core/outcome.js";
import type * as fleet from "../../src/fleet/types.js";
import type * as placement from "../../src/placement/types.js";
import * as rolloutStatuses from "../../src/rollout/rollout-statuses.js";
import * as serviceRollouts from "../../src/rollout/service-rollouts.js";
import * as stages from "../../src/rollout/service-stage.js";
import * as manualClock from "../support/manual-clock.js";
import * as simulationClock from "../support/simulation-clock.js";

const SERVICE = "engines";
const TARGET = "v2";
const DURATION_MS = 15_000;
const ENTRIES = 5;
const CALLS_PER_SECOND = 70;
const STEP_MS = 10;
const HEARTBEAT_MS = 150;
/** Share of the calls, and number of calls beyond it, that a bad version may get. */
const EXPOSED_SHARE = 0.1;
const EXPOSED_CALLS = 50;

const ORDER: fleet.RolloutOrder = {
    service: SERVICE,
    target: TARGET,
    durationMs: DURATION_MS,
    revision: 7,
    state: undefined,
    startedAt: undefined,
};

interface Version {
    /** Factor of all times, and probability of a failure, at a time since the order. */
    readonly slowness: (elapsedMs: number) => number;
    readonly failureShare: (elapsedMs: number) => number;
}

const SOUND: Version = { slowness: () => 1, failureShare: () => 0.005 };

function candidate(id: string, softwareVersion: string): placement.Candidate {
    return {
        server: {
            id,
            startedAt: 1,
            service: SERVICE,
            address: `10.0.0.${id}:80`,
            dataCentre: "one",
            slots: 8,
            state: "ready",
            softwareVersion,
            weights: new Map(),
        },
        calls: 0,
        pendingPromptTokens: 0,
        weightsVersion: 1,
        outdatedForMs: undefined,
        isUpdatingWeights: false,
        isUpdatePending: false,
        isSuspected: false,
        pauseMs: 0,
        limit: "none",
        failureShare: 0,
    };
}

const CANDIDATES = [1, 2, 3, 4, 5, 6].map(id => candidate(String(id), id <= 3 ? "v1" : TARGET));

function createRollouts(): serviceRollouts.ServiceRollouts {
    return new serviceRollouts.ServiceRollouts({ journal: { emit: () => undefined }, onStageChange: () => undefined });
}

function stageOf(rollouts: serviceRollouts.ServiceRollouts, now: number): stages.Stage | undefined {
    return rollouts.snapshot(now)[0]?.stage;
}

/** Entries that exchange their states while calls run; returns the calls of the new version and the last stage. */
function simulate(version: Version, seed: number): {
    readonly exposed: number;
    readonly total: number;
    readonly stage: stages.Stage | undefined;
    readonly endedAt: number | undefined;
} {
    const { random } = new simulationClock.SimulationClock(seed);
    const entries = Array.from({ length: ENTRIES }, createRollouts);
    entries.forEach(entry => entry.adopt([ORDER], { now: 0, wallTime: 0 }));
    let exposed = 0;
    let total = 0;
    let endedAt: number | undefined;
    for (let now = 0; now < DURATION_MS; now += STEP_MS) {
        if (random() < CALLS_PER_SECOND * STEP_MS / 1000) {
            const entry = entries[Math.floor(random() * ENTRIES)]!;
            const group = entry.groups(SERVICE, String(random()), CANDIDATES)[0]!;
            const { server } = group[Math.floor(random() * group.length)]!;
            const isNew = server.softwareVersion === TARGET;
            total++;
            exposed += isNew ? 1 : 0;
            const { slowness, failureShare } = isNew ? version : SOUND;
            const factor = slowness(now) * (0.5 + random());
            entry.record({
                service: SERVICE,
                softwareVersion: server.softwareVersion,
                route: random() < 0.3 ? "review" : "note",
                server: server.id,
                end: random() < failureShare(now) ? "failed" : "answered",
                times: {
                    firstEventMs: 80 * factor,
                    streamMs: 100 * factor,
                    pauses: 10,
                    totalMs: 180 * factor,
                    isStream: true,
                    targetLatencyMs: 300,
                },
            }, now);
        }
        if (now % HEARTBEAT_MS === 0) {
            const states = entries.map(entry => entry.snapshot(now));
            entries.forEach((receiver, index) => {
                states.forEach((state, sender) => {
                    if (sender !== index) {
                        receiver.applyPeer(`entry-${sender}`, "run", state, now);
                    }
                });
            });
            entries.forEach((entry, index) => entry.evaluate(now, index === 0));
        }
        const stage = stageOf(entries[0]!, now);
        endedAt ??= stage !== undefined && stages.isTerminal(stage) ? now : undefined;
    }
    return { exposed, total, stage: stageOf(entries[0]!, DURATION_MS), endedAt };
}

const BAD_VERSIONS: Readonly<Record<string, Version>> = {
    "several times slower": { ...SOUND, slowness: () => 6 },
    "failing": { ...SOUND, failureShare: () => 0.5 },
    "slower after a while": { ...SOUND, slowness: elapsedMs => elapsedMs > 6000 ? 6 : 1 },
};

for (const [name, version] of Object.entries(BAD_VERSIONS)) {
    testing.test(`a version that is ${name} gets a small share of the calls and is rolled back`, () => {
        for (let seed = 1; seed <= 20; seed++) {
            const { exposed, total, stage } = simulate(version, seed);
            assert.equal(stage, "rolled-back", `seed ${seed}`);
            assert.ok(exposed <= total * EXPOSED_SHARE + EXPOSED_CALLS, `seed ${seed}: ${exposed} of ${total} calls`);
        }
    });
}

testing.test("a good version is complete in time", () => {
    let completed = 0;
    for (let seed = 1; seed <= 40; seed++) {
        const { stage, endedAt } = simulate(SOUND, seed);
        completed += stage === "complete" && endedAt! < DURATION_MS - 2000 ? 1 : 0;
    }
    // A chance suspicion at the weaker level holds a rollout until its deadline; none is rolled back for a regression.
    assert.ok(completed >= 38, `${completed} of 40 completed`);
});

testing.test("an entry that restarts adopts the status in the store, and an ended rollout is not opened again", () => {
    const rollouts = createRollouts();
    rollouts.adopt([{ ...ORDER, state: "in-progress", startedAt: 1000 }], { now: 50, wallTime: 9000 });
    assert.equal(rollouts.elapsedMs(SERVICE, 50), 8000);
    rollouts.adopt([{ ...ORDER, state: "rolled-back", startedAt: 1000 }], { now: 60, wallTime: 9010 });
    assert.deepEqual(
        rollouts.groups(SERVICE, "any", CANDIDATES).flat().map(({ server }) => server.softwareVersion),
        ["v1", "v1", "v1"],
    );
    // Another entry had come to the other conclusion; the store's status is final.
    const late = { service: SERVICE, target: TARGET, elapsedMs: 9000, stage: "complete" as const, counts: [] };
    rollouts.applyPeer("peer", "run", [late], 100);
    assert.equal(stageOf(rollouts, 100), "rolled-back");
});

testing.test("a complete rollout leaves the replaced servers, and uses those that start later under any version", () => {
    const rollouts = createRollouts();
    rollouts.adopt([ORDER], { now: 0, wallTime: 0 });
    rollouts.recordServers(CANDIDATES.map(({ server }) => server));
    rollouts.adopt([{ ...ORDER, state: "complete" }], { now: 0, wallTime: 0 });
    const later = candidate("9", "v3");
    const used = rollouts.groups(SERVICE, "any", [...CANDIDATES, later]).flat().map(({ server }) => server.id);
    assert.deepEqual(used, ["4", "5", "6", "9"]);
});

testing.test("statuses are written on condition of the revision that was read, and again while the store is away", async () => {
    const clock = new manualClock.ManualClock();
    const written: (readonly [unknown, number])[] = [];
    let isAway = true;
    const unused = () => Promise.resolve(outcomes.fail("store-unavailable", "not used"));
    const rollouts = createRollouts();
    rollouts.adopt([ORDER], { now: clock.now(), wallTime: clock.wallTime() });
    await using statuses = new rolloutStatuses.RolloutStatuses({
        clock,
        journal: { emit: () => undefined },
        store: {
            list: unused,
            watch: unused,
            put: unused,
            putStatus: async (_kind, _name, status, revision) => {
                written.push([status, revision]);
                return isAway ? outcomes.fail("store-unavailable", "away") : outcomes.succeed(undefined);
            },
        },
        kind: "rollouts",
        rollouts,
        isCoordinator: () => true,
        encode: (_order, state) => state,
    });
    statuses.start();
    await manualClock.waitUntil(() => written.length === 1);
    isAway = false;
    await manualClock.waitUntil(() => {
        clock.endSleeps();
        return written.length === 2;
    });
    assert.deepEqual(written, [["in-progress", 7], ["in-progress", 7]]);
    rollouts.adopt([{ ...ORDER, state: "in-progress", revision: 8 }], { now: clock.now(), wallTime: clock.wallTime() });
    assert.deepEqual(rollouts.outdatedStatuses(), []);
});

testing.test("guards against an error in one step that ends the rollouts of this entry for good", async () => {
    const clock = new manualClock.ManualClock();
    const failed = () => Promise.resolve(outcomes.fail("store-unavailable", "not used"));
    const logged: string[] = [];
    let steps = 0;
    await using statuses = new rolloutStatuses.RolloutStatuses({
        clock,
        journal: { emit: name => void logged.push(name) },
        store: { list: failed, watch: failed, put: failed, putStatus: failed },
        kind: "rollouts",
        rollouts: createRollouts(),
        isCoordinator: () => {
            steps++;
            if (steps === 1) {
                throw new TypeError("an order of an unexpected type");
            }
            return true;
        },
        encode: (_order, state) => state,
    });
    statuses.start();
    await manualClock.waitUntil(() => {
        clock.endSleeps();
        return steps > 2;
    });
    assert.deepEqual(logged, ["controller-step-failed"]);
});

testing.test("restored store: guards against a rollout that begins again once its status is lost; it is written again", () => {
    const moment = { now: 60_000, wallTime: 1_000_000 };
    const rollouts = new serviceRollouts.ServiceRollouts({
        journal: { emit: () => undefined },
        onStageChange: () => undefined,
    });
    rollouts.adopt([{ ...ORDER, state: "rolled-back", revision: 50 }], moment);
    rollouts.adopt([{ ...ORDER, state: undefined, revision: 30 }], { ...moment, now: moment.now + 1000 });
    const old = candidate("1", "v1");
    const updated = candidate("2", TARGET);
    for (let call = 0; call < 200; call++) {
        assert.deepEqual(rollouts.groups(SERVICE, `call-${call}`, [old, updated]), [[old]]);
    }
    const outdated = rollouts.outdatedStatuses();
    assert.deepEqual(outdated.map(({ order, state }) => [order.revision, state]), [[30, "rolled-back"]]);
});
