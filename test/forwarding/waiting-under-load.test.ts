/** Replays of load on one queue: which calls start, and when, with a fixed number of places at the servers. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as callQueues from "../../src/forwarding/call-queue.js";
import type * as callTimes from "../../src/scheduling/call-times.js";
import * as expectedWaits from "../../src/scheduling/expected-wait.js";
import * as throughputs from "../../src/scheduling/service-throughput.js";

const TICK_MS = 20;

interface Kind {
    readonly rank: number;
    /** Time between two arrivals in milliseconds. */
    readonly everyMs: number;
    /** Time in milliseconds for which a call occupies a place. */
    readonly workMs: number;
    readonly targetLatencyMs: number;
    readonly usefulMs: number;
    readonly from: number;
    readonly to: number;
}

interface Replayed {
    readonly arrived: number;
    readonly onTime: number;
    readonly refused: number;
}

/** Plays the arrivals of the kinds against `placesAt(now)` places. */
function replay(kinds: readonly Kind[], placesAt: (now: number) => number, endAt: number): readonly Replayed[] {
    const queue = new callQueues.CallQueue();
    const throughput = new throughputs.ServiceThroughput();
    const ends: number[] = [];
    const results = kinds.map(() => ({ arrived: 0, onTime: 0, refused: 0 }));
    let passAt = 0;
    for (let now = 0; now < endAt; now += TICK_MS) {
        passAt = now;
        for (const [index, kind] of kinds.entries()) {
            const result = results[index]!;
            for (let at = Math.max(now, kind.from); at < Math.min(now + TICK_MS, kind.to); at++) {
                if (at % kind.everyMs !== 0) {
                    continue;
                }
                result.arrived++;
                const startTimes = {
                    onTimeUntil: at + kind.targetLatencyMs,
                    usefulUntil: at + kind.usefulMs,
                    callMs: kind.workMs,
                };
                queue.enqueue({
                    priority: kind.rank,
                    arrivedAt: at,
                    timeoutAt: startTimes.usefulUntil,
                    startTimes,
                    requirements: "model",
                    tryPlace: () => {
                        if (ends.filter(end => end > passAt).length >= placesAt(passAt)) {
                            return false;
                        }
                        ends.push(passAt + kind.workMs);
                        throughput.recordPlacement(kind.rank, passAt);
                        result.onTime += passAt <= startTimes.onTimeUntil ? 1 : 0;
                        return true;
                    },
                    isFutile: ahead => {
                        const waitMs = expectedWaits.expectedWaitMs(kind.rank, ahead, throughput.at(passAt));
                        return expectedWaits.isFutile(waitMs, startTimes, passAt);
                    },
                    onTimeout: () => void result.refused++,
                    onError: error => assert.fail(String(error)),
                }, now);
            }
        }
        throughput.observe(queue.waitingForServer > 0, now);
        queue.dispatch(now);
        throughput.observe(queue.waitingForServer > 0, now);
    }
    return results;
}

const SHORT: Kind = { rank: 0, everyMs: 10, workMs: 60, targetLatencyMs: 400, usefulMs: 2100, from: 0, to: 12_000 };
const LONG: Kind = { rank: 2, everyMs: 20, workMs: 200, targetLatencyMs: 1200, usefulMs: 4000, from: 0, to: 12_000 };
/** The places that both kinds fill in usual traffic are 16. */
const PLACES = 20;

testing.test("burst: the urgent short kind stays on time behind 2.5 times the least urgent long kind", () => {
    const burst = { ...LONG, everyMs: 8, from: 3000, to: 9000 };
    const [short, long] = replay([SHORT, burst], () => PLACES, 16_000);
    assert.equal(short!.onTime, short!.arrived);
    assert.ok(long!.refused > 0, "the least urgent kind bears the overload");
    assert.ok(long!.arrived - long!.refused > 0.5 * long!.arrived, "most of the least urgent kind is served");
});

testing.test("crash: with a third of the places gone for a second, the urgent kind is served, and no call is refused", () => {
    const placesAt = (now: number) => now >= 4000 && now < 5000 ? Math.floor(PLACES * 2 / 3) : PLACES;
    const [short, long] = replay([SHORT, LONG], placesAt, 16_000);
    assert.equal(short!.onTime, short!.arrived);
    assert.equal(long!.refused, 0);
});

testing.test("a less urgent customer at five times its rate delays no more urgent one", () => {
    const usual = { ...SHORT, everyMs: 20 };
    const excessive = { ...SHORT, rank: 1, everyMs: 4, from: 3000, to: 9000 };
    const [urgent, other] = replay([usual, excessive, { ...LONG, to: 3000 }], () => 12, 16_000);
    assert.equal(urgent!.onTime, urgent!.arrived);
    assert.ok(other!.refused > 0);
});

testing.test("without servers, calls wait for as long as that is of use, and none is refused at once", () => {
    const refusedAt: number[] = [];
    const queue = new callQueues.CallQueue();
    const startTimes: callTimes.StartTimes = { onTimeUntil: 400, usefulUntil: 2100, callMs: 60 };
    for (let call = 0; call < 100; call++) {
        queue.enqueue({
            priority: 0,
            arrivedAt: 0,
            timeoutAt: startTimes.usefulUntil,
            startTimes,
            requirements: "model",
            tryPlace: () => false,
            isFutile: ahead => {
                return expectedWaits.isFutile(expectedWaits.expectedWaitMs(0, ahead, undefined), startTimes, 0);
            },
            onTimeout: () => void refusedAt.push(queue.size),
            onError: error => assert.fail(String(error)),
        });
    }
    queue.dispatch(2000);
    assert.equal(queue.size, 100);
    queue.dispatch(2100);
    assert.equal(refusedAt.length, 100);
});

testing.test("freeze: after the clock has jumped, calls that are still of use wait on, and the others are refused", () => {
    const queue = new callQueues.CallQueue();
    const throughput = new throughputs.ServiceThroughput();
    const refused: number[] = [];
    let places = 0;
    const enqueue = (arrivedAt: number) => {
        const startTimes = { onTimeUntil: arrivedAt + 400, usefulUntil: arrivedAt + 2100, callMs: 60 };
        queue.enqueue({
            priority: 0,
            arrivedAt,
            timeoutAt: startTimes.usefulUntil,
            startTimes,
            requirements: "model",
            tryPlace: () => places-- > 0,
            isFutile: (ahead, now) => {
                const waitMs = expectedWaits.expectedWaitMs(0, ahead, throughput.at(now));
                return expectedWaits.isFutile(waitMs, startTimes, now);
            },
            onTimeout: () => void refused.push(arrivedAt),
            onError: error => assert.fail(String(error)),
        });
    };
    for (let now = 0; now < 1000; now += TICK_MS) {
        enqueue(now);
        throughput.observe(true, now);
        places = now % 100 === 0 ? 1 : 0;
        queue.dispatch(now);
        throughput.recordPlacement(0, now);
    }
    const waiting = queue.size;
    const thawedAt = 2600;
    places = 3;
    throughput.observe(true, thawedAt);
    queue.dispatch(thawedAt);
    assert.ok(refused.every(arrivedAt => arrivedAt + 2100 <= thawedAt), `refused: ${refused.join(" ")}`);
    assert.equal(queue.size, waiting - refused.length - 3);
    assert.ok(queue.size > 10, `${queue.size} calls wait on`);
});
