/** Guards against calls to servers that state that they are full or slow. Test titles start with the load scenario. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as fleet from "../../src/fleet/types.js";
import * as statedLoads from "../../src/placement/stated-load.js";
import * as simulationClock from "../support/simulation-clock.js";
import * as replays from "./stated-load-replay.js";

const TARGET_MS = 150;
/** Share of the calls that may be late; under more load than that allows, half of those without statements. */
const LATE_SHARE = 0.05;
const COUNTED: statedLoads.ObservedLoad = { counted: { total: 2, own: 0 }, isEngine: false };
const USUAL: fleet.StatedLoad = { running: 2, waiting: 0, slots: 6, pace: 1 };
const FULL: fleet.StatedLoad = { running: 6, waiting: 24, slots: 6, pace: 1 };
const REJECTION = { load: FULL, isEngine: false };
const SLOW: fleet.StatedLoad = { running: 4, waiting: 0, slots: 6, pace: 3 };

function server(startedAt: number | undefined = 1): fleet.BackendServer {
    return {
        id: "server",
        startedAt,
        service: "booking",
        address: "10.0.0.1:80",
        dataCentre: "one",
        slots: 6,
        state: "ready",
        softwareVersion: "v1",
        weights: new Map(),
    };
}

function calledAndWaiting(state: statedLoads.StatedState | undefined): readonly number[] {
    return [Math.round(state!.calls), Math.round(state!.waiting * 2) / 2];
}

interface Load {
    readonly name: string;
    readonly course: Partial<replays.Course>;
    /** Largest share of the calls that servers may reject. */
    readonly rejected: number;
}

const LOADS: readonly Load[] = [
    {
        name: "burst near the capacity of few servers",
        course: { callsPerSecond: now => now > 1000 && now < 2500 ? 500 : 100 },
        rejected: 0.05,
    },
    {
        name: "one server at a third of its usual speed",
        course: { callsPerSecond: () => 300, pace: index => index === 0 ? 3 : 1 },
        rejected: 0,
    },
    {
        name: "another server is slow each second",
        course: {
            callsPerSecond: () => 250,
            pace: (index, now) => Math.floor(now / 1000) % 4 === index ? 4 : 1,
        },
        rejected: 0.01,
    },
    {
        name: "statements that arrive late",
        course: { callsPerSecond: () => 300, pace: index => index === 0 ? 3 : 1, transitMs: 350 },
        rejected: 0,
    },
    {
        name: "heartbeats that are lost, so that entries know only what they are told themselves",
        course: { callsPerSecond: () => 300, pace: index => index === 0 ? 3 : 1, lostHeartbeats: 1 },
        rejected: 0,
    },
];

for (const { name, course, rejected } of LOADS) {
    testing.test(`${name}: calls go to servers that answer in time`, () => {
        for (const seed of [1, 2, 3]) {
            const play = (usesStatements: boolean) => {
                return replays.replay({
                    entries: 31,
                    servers: 4,
                    durationMs: 3000,
                    callsPerSecond: () => 100,
                    pace: () => 1,
                    usesStatements,
                    lostHeartbeats: 0,
                    transitMs: 60,
                    random: simulationClock.randomGenerator(seed),
                    ...course,
                });
            };
            const [without, played] = [play(false), play(true)];
            const lateShare = ({ times }: replays.Outcome) =>
                times.filter(time => time > TARGET_MS).length / times.length;
            const figures = `${lateShare(played)} late, ${played.rejected} rejected of ${played.times.length}`;
            const bound = Math.max(LATE_SHARE, lateShare(without) / 2);
            assert.ok(lateShare(played) <= bound, `${figures}; without statements ${lateShare(without)} late`);
            assert.ok(played.rejected <= rejected * played.times.length, figures);
        }
    });
}

testing.test("fresh statement: it counts more than the calls that entries report, and less with its age", () => {
    const loads = new statedLoads.StatedLoads();
    loads.record(server(), { ...USUAL, running: 6, waiting: 4 }, 0, 1000);
    const calls = [1000, 1200, 1900].map(now => loads.stateOf(server(), COUNTED, now)!.calls);
    assert.deepEqual(calls.slice(0, 2), [10, 6]);
    assert.ok(calls[2]! < 2.5 && calls[2]! > 2);
    assert.equal(loads.stateOf(server(), COUNTED, 2001), undefined, "an old statement is not used");
});

testing.test("engine: calls that entries do not count are known from its statement or its agent's report, whichever is later", () => {
    const loads = new statedLoads.StatedLoads();
    const reported = { running: 20, waiting: 10, receivedAt: 1350 };
    const engine = { ...COUNTED, isEngine: true };
    loads.record(server(), { running: 9, waiting: 3, slots: 32, pace: 1 }, 0, 1000);
    assert.deepEqual(calledAndWaiting(loads.stateOf(server(), engine, 1000)), [12, 3]);
    assert.deepEqual(calledAndWaiting(loads.stateOf(server(), engine, 2000)), [7, 1.5]);
    assert.deepEqual(calledAndWaiting(loads.stateOf(server(), { ...engine, reported }, 1350)), [25, 8]);
    const counted = { total: 40, own: 0 };
    assert.equal(loads.stateOf(server(), { ...engine, counted }, 1000)!.calls, 40, "the counts are never too high");
});

testing.test("agent's report without a statement of the server: it counts until it is old", () => {
    const loads = new statedLoads.StatedLoads();
    const observed = { ...COUNTED, isEngine: true, reported: { running: 20, waiting: 10, receivedAt: 1000 } };
    assert.equal(loads.stateOf(server(), observed, 1000)!.pace, 1);
    loads.record(server(), { ...SLOW, running: 1 }, 0, 500);
    assert.ok(loads.stateOf(server(), observed, 1000)!.pace > 1, "a report does not hide the pace");
    assert.ok(loads.stateOf(server(), observed, 1000)!.calls > 20);
    assert.equal(loads.stateOf(server(), observed, 2100), undefined);
});

testing.test("calls placed since a statement: they are added to it, and those that ended are subtracted", () => {
    const loads = new statedLoads.StatedLoads();
    loads.record(server(), USUAL, 1, 1000);
    assert.equal(loads.stateOf(server(), { ...COUNTED, counted: { total: 9, own: 4 } }, 1000)!.calls, 5);
    assert.equal(loads.stateOf(server(), { ...COUNTED, counted: { total: 9, own: 0 } }, 1000)!.calls, 1);
});

testing.test("slow server: its pace counts until the statement is old", () => {
    const loads = new statedLoads.StatedLoads();
    loads.record(server(), SLOW, 0, 1000);
    assert.deepEqual([1000, 1200].map(now => loads.stateOf(server(), COUNTED, now)!.pace), [3, 2]);
});

testing.test("full server: it is left out after a rejection, longer after each further one, and not after an answer", () => {
    const loads = new statedLoads.StatedLoads();
    const isFull = (now: number) => loads.stateOf(server(), COUNTED, now)?.isFull ?? false;
    assert.deepEqual(loads.recordRejection(server(), REJECTION, 0, 1000), { isRejecting: true, isSlow: undefined });
    assert.deepEqual([1000, 1199, 1210].map(isFull), [true, true, false]);
    loads.recordRejection(server(), REJECTION, 0, 1100);
    assert.deepEqual([1199, 1320].map(isFull), [true, false], "calls already under way do not prolong the exclusion");
    loads.recordRejection(server(), REJECTION, 0, 1320);
    assert.deepEqual([1700, 1730].map(isFull), [true, false]);
    assert.deepEqual(loads.record(server(), USUAL, 0, 1730), { isRejecting: false, isSlow: undefined });
    assert.equal(isFull(1730), false);
});

testing.test("full server without a statement: it is left out all the same", () => {
    const loads = new statedLoads.StatedLoads();
    loads.recordRejection(server(), { load: undefined, isEngine: false }, 0, 1000);
    assert.deepEqual(loads.stateOf(server(), COUNTED, 1010), {
        calls: 2,
        waiting: 0,
        pace: 1,
        isFull: true,
        ageMs: 10,
    });
    assert.equal(loads.stateOf(server(), COUNTED, 1300), undefined);
});

testing.test("queue as long as at the last rejection: the server counts as full for a moment", () => {
    const loads = new statedLoads.StatedLoads();
    loads.recordRejection(server(), REJECTION, 0, 1000);
    loads.applyPeer([{ server: "server", startedAt: 1, load: FULL, ageMs: 0, isRejecting: false }], () => 0, 1400);
    assert.equal(loads.stateOf(server(), COUNTED, 1450)!.isFull, true);
    assert.equal(loads.stateOf(server(), COUNTED, 1650)!.isFull, false);
});

testing.test("engine that rejects its queue to load weights: a queue of that length is not taken for a full one later", () => {
    const loads = new statedLoads.StatedLoads();
    loads.recordRejection(server(), { load: FULL, isEngine: true }, 0, 1000);
    loads.applyPeer([{ server: "server", startedAt: 1, load: FULL, ageMs: 0, isRejecting: false }], () => 0, 1400);
    assert.equal(loads.stateOf(server(), COUNTED, 1450)!.isFull, false);
});

testing.test("restarted server: statements and rejections of its earlier run do not count", () => {
    const loads = new statedLoads.StatedLoads();
    loads.recordRejection(server(1), REJECTION, 0, 1000);
    assert.equal(loads.stateOf(server(2), COUNTED, 1010), undefined);
    assert.equal(
        loads.stateOf(server(undefined), COUNTED, 1010)!.isFull,
        true,
        "an unknown start is taken for the same",
    );
    const ofEarlierRun = { server: "server", startedAt: 1, load: FULL, ageMs: 10, isRejecting: true };
    loads.applyPeer([ofEarlierRun], () => 0, 1020);
    assert.equal(loads.stateOf(server(2), COUNTED, 1030), undefined);
});

testing.test("statements of peers: those that tell something are shared while fresh, and older ones change nothing", () => {
    const [sender, receiver] = [new statedLoads.StatedLoads(), new statedLoads.StatedLoads()];
    sender.record(server(), USUAL, 0, 1000);
    assert.deepEqual(sender.snapshot(1100), [], "the counts say as much");
    sender.record(server(), SLOW, 0, 1100);
    const shared = sender.snapshot(1200);
    assert.deepEqual(shared, [{ server: "server", startedAt: 1, load: SLOW, ageMs: 100, isRejecting: false }]);
    assert.deepEqual(sender.snapshot(1600), [], "too old to be shared");
    receiver.applyPeer(shared, () => 0, 1250);
    assert.ok(receiver.stateOf(server(), COUNTED, 1250)!.pace > 2);
    assert.deepEqual(receiver.snapshot(1250), [], "only statements to the entry itself are shared");
    receiver.record(server(), USUAL, 0, 1260);
    receiver.applyPeer(shared, () => 0, 1300);
    assert.equal(receiver.stateOf(server(), COUNTED, 1300)!.pace, 1);
});

testing.test("rejection told by a peer: the server is left out here as well", () => {
    const [sender, receiver] = [new statedLoads.StatedLoads(), new statedLoads.StatedLoads()];
    sender.recordRejection(server(), REJECTION, 0, 1000);
    receiver.applyPeer(sender.snapshot(1050), () => 0, 1100);
    assert.equal(receiver.stateOf(server(), COUNTED, 1100)!.isFull, true);
    assert.equal(receiver.stateOf(server(), COUNTED, 1300)!.isFull, false);
});

testing.test("lasting slowness: it is reported once, as is its end", () => {
    const loads = new statedLoads.StatedLoads();
    const changes = Array.from({ length: 40 }, (_, index) => {
        return loads.record(server(), { ...USUAL, pace: index < 20 ? 4 : 1 }, 0, index * 100).isSlow;
    });
    assert.deepEqual(changes.filter(change => change !== undefined), [true, false]);
});

testing.test("servers that are no longer listed: nothing is kept of them", () => {
    const loads = new statedLoads.StatedLoads();
    loads.recordRejection(server(), REJECTION, 0, 1000);
    loads.retain(new Set());
    assert.equal(loads.stateOf(server(), COUNTED, 1001), undefined);
});
