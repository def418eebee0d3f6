/**
 * Complete rollouts in virtual time, with the production controllers, counters and version selection.
 *
 * Guards against a bad version that is not rolled back or gets more than its share before the first veto, and against a
 * good version that is rolled back or misses its deadline.
 */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as fleets from "./fleet.js";

const SEED = 25_012;
const WITHDRAWAL_LIMIT_MS = 2000;
const FIRST_SHARE = 0.05;

const effect = fastCheck.constantFrom<fleets.Fault["effect"]>("fail", "slow");
const rate = fastCheck.double({ min: 0.25, max: 1, noNaN: true });
const seed = fastCheck.integer({ min: 1, max: 1_000_000 });

const immediate = fastCheck.record({ effect, rate, seed }).map(fault => ({ ...fleets.noFault, ...fault }));
const onOneRoute = immediate.map(fault => ({ ...fault, onlyRoute: "review" }));
const underLoad = immediate.map(fault => ({ ...fault, onlyUnderLoad: true }));
const delayed = fastCheck.record({ fault: immediate, afterRequests: fastCheck.integer({ min: 20, max: 1500 }) })
    .map(({ fault, afterRequests }) => ({ ...fault, afterRequests }));

type SeededFault = fleets.Fault & { readonly seed: number; };

async function runBad(fault: SeededFault): Promise<fleets.Fleet> {
    const { seed: fleetSeed, ...fleetFault } = fault;
    const fleet = new fleets.Fleet({ seed: fleetSeed, fault: fleetFault });
    const isVetoPropagated = () => fleet.firstVeto !== undefined && fleet.clock.now() - fleet.firstVeto.at > 5000;
    await fleet.runUntilDeadline(isVetoPropagated);
    await fleet.stop();
    return fleet;
}

function checkBad(fleet: fleets.Fleet): void {
    const { firstVeto, status } = fleet;
    assert.ok(firstVeto !== undefined, "no veto");
    assert.equal(status?.phase, "rolled-back");
    assert.ok(status.changedAt < fleet.rollout.deadline, "rolled back after the deadline");
    assert.match(status.reason, /requests (failed|slow) on route/);
    assert.ok(fleet.lastNewVersionRequestAt <= firstVeto.at + WITHDRAWAL_LIMIT_MS, "requests too long after the veto");
}

function testBad(
    name: string,
    faults: fastCheck.Arbitrary<SeededFault>,
    numRuns: number,
    check: (fleet: fleets.Fleet) => void,
): void {
    testing.test(name, async context => {
        let maximumExposure = 0;
        await fastCheck.assert(
            fastCheck.asyncProperty(faults, async fault => {
                const fleet = await runBad(fault);
                checkBad(fleet);
                check(fleet);
                const { newVersionRequests = 0, requests = 1 } = fleet.firstVeto ?? {};
                maximumExposure = Math.max(maximumExposure, newVersionRequests / requests);
            }),
            { seed: SEED, numRuns, endOnFailure: true },
        );
        context.diagnostic(`maximum exposure before a veto: ${(maximumExposure * 100).toFixed(2)}%`);
    });
}

function checkFirstShare(fleet: fleets.Fleet): void {
    const { newVersionRequests = 0, requests = 0 } = fleet.firstVeto ?? {};
    assert.ok(
        newVersionRequests <= FIRST_SHARE * requests,
        `${newVersionRequests} of ${requests} requests before the veto`,
    );
}

testing.describe("rollback decisions", () => {
    testBad("40 versions that are bad from the start are rolled back within 5%", immediate, 40, checkFirstShare);
    testBad("20 versions that are bad on one route are rolled back within 5%", onOneRoute, 20, checkFirstShare);
    testBad("20 versions that are bad under load only are rolled back within 5%", underLoad, 20, checkFirstShare);
    testBad("20 versions that become bad later are rolled back", delayed, 20, () => undefined);

    testing.test("at least 99 of 100 good versions are done before the deadline and none is vetoed", async context => {
        let done = 0;
        let vetoed = 0;
        for (let run = 0; run < 100; run++) {
            const fleet = new fleets.Fleet({ seed: SEED + run });
            await fleet.runUntilDeadline(() => fleet.status?.phase === "done");
            await fleet.stop();
            done += Number(fleet.status?.phase === "done" && fleet.status.changedAt < fleet.rollout.deadline);
            vetoed += Number(fleet.firstVeto !== undefined);
        }
        context.diagnostic(`done in time: ${done} of 100; vetoed: ${vetoed}`);
        assert.ok(done >= 99, `${done} done in time`);
        assert.equal(vetoed, 0);
    });
});
