/** Guards against changes that entries miss after the store came back from an older copy. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as fleets from "./soak-fleet.js";
import * as standIns from "./stand-ins.js";

/** Changes that the store loses; more than are written again. */
const LOST_CHANGES = 40;
const AWAY_MS = 400;
/** Time in milliseconds within which a change has to be in force at all entries. */
const APPLY_MS = 2000;
const ADDED_ROUTE = "/added/";
const LATER_ROUTE = "/later/";

async function statusesAfter(fleet: fleets.SoakFleet, routePath: string): Promise<readonly (number | undefined)[]> {
    await standIns.pause(APPLY_MS);
    return (await fleet.callAddedRoute(routePath)).map(call => call.status);
}

testing.test("restored store: guards against an added route that is not served, and against a lost one that ceases to be", async () => {
    await using fleet = await fleets.SoakFleet.start();
    await standIns.pause(500);
    const startedAt = performance.now();
    fleet.addRoute(ADDED_ROUTE);
    for (let change = 0; change < LOST_CHANGES; change++) {
        fleet.publishConfiguration();
        await standIns.pause(2);
    }
    assert.deepEqual(await statusesAfter(fleet, ADDED_ROUTE), [200, 200, 200]);
    await fleet.restoreStore(performance.now() - startedAt + AWAY_MS, AWAY_MS);
    assert.deepEqual(await statusesAfter(fleet, ADDED_ROUTE), [200, 200, 200]);
    fleet.addRoute(LATER_ROUTE);
    assert.deepEqual(await statusesAfter(fleet, LATER_ROUTE), [200, 200, 200]);
    fleet.publishNextWeights();
    await fleet.restoreStore(APPLY_MS, AWAY_MS);
    fleet.publishNextWeights();
    assert.deepEqual(await statusesAfter(fleet, LATER_ROUTE), [200, 200, 200]);
    assert.deepEqual(fleet.violations(), []);
});
