/**
 * Kills, freezes and disturbs real processes at random while calls run, and checks each answer.
 *
 * Guards against promises that hold in each module and not in the assembled processes: a request that runs twice or is
 * said not to have run, an answer that is not the worker's, a worker with two holders, and a system that stays down.
 * SOAK_SEED and SOAK_SECONDS choose another and a longer course.
 */
import * as assert from "node:assert/strict";
import * as process from "node:process";
import * as testing from "node:test";
import * as virtualTime from "../support/virtual-time.js";
import * as fleets from "./soak-fleet.js";
import * as standIns from "./stand-ins.js";

const SEED = Number(process.env["SOAK_SEED"] ?? 26);
const DURATION_MS = Number(process.env["SOAK_SECONDS"] ?? 12) * 1000;
const CALLERS = 6;
const CALL_PAUSE_MS = 20;
/** Longest pause in milliseconds between two faults. */
const FAULT_PAUSE_MS = 900;
/** Ends a test that hangs; a machine under load starts processes slowly. */
const RECOVERY_LIMIT_MS = 60_000;
const CALLS_IN_A_ROW = 20;

testing.test("promises hold while processes, workers and the store fail at random, and service comes back", async () => {
    await using fleet = await fleets.SoakFleet.start();
    const { random } = new virtualTime.VirtualTime(SEED);
    let isOver = false;
    const callers = Array.from({ length: CALLERS }, async (_, index) => {
        const own = new virtualTime.VirtualTime(SEED + index).random;
        while (!isOver) {
            await fleet.call(own);
            await standIns.pause(CALL_PAUSE_MS);
        }
    });
    const faults: Promise<string>[] = [];
    const endsAt = performance.now() + DURATION_MS;
    while (performance.now() < endsAt) {
        faults.push(fleet.strike(random));
        await standIns.pause(random() * FAULT_PAUSE_MS);
    }
    const struck = await Promise.all(faults);
    isOver = true;
    await Promise.all(callers);
    const during = fleet.calls.length;
    const served = fleet.calls.filter(call => call.status === 200 && call.isComplete).length;
    const recoveredBy = performance.now() + RECOVERY_LIMIT_MS;
    let inARow = 0;
    while (inARow < CALLS_IN_A_ROW && performance.now() < recoveredBy) {
        const call = await fleet.call(random);
        inARow = call.status === 200 && call.isComplete ? inARow + 1 : 0;
    }
    console.log(`seed ${SEED}: ${struck.length} faults, ${served} of ${during} calls served meanwhile`);
    assert.deepEqual(fleet.violations(), []);
    assert.equal(inARow, CALLS_IN_A_ROW, "calls served in a row after the last fault");
    assert.ok(served > 0);
});
