/** Guards against a new version of servers that answers several times slower, and is rolled out and kept. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as simulationClock from "../support/simulation-clock.js";
import * as fleets from "./soak-fleet.js";
import * as standIns from "./stand-ins.js";

const SEED = 9;
const CALLERS = 10;
const CALL_PAUSE_MS = 20;
const NEW_VERSION = "v2";
const NEW_WORKERS = 2;
const SLOWNESS = 6;
/** Times: of calls before the order in milliseconds, and within which the rollout has to end in seconds. */
const CALM_MS = 2000;
const DURATION_S = 14;
/** Share of the calls, and number of calls beyond it, that a bad version may get. */
const EXPOSED_SHARE = 0.1;
const EXPOSED_CALLS = 50;

testing.test("a version that answers several times slower is rolled back after a small share of the calls", async () => {
    await using fleet = await fleets.SoakFleet.start();
    let isOver = false;
    const callers = Array.from({ length: CALLERS }, async (_, index) => {
        const { random } = new simulationClock.SimulationClock(SEED + index);
        while (!isOver) {
            await fleet.review([], random);
            await standIns.pause(CALL_PAUSE_MS);
        }
    });
    await standIns.pause(CALM_MS);
    const before = fleet.log.runs.length;
    fleet.orderRollout(NEW_VERSION, DURATION_S);
    await fleet.startVersion(NEW_VERSION, NEW_WORKERS, SLOWNESS);
    await standIns.pause(DURATION_S * 1000);
    isOver = true;
    await Promise.all(callers);
    const runs = fleet.log.runs.slice(before);
    const exposed = runs.filter(run => run.software === NEW_VERSION).length;
    assert.ok(exposed > 0, "the version is tried");
    assert.ok(exposed <= runs.length * EXPOSED_SHARE + EXPOSED_CALLS, `${exposed} of ${runs.length} calls`);
    const { state, target } = fleet.rolloutStatus() as { readonly state: string; readonly target: string; };
    assert.deepEqual([state, target], ["rolled_back", NEW_VERSION]);
});
