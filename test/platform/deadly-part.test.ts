/**
 * Guards against a shared prompt part that crashes server after server: real entries have to tell each other which part
 * does so, without refusing the calls that share everything else with it.
 */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as simulationClock from "../support/simulation-clock.js";
import * as fleets from "./soak-fleet.js";
import * as standIns from "./stand-ins.js";

const SEED = 7;
const DEADLY_PART = "deadbeef";
const SOUND_CALLERS = 4;
/** Pauses in milliseconds between two calls of one caller. */
const SOUND_PAUSE_MS = 20;
const DEADLY_PAUSE_MS = 150;
/** Times in milliseconds: before the first deadly call, with deadly calls, and within which entries tell each other. */
const CALM_MS = 2000;
const DEADLY_MS = 14_000;
const CONTACT_MS = 3000;
/** Crashes after which, and calls with the part that may still reach servers once the contact time is over. */
const TOLERATED_CRASHES = 5;
const TOLERATED_ARRIVALS = 3;

interface SoundCall {
    readonly sentAt: number;
    readonly isAnswered: boolean;
}

testing.test("a prompt part that crashes servers is kept from them, and calls without it go on", async () => {
    await using fleet = await fleets.SoakFleet.start();
    fleet.log.deadlyParts.add(DEADLY_PART);
    const soundCalls: SoundCall[] = [];
    let isOver = false;
    const callers = Array.from({ length: SOUND_CALLERS }, async (_, index) => {
        const { random } = new simulationClock.SimulationClock(SEED + index);
        while (!isOver) {
            const sentAt = performance.now();
            const { status, isComplete } = await fleet.review([], random);
            soundCalls.push({ sentAt, isAnswered: status === 200 && isComplete });
            await standIns.pause(SOUND_PAUSE_MS);
        }
    });
    await standIns.pause(CALM_MS);
    const deadlyFrom = performance.now();
    const { random } = new simulationClock.SimulationClock(SEED);
    const deadlyCalls: Promise<fleets.Call>[] = [];
    while (performance.now() < deadlyFrom + DEADLY_MS) {
        deadlyCalls.push(fleet.review([DEADLY_PART], random));
        await standIns.pause(DEADLY_PAUSE_MS);
    }
    const deadlyUntil = performance.now();
    isOver = true;
    await Promise.all([...callers, ...deadlyCalls]);

    const { deadlyCrashes, deadlyArrivals } = fleet.log;
    assert.ok(deadlyCrashes.length > 0, "the part crashed a worker");
    const settledAt = (deadlyCrashes[TOLERATED_CRASHES - 1] ?? deadlyCrashes.at(-1)!) + CONTACT_MS;
    const late = deadlyArrivals.filter(at => at > settledAt && deadlyCrashes.length >= TOLERATED_CRASHES);
    assert.ok(late.length <= TOLERATED_ARRIVALS, `${late.length} late arrivals, ${deadlyCrashes.length} crashes`);
    const answeredShare = (from: number, to: number) => {
        const calls = soundCalls.filter(call => call.sentAt >= from && call.sentAt < to);
        return calls.filter(call => call.isAnswered).length / calls.length;
    };
    const before = answeredShare(0, deadlyFrom);
    const after = answeredShare(settledAt + CONTACT_MS, deadlyUntil);
    assert.ok(after >= before / 2, `${after} of the sound calls answered, ${before} before`);
});
