/** Guards against calls that reach an evacuated data centre, and against evacuations that never end. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as processes from "../../tools/support/processes.js";
import * as simulationClock from "../support/simulation-clock.js";
import * as fleets from "./soak-fleet.js";
import * as standIns from "./stand-ins.js";

const SEED = 5;
const CALLERS = 6;
const CALL_PAUSE_MS = 20;
const KIND = "evacuations";
const ZONE = "one";
/** Time in milliseconds from the store's acknowledgement within which an evacuation has to be in force. */
const APPLY_MS = 5000;
/** Times in milliseconds with the store, and while it is away. */
const CALM_MS = 1000;
const AWAY_MS = 4000;
const KILL_AFTER_MS = 500;
/** Generous, since the machine may be under load; ends the test when an evacuation does not end. */
const RETURN_TIMEOUT_MS = 30_000;

testing.test("an evacuated data centre gets no calls, also while the store is away and after a restart, until it ends", async () => {
    await using fleet = await fleets.SoakFleet.start({ contracts: ["base", "places"] });
    const { random } = new simulationClock.SimulationClock(SEED);
    let isOver = false;
    const callers = Array.from({ length: CALLERS }, async (_, index) => {
        const callerRandom = new simulationClock.SimulationClock(SEED + index).random;
        while (!isOver) {
            await fleet.call(callerRandom);
            await standIns.pause(CALL_PAUSE_MS);
        }
    });
    const isUsed = (since: number) => Promise.resolve(fleet.runsIn(ZONE, since).length > 0);
    await processes.waitUntil("calls in the data centre", RETURN_TIMEOUT_MS, () => isUsed(0));
    fleet.store.put(KIND, ZONE, {});
    fleet.store.put(KIND, "unknown", {});
    await standIns.pause(APPLY_MS);
    const inForceSince = performance.now();
    await standIns.pause(CALM_MS);
    const away = fleet.setStoreMode("unavailable", AWAY_MS);
    await standIns.pause(KILL_AFTER_MS);
    fleet.killEntry(random);
    await standIns.pause(AWAY_MS / 2);
    assert.deepEqual(fleet.runsIn(ZONE, inForceSince), []);
    // The store accepts what the operator writes, and is away for the entries.
    const removedAt = performance.now();
    fleet.store.remove(KIND, ZONE);
    await away;
    await processes.waitUntil("calls after the evacuation", RETURN_TIMEOUT_MS, () => isUsed(removedAt));
    fleet.store.put(KIND, ZONE, {});
    await standIns.pause(APPLY_MS);
    const againSince = performance.now();
    await standIns.pause(CALM_MS);
    assert.deepEqual(fleet.runsIn(ZONE, againSince), []);
    isOver = true;
    await Promise.all(callers);
    assert.deepEqual(fleet.violations(), []);
    assert.ok(fleet.calls.filter(({ status }) => status === 200).length > fleet.calls.length / 2);
});
