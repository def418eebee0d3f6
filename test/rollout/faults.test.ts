/**
 * Rollouts with faults of the object API, coordinators, agents and engines, and with manifest changes by operators.
 *
 * Guards against two coordinators that both take effect, against requests on a vetoed version during an outage, and
 * against rollouts that hang or restart after they ended.
 */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as manifest from "../../src/manifest/types.js";
import type * as memoryStores from "../support/memory-object-store.js";
import * as fleets from "./fleet.js";

const SEED = 25_031;
const WITHDRAWAL_LIMIT_MS = 2000;
const badFault: fleets.Fault = { ...fleets.noFault, effect: "fail", rate: 0.5 };

async function withFleet(options: fleets.FleetOptions, use: (fleet: fleets.Fleet) => Promise<void>): Promise<void> {
    const fleet = new fleets.Fleet(options);
    try {
        await use(fleet);
    }
    finally {
        await fleet.stop();
    }
}

function changeRollout(fleet: fleets.Fleet, changes: Partial<manifest.Rollout>): void {
    const [rollout] = fleet.configuration.rollouts;
    fleet.configure({ ...fleet.configuration, version: 2, rollouts: [{ ...rollout, ...changes }] });
}

async function untilShifting(fleet: fleets.Fleet): Promise<void> {
    await fleet.run(10_000, () => fleet.status?.phase === "shifting");
    assert.equal(fleet.status?.phase, "shifting");
}

/** Checks that the fencing numbers of executed orders and of written statuses never decrease. */
function checkFencing(fleet: fleets.Fleet): void {
    for (const agent of fleet.agents) {
        const { orderFencingNumbers } = agent;
        assert.ok(
            orderFencingNumbers.every((number, index) => index === 0 || number >= orderFencingNumbers[index - 1]),
            `${agent.address}: ${orderFencingNumbers.join(" ")}`,
        );
    }
    for (const [index, statuses] of fleet.statusHistory.entries()) {
        for (const before of fleet.statusHistory[index - 1] ?? []) {
            const after = statuses.find(status => status.to === before.to);
            assert.ok(
                after === undefined || after.fencingNumber >= before.fencingNumber,
                "the fencing number of a status decreased",
            );
        }
    }
}

testing.describe("rollouts under faults", () => {
    testing.test("during a store outage a bad version is vetoed and gets no requests after 2 s", async () => {
        for (let run = 0; run < 10; run++) {
            const fault = { ...badFault, afterRequests: 40 };
            await withFleet({ seed: SEED + run, fault }, async fleet => {
                await untilShifting(fleet);
                fleet.store.fault = "outage";
                await fleet.run(
                    40_000,
                    () => fleet.firstVeto !== undefined && fleet.clock.now() > fleet.firstVeto.at + 6000,
                );
                assert.ok(fleet.firstVeto !== undefined, "no veto without the store");
                assert.ok(fleet.lastNewVersionRequestAt <= fleet.firstVeto.at + WITHDRAWAL_LIMIT_MS);
                assert.equal(fleet.status?.phase, "shifting");
                fleet.store.fault = "none";
                await fleet.run(20_000, () => fleet.status?.phase === "rolled-back");
                assert.equal(fleet.status?.phase, "rolled-back");
            });
        }
    });

    testing.test("an agent whose own counts show a regression publishes a veto without a coordinator", async () => {
        await withFleet({ seed: SEED, fault: { ...badFault, rate: 1 } }, async fleet => {
            fleet.dropsOutcomeReplies = true;
            await fleet.runUntilDeadline(() => fleet.status?.phase === "rolled-back");
            assert.match(fleet.status?.reason ?? "", /failed on route/);
            assert.ok(fleet.status !== undefined && fleet.status.changedAt < fleet.rollout.deadline);
        });
    });

    testing.test("during an outage a rollout past its deadline gets no requests, and is rolled back afterwards", async () => {
        await withFleet({ seed: SEED, deadlineMs: 20_000 }, async fleet => {
            await untilShifting(fleet);
            fleet.store.fault = "outage";
            const startedAt = fleet.clock.now();
            await fleet.run(25_000);
            const lastWallTime = fleet.clock.wallTime() - (fleet.clock.now() - fleet.lastNewVersionRequestAt);
            assert.ok(fleet.lastNewVersionRequestAt > startedAt, "the share was not kept during the outage");
            assert.ok(lastWallTime <= fleet.rollout.deadline);
            fleet.store.fault = "none";
            await fleet.run(10_000, () => fleet.status?.phase === "rolled-back");
            assert.match(fleet.status?.reason ?? "", /deadline/);
        });
    });

    testing.test("two coordinators never both take effect, with pauses, restarts and lost responses", async () => {
        const event = fastCheck.record({
            atMs: fastCheck.integer({ min: 500, max: 30_000 }),
            kind: fastCheck.constantFrom("pause-holder", "pause-holder", "restart", "crash", "lose-answers", "outage"),
            durationMs: fastCheck.integer({ min: 100, max: 9000 }),
            target: fastCheck.integer({ min: 0, max: 7 }),
        });
        const schedule = fastCheck.record({
            seed: fastCheck.integer({ min: 1, max: 1_000_000 }),
            events: fastCheck.array(event, { minLength: 2, maxLength: 8 }),
        });
        let highestFencingNumber = 0;
        await fastCheck.assert(
            fastCheck.asyncProperty(schedule, async ({ seed, events }) => {
                await withFleet({ seed, deadlineMs: 45_000, orderDelayMs: 9000 }, async fleet => {
                    const setFault = async (fault: memoryStores.Fault, durationMs: number) => {
                        fleet.store.fault = fault;
                        await fleet.clock.sleep(durationMs);
                        fleet.store.fault = "none";
                    };
                    const inject = async ({ atMs, kind, durationMs, target }: typeof events[number]) => {
                        await fleet.clock.sleep(atMs);
                        const agent = kind === "pause-holder" ? fleet.coordinator() : fleet.agents[target];
                        if (kind === "lose-answers" || kind === "outage") {
                            await setFault(kind, durationMs);
                        }
                        else if (kind === "pause-holder" && agent !== undefined) {
                            agent.paused = true;
                            await fleet.clock.sleep(durationMs);
                            agent.paused = false;
                        }
                        else if (agent !== undefined) {
                            kind === "restart" ? fleet.restartAgent(agent) : fleet.crashEngine(agent);
                        }
                    };
                    events.forEach(item => void inject(item));
                    await fleet.runUntilDeadline();
                    await fleet.run(10_000);
                    checkFencing(fleet);
                    assert.equal(fleet.firstVeto, undefined, "a good version was vetoed");
                    assert.ok(fleet.status?.phase === "done" || fleet.status?.phase === "rolled-back");
                    highestFencingNumber = Math.max(highestFencingNumber, fleet.status.fencingNumber);
                });
            }),
            { seed: SEED, numRuns: 40, endOnFailure: true },
        );
        assert.ok(highestFencingNumber > 2, "the schedules caused no takeover");
    });

    testing.test("an order in flight when its sender loses the lease has no effect", async () => {
        let fenced = 0;
        for (let run = 0; run < 6; run++) {
            await withFleet({ seed: SEED + run, orderDelayMs: 20_000, deadlineMs: 120_000 }, async fleet => {
                await fleet.run(3000, () => fleet.coordinator() !== undefined && fleet.statusHistory.length > 0);
                await fleet.run(500);
                const first = fleet.coordinator();
                assert.ok(first !== undefined);
                first.paused = true;
                await fleet.run(40_000);
                checkFencing(fleet);
                fenced += fleet.fencedOrders;
            });
        }
        assert.ok(fenced > 0, "the schedules caused no late order");
    });

    testing.test("counts of all agents are collected during a store outage", async () => {
        await withFleet({ seed: SEED }, async fleet => {
            await untilShifting(fleet);
            fleet.store.fault = "outage";
            await fleet.run(10_000);
            const calls = fleet.outcomeCalls;
            await fleet.run(5000);
            assert.ok(fleet.outcomeCalls > calls + fleet.agents.length);
        });
    });

    testing.test("a coordinator that resumes after a takeover sends no orders and writes no status", async () => {
        await withFleet({ seed: SEED }, async fleet => {
            await fleet.run(5000, () => fleet.agents.some(agent => agent.orderFencingNumbers.length > 0));
            const first = fleet.coordinator();
            assert.ok(first !== undefined);
            first.paused = true;
            await fleet.run(15_000, () => (fleet.status?.fencingNumber ?? 0) >= 2);
            assert.equal(fleet.status?.fencingNumber, 2);
            first.paused = false;
            await fleet.runUntilDeadline(() => fleet.status?.phase === "done");
            assert.equal(fleet.status?.phase, "done");
            checkFencing(fleet);
        });
    });

    testing.test("the lease of a paused holder is taken over within 7 s", async () => {
        await withFleet({ seed: SEED + 1 }, async fleet => {
            await untilShifting(fleet);
            const pausedAt = fleet.clock.now();
            const first = fleet.coordinator();
            assert.ok(first !== undefined);
            first.paused = true;
            await fleet.run(20_000, () => (fleet.status?.fencingNumber ?? 0) >= 2);
            const tookMs = fleet.clock.now() - pausedAt;
            assert.ok(tookMs >= 4000 && tookMs <= 7000, `${tookMs} ms`);
        });
    });

    testing.test("an engine that lost its weights in a crash loads them again", async () => {
        await withFleet({ seed: SEED }, async fleet => {
            await untilShifting(fleet);
            const loaded = () => fleet.agents.filter(agent => agent.weights.has(`${fleets.MODEL}@${fleets.TO}`));
            loaded().forEach(agent => fleet.crashEngine(agent));
            assert.equal(loaded().length, 0);
            await fleet.run(5000, () => loaded().length > 0);
            assert.ok(loaded().length > 0);
            await fleet.runUntilDeadline(() => fleet.status?.phase === "done");
            assert.equal(fleet.status?.phase, "done");
            fleet.crashEngine(fleet.agents[0]);
            await fleet.run(10_000, () => loaded().length === fleet.agents.length);
            assert.equal(loaded().length, fleet.agents.length);
        });
    });

    testing.test("agents that restart lose counts, and a bad version is still rolled back", async () => {
        const fault: fleets.Fault = { ...fleets.noFault, effect: "slow", rate: 0.6 };
        await withFleet({ seed: SEED, fault }, async fleet => {
            await untilShifting(fleet);
            for (let round = 0; round < 4; round++) {
                await fleet.run(1500);
                fleet.agents.forEach(agent => fleet.restartAgent(agent));
            }
            await fleet.runUntilDeadline(() => fleet.status?.phase === "rolled-back");
            assert.match(fleet.status?.reason ?? "", /slow/);
        });
    });

    testing.test("a rollout removed from the manifest is rolled back and stays so when it is declared again", async () => {
        await withFleet({ seed: SEED }, async fleet => {
            await untilShifting(fleet);
            const declared = fleet.configuration;
            fleet.configure({ ...declared, version: 2, rollouts: [] });
            const removedAt = fleet.clock.now();
            const last = () => fleet.statusHistory.at(-1)?.[0];
            await fleet.run(20_000);
            assert.equal(last()?.phase, "rolled-back");
            assert.match(last()?.reason ?? "", /removed/);
            assert.ok(fleet.lastNewVersionRequestAt <= removedAt);
            assert.ok(fleet.agents.every(agent => !agent.weights.has(`${fleets.MODEL}@${fleets.TO}`)), "still loaded");
            fleet.configure({ ...declared, version: 3 });
            await fleet.run(10_000);
            assert.equal(fleet.status?.phase, "rolled-back");
            assert.ok(fleet.lastNewVersionRequestAt <= removedAt);
        });
    });

    testing.test("a reused name with another version starts a new rollout after a veto", async () => {
        await withFleet({ seed: SEED, fault: badFault }, async fleet => {
            await fleet.runUntilDeadline(() => fleet.status?.phase === "rolled-back");
            const deadline = fleet.clock.wallTime() + 60_000;
            changeRollout(fleet, { to: "v3", deadline });
            await fleet.run(50_000, () => (fleet.status?.share ?? 0) >= 0.05);
            assert.equal(fleet.status?.to, "v3");
            assert.equal(fleet.status?.phase, "shifting");
            assert.ok(fleet.statusHistory.at(-1)?.some(status => status.to === "v2" && status.phase === "rolled-back"));
        });
    });

    testing.test("a later deadline doesn't lift a veto, and an earlier one ends the rollout", async () => {
        await withFleet({ seed: SEED, fault: badFault }, async fleet => {
            await fleet.runUntilDeadline(() => fleet.status?.phase === "rolled-back");
            changeRollout(fleet, { deadline: fleet.rollout.deadline + 600_000 });
            const requests = fleet.newVersionRequests;
            await fleet.run(10_000);
            assert.equal(fleet.status?.phase, "rolled-back");
            assert.equal(fleet.newVersionRequests, requests);
        });
        await withFleet({ seed: SEED }, async fleet => {
            await untilShifting(fleet);
            changeRollout(fleet, { deadline: fleet.clock.wallTime() });
            await fleet.run(3000);
            assert.match(fleet.status?.reason ?? "", /deadline/);
        });
    });

    testing.test("after the manifest adopts the new version the old weights are unloaded and the lease is released", async () => {
        await withFleet({ seed: SEED, deadlineMs: 30_000 }, async fleet => {
            await fleet.runUntilDeadline(() => fleet.status?.phase === "done");
            await fleet.run(15_000);
            const { models } = fleet.configuration;
            const model = { ...models.get(fleets.MODEL) as manifest.Model, weightsVersion: fleets.TO };
            const adopted = {
                ...fleet.configuration,
                version: 2,
                rollouts: [],
                models: new Map([[model.name, model]]),
            };
            fleet.configure(adopted);
            await fleet.run(40_000);
            assert.ok(fleet.agents.every(agent => [...agent.weights].join() === `${fleets.MODEL}@${fleets.TO}`));
            const { writes } = fleet.store;
            await fleet.run(20_000);
            assert.equal(fleet.store.writes, writes, "the lease is renewed without a rollout");
        });
    });
});
