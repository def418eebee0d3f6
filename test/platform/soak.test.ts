/**
 * Injects random faults into real processes, workers and the store while calls run, and checks each response.
 *
 * Guards against violations that show only when all processes run together: a request that runs twice or is wrongly
 * reported as not run, a response that differs from the worker's, a worker that receives orders from two holders, and a
 * system that does not recover. SOAK_SEED sets the seed, SOAK_SECONDS the duration of the faults.
 */
import * as assert from "node:assert/strict";
import * as process from "node:process";
import * as testing from "node:test";
import * as simulationClock from "../support/simulation-clock.js";
import * as fleets from "./soak-fleet.js";
import * as standIns from "./stand-ins.js";

const SEED = Number(process.env["SOAK_SEED"] ?? 26);
const DURATION_MS = Number(process.env["SOAK_SECONDS"] ?? 12) * 1000;
const CALLER_COUNT = 6;
const CALL_PAUSE_MS = 20;
/** Longest pause in milliseconds between two faults. */
const MAXIMUM_FAULT_PAUSE_MS = 900;
/** Generous, since processes start slowly on a machine under load; ends the test when the system does not recover. */
const RECOVERY_TIMEOUT_MS = 60_000;
const CONSECUTIVE_CALLS = 20;

testing.test("guarantees hold while processes, workers and the store fail at random, and service resumes", async () => {
    await using fleet = await fleets.SoakFleet.start({ contracts: ["base", "places"] });
    const { random } = new simulationClock.SimulationClock(SEED);
    let isOver = false;
    const callers = Array.from({ length: CALLER_COUNT }, async (_, index) => {
        const callerRandom = new simulationClock.SimulationClock(SEED + index).random;
        while (!isOver) {
            await fleet.call(callerRandom);
            await standIns.pause(CALL_PAUSE_MS);
        }
    });
    const faults: Promise<string>[] = [];
    const endsAt = performance.now() + DURATION_MS;
    while (performance.now() < endsAt) {
        faults.push(fleet.injectFault(random));
        await standIns.pause(random() * MAXIMUM_FAULT_PAUSE_MS);
    }
    const injected = await Promise.all(faults);
    isOver = true;
    await Promise.all(callers);
    const sent = fleet.calls.length;
    const served = fleet.calls.filter(call => call.status === 200 && call.isComplete).length;
    const recoveryDeadline = performance.now() + RECOVERY_TIMEOUT_MS;
    let consecutiveCalls = 0;
    while (consecutiveCalls < CONSECUTIVE_CALLS && performance.now() < recoveryDeadline) {
        const call = await fleet.call(random);
        consecutiveCalls = call.status === 200 && call.isComplete ? consecutiveCalls + 1 : 0;
    }
    console.log(
        `seed ${SEED}: ${injected.length} faults, ${served} of ${sent} calls served during the faults`,
    );
    assert.deepEqual(fleet.violations(), []);
    assert.equal(consecutiveCalls, CONSECUTIVE_CALLS, "consecutive calls served after the last fault");
    assert.ok(served > 0);
});
