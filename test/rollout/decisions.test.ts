/** Decisions and in-memory state of version rollouts. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as boards from "../../src/daemon/board.js";
import * as manifest from "../../src/manifest/types.js";
import * as outcomeTotals from "../../src/rollout/collection.js";
import * as orderHandlers from "../../src/rollout/order-handler.js";
import * as orderPlans from "../../src/rollout/order-plan.js";
import * as outcomeCounters from "../../src/rollout/outcome-counter.js";
import * as pacing from "../../src/rollout/pacing.js";
import * as sequentialTests from "../../src/rollout/sequential-test.js";
import * as servingPolicies from "../../src/rollout/serving-policy.js";
import * as trafficSplitters from "../../src/rollout/traffic-splitter.js";
import * as transitions from "../../src/rollout/transition.js";
import * as types from "../../src/rollout/types.js";
import * as versionSelectors from "../../src/rollout/version-selector.js";
import * as simulationClock from "../support/simulation-clock.js";

const SEED = 25_001;
const DEADLINE = 1_000_000;

const rollout: manifest.Rollout = {
    name: "spring",
    model: "menu",
    from: "v1",
    to: "v2",
    steps: [0.05, 0.25, 0.5, 1],
    deadline: DEADLINE,
    stepMs: 3000,
};
const model: manifest.Model = {
    name: "menu",
    weightsVersion: "v1",
    adapters: [],
    pieceTokens: 1024,
    parallelLoads: 2,
};
const configuration: manifest.Configuration = {
    ...manifest.emptyConfiguration,
    version: 1,
    models: new Map([["menu", model]]),
    rollouts: [rollout],
};

function statusWith(changes: Partial<types.RolloutStatus>): types.RolloutStatus {
    const { name, model: modelName, from, to } = rollout;
    const identity = { rollout: name, model: modelName, from, to };
    return { ...identity, phase: "shifting", share: 0.25, fencingNumber: 3, reason: "", changedAt: 0, ...changes };
}

function rolloutsWith(changes: Partial<types.RolloutStatus>, vetoes: readonly string[] = []): types.Rollouts {
    return { version: 1, statuses: [statusWith(changes)], vetoes: new Set(vetoes) };
}

function boardWith(rollouts: types.Rollouts, active = configuration): boards.Board {
    const board = boards.createBoard();
    board.write("configuration", active);
    board.write("rollouts", rollouts);
    return board;
}

function createSelector(board: boards.Board, isServable = true): versionSelectors.VersionSelector {
    return new versionSelectors.VersionSelector({ board, wallTime: () => 0, isServable: () => isServable });
}

testing.describe("effective share", () => {
    testing.test("a rollout past its deadline has no share unless it is done", () => {
        assert.equal(servingPolicies.effectiveShare(rollout, rolloutsWith({}), DEADLINE - 1), 0.25);
        assert.equal(servingPolicies.effectiveShare(rollout, rolloutsWith({}), DEADLINE), 0);
        assert.equal(servingPolicies.effectiveShare(rollout, rolloutsWith({ phase: "done" }), DEADLINE), 1);
        assert.ok(servingPolicies.isWithdrawn(rollout, rolloutsWith({}), DEADLINE));
    });

    testing.test("a veto overrides every status, and does not apply to other versions under the same name", () => {
        const vetoes = [types.identityOf(rollout)];
        for (const phase of ["loading", "shifting", "done"] as const) {
            assert.equal(servingPolicies.effectiveShare(rollout, rolloutsWith({ phase }, vetoes), 0), 0);
        }
        const reused = { ...rollout, to: "v3" };
        assert.equal(servingPolicies.effectiveShare(reused, rolloutsWith({ to: "v3" }, vetoes), 0), 0.25);
        assert.equal(servingPolicies.effectiveShare(reused, rolloutsWith({ phase: "done" }), 0), 0);
        assert.equal(servingPolicies.effectiveShare({ ...rollout, deadline: 9 }, rolloutsWith({}, vetoes), 0), 0);
    });

    testing.test("the new version of a rollout removed from the manifest before it was done serves nothing", () => {
        const without = { ...configuration, rollouts: [] };
        assert.ok(!servingPolicies.mayRun(without, rolloutsWith({}), model, "v2", 0));
        const adopted = { ...model, weightsVersion: "v2" };
        assert.ok(servingPolicies.mayRun(without, rolloutsWith({ phase: "done" }), adopted, "v1", 0));
        assert.ok(!servingPolicies.mayRun(without, rolloutsWith({ phase: "rolled-back" }), adopted, "v1", 0));
    });
});

testing.describe("traffic splitter", () => {
    testing.test("the new version never gets more than the sum of the shares of all requests", () => {
        const request = fastCheck.record({
            share: fastCheck.constantFrom(0, 0.01, 0.05, 0.25, 0.5, 1),
            length: fastCheck.integer({ min: 1, max: 300 }),
            isServable: fastCheck.boolean(),
        });
        fastCheck.assert(
            fastCheck.property(fastCheck.array(request, { maxLength: 20 }), phases => {
                const counter = new trafficSplitters.TrafficSplitter();
                let allowed = 0;
                let assigned = 0;
                for (const phase of phases) {
                    for (let index = 0; index < phase.length; index++) {
                        allowed += phase.share;
                        assigned += Number(counter.assign(phase.share, phase.isServable));
                        assert.ok(assigned <= allowed + 1e-9);
                    }
                }
            }),
            { seed: SEED, numRuns: 300 },
        );
    });

    testing.test("a small share is assigned in bursts and completely", () => {
        const counter = new trafficSplitters.TrafficSplitter();
        const assigned = Array.from({ length: 10_000 }, () => counter.assign(0.05, true));
        const total = assigned.filter(Boolean).length;
        const bursts = assigned.filter((isNew, index) => isNew && !assigned[index - 1]).length;
        assert.ok(total > 480 && total <= 500, String(total));
        assert.ok(total / bursts >= 14, `${bursts} bursts`);
    });
});

testing.describe("sequential test", () => {
    const ERROR = 0.05;

    /** Returns whether the test finds the new version worse after any of the requests. */
    function isEverSignificant(
        random: () => number,
        oldRate: number,
        newRate: number,
        requests: number,
        oldRequests = 5 * requests,
    ): boolean {
        const baseline = { count: 0, faults: 0 };
        const candidate = { count: 0, faults: 0 };
        for (let index = 0; index < requests; index++) {
            while (baseline.count < oldRequests * (index + 1) / requests) {
                baseline.count++;
                baseline.faults += Number(random() < oldRate);
            }
            candidate.count++;
            candidate.faults += Number(random() < newRate);
            if (sequentialTests.isSignificantlyWorse(baseline, candidate, ERROR)) {
                return true;
            }
        }
        return false;
    }

    testing.test("evaluating the test after each request keeps the false positive rate for equal versions", () => {
        const random = simulationClock.randomGenerator(SEED);
        for (const rate of [0.01, 0.05, 0.3]) {
            const falsePositives = Array.from({ length: 200 }, () => isEverSignificant(random, rate, rate, 300)).filter(
                Boolean,
            );
            assert.ok(falsePositives.length <= 200 * ERROR, `${falsePositives.length} of 200 at rate ${rate}`);
        }
    });

    testing.test("few requests of the old version don't increase the false positive rate", () => {
        const random = simulationClock.randomGenerator(SEED);
        const falsePositives = Array.from({ length: 200 }, () => isEverSignificant(random, 0.1, 0.1, 300, 20)).filter(
            Boolean,
        );
        assert.ok(falsePositives.length <= 200 * ERROR, `${falsePositives.length} of 200`);
    });

    testing.test("rates up to the minimum null rate don't increase the false positive rate", () => {
        const random = simulationClock.randomGenerator(SEED);
        const falsePositives = Array.from({ length: 200 }, () => isEverSignificant(random, 0, 0.01, 300)).filter(
            Boolean,
        );
        assert.ok(falsePositives.length <= 200 * ERROR, `${falsePositives.length} of 200`);
    });

    testing.test("a clearly worse version is detected", () => {
        const random = simulationClock.randomGenerator(SEED);
        const detections = Array.from({ length: 100 }, () => isEverSignificant(random, 0.02, 0.2, 300)).filter(Boolean);
        assert.equal(detections.length, 100);
    });

    testing.test("without requests of the old version no result is significant", () => {
        const candidate = { count: 500, faults: 500 };
        assert.ok(!sequentialTests.isSignificantlyWorse({ count: 0, faults: 0 }, candidate, ERROR));
    });

    testing.test("the upper bound covers the rate at all times simultaneously", () => {
        const random = simulationClock.randomGenerator(SEED);
        const misses = Array.from({ length: 200 }, () => {
            const tally = { count: 0, faults: 0 };
            return Array.from({ length: 500 }).some(() => {
                tally.count++;
                tally.faults += Number(random() < 0.1);
                return sequentialTests.upperBound(tally, ERROR) < 0.1;
            });
        }).filter(Boolean);
        assert.ok(misses.length <= 200 * ERROR, `${misses.length} of 200`);
    });
});

testing.describe("outcome counter", () => {
    const request = { model: "menu", weightsVersion: "v2", route: "chat", backendBoot: "b", loadLevel: "low" as const };
    const identity = types.identityOf(rollout);

    function createCounter(): outcomeCounters.OutcomeCounter {
        return new outcomeCounters.OutcomeCounter(boardWith(rolloutsWith({})), () => 0);
    }

    testing.test("one crash counts as one failure, however many requests it ends", () => {
        const counter = createCounter();
        const open = Array.from({ length: 8 }, () => counter.begin(request, 0));
        open.forEach(outcome => outcome?.end(10, { kind: "engine-connection-lost", detail: "" }));
        assert.deepEqual(counter.counts(identity, 10).map(count => count.failed), [1]);
    });

    testing.test("a request without a first token counts as slow before it ends, and only once", () => {
        const counter = createCounter();
        const outcome = counter.begin(request, 0);
        assert.deepEqual(counter.counts(identity, 1100), []);
        assert.deepEqual(counter.counts(identity, 1101).map(count => count.slow), [1]);
        outcome?.end(30_000, { kind: "engine-cancelled", detail: "" });
        assert.deepEqual(counter.counts(identity, 30_000).map(count => count.finished), [1]);
    });

    testing.test("slow token gaps count; a cancelled fast request does not", () => {
        const counter = createCounter();
        const slow = counter.begin(request, 0);
        [100, 160, 220, 280, 340].forEach(at => slow?.recordToken(at));
        slow?.end(340);
        const cancelled = counter.begin(request, 0);
        cancelled?.recordToken(50);
        cancelled?.end(60, { kind: "engine-cancelled", detail: "" });
        const [count] = counter.counts(identity, 400);
        assert.deepEqual([count.finished, count.slow, count.failed], [1, 1, 0]);
    });

    testing.test("the coordinator keeps the counts of an agent across its restart", () => {
        const totals = new outcomeTotals.OutcomeTotals();
        const count = { weightsVersion: "v2", route: "chat", loadLevel: "low" as const, failed: 1, slow: 0 };
        const reply = (boot: string, finished: number) => ({
            agent: { address: "agent", boot },
            counts: [{ ...count, finished }],
        });
        [reply("a", 5), reply("a", 7), reply("b", 2)].forEach(item => totals.add(item));
        assert.deepEqual(totals.total().map(total => [total.finished, total.failed]), [[9, 2]]);
    });

    testing.test("routes beyond the limit share one cell", () => {
        const counter = createCounter();
        for (let index = 0; index < 1000; index++) {
            counter.begin({ ...request, route: `route-${index}` }, 0)?.end(1);
        }
        assert.equal(counter.counts(identity, 1).length, 16);
    });
});

testing.describe("version selector", () => {
    testing.test("a request for which no server has the new version goes to the old one", () => {
        const selector = createSelector(boardWith(rolloutsWith({ share: 1 })), false);
        assert.ok(Array.from({ length: 50 }, () => selector.choose(model)).every(version => version === "v1"));
    });

    testing.test("a continuation stays on its version unless that was withdrawn", () => {
        const board = boardWith(rolloutsWith({}));
        const selector = createSelector(board);
        assert.deepEqual(selector.versionsFor(model, "v2", "none"), ["v2", "v1"]);
        assert.deepEqual(selector.versionsFor(model, "v1", "none"), ["v1"]);
        assert.deepEqual(selector.versionsFor(model, "v2", "refused"), ["v1"]);
        board.write("rollouts", rolloutsWith({}, [types.identityOf(rollout)]));
        assert.deepEqual(selector.versionsFor(model, "v2", "none"), ["v1"]);
    });

    testing.test("a request that failed on the new version before its first token is retried on the old one", () => {
        const selector = createSelector(boardWith(rolloutsWith({})));
        assert.deepEqual(selector.versionsFor(model, "v2", "failed"), ["v1", "v2"]);
        assert.deepEqual(selector.versionsFor(model, "v1", "failed"), ["v1"]);
    });

    testing.test("a stream on the old version continues after the end of its rollout", () => {
        const adopted = {
            ...configuration,
            rollouts: [],
            models: new Map([["menu", { ...model, weightsVersion: "v2" }]]),
        };
        const selector = createSelector(boardWith(rolloutsWith({ phase: "done" }), adopted));
        assert.deepEqual(selector.versionsFor(model, "v1", "none"), ["v1", "v2"]);
        const removed = createSelector(boardWith(rolloutsWith({}), { ...configuration, rollouts: [] }));
        assert.deepEqual(removed.versionsFor(model, "v2", "none"), ["v1"]);
    });
});

testing.describe("orders", () => {
    const order = { kind: "load-weights" as const, model: "menu", weightsVersion: "v2" };

    function createHandler(board: boards.Board, fencingNumbers: number[]): orderHandlers.OrderHandler {
        const engine = {
            order: async (given: { readonly fencingNumber: number; }) => {
                fencingNumbers.push(given.fencingNumber);
                return { ok: true as const, value: [] };
            },
        };
        return new orderHandlers.OrderHandler({ board, engine, wallTime: () => 0 });
    }

    testing.test("an agent rejects a lower fencing number, even after its restart", async () => {
        const fencingNumbers: number[] = [];
        const board = boardWith(rolloutsWith({ fencingNumber: 3 }));
        const handler = createHandler(board, fencingNumbers);
        assert.ok((await handler.execute({ ...order, fencingNumber: 5 })).ok);
        assert.ok(!(await handler.execute({ ...order, fencingNumber: 4 })).ok);
        const restarted = createHandler(board, fencingNumbers);
        assert.ok(!(await restarted.execute({ ...order, fencingNumber: 2 })).ok);
        assert.deepEqual(fencingNumbers, [5]);
    });

    testing.test("an agent refuses to unload weights that are in use", async () => {
        const fencingNumbers: number[] = [];
        const unload = { ...order, kind: "unload-weights" as const, fencingNumber: 9 };
        assert.ok(
            !(await createHandler(boardWith(rolloutsWith({})), fencingNumbers).execute({
                ...unload,
                weightsVersion: "v1",
            })).ok,
        );
        assert.ok(!(await createHandler(boardWith(rolloutsWith({})), fencingNumbers).execute(unload)).ok);
        assert.ok(
            (await createHandler(boardWith(rolloutsWith({ phase: "rolled-back" })), fencingNumbers).execute(unload)).ok,
        );
    });

    testing.test("no more servers load concurrently than the manifest allows", () => {
        const servers = Array.from({ length: 10 }, (_, index) => ({
            address: `agent-${index}`,
            models: ["menu"],
            weights: ["menu@v1"],
            isBackingOff: index === 0,
        }));
        const input = { configuration, rollouts: rolloutsWith({ phase: "done" }), servers, wallTime: 0 };
        const first = orderPlans.nextOrders({ ...input, inFlight: [], awaitingVisibility: new Set() });
        assert.equal(first.length, 2);
        const second = orderPlans.nextOrders({
            ...input,
            inFlight: [first[0]],
            awaitingVisibility: new Set([first[1].address]),
        });
        assert.equal(second.length, 1);
        assert.ok(![...first, ...second].some(given => given.address === "agent-0"));
        assert.equal(new Set([...first, ...second].map(given => given.address)).size, 3);
    });
});

testing.describe("transitions", () => {
    const observation = {
        vetoReason: undefined,
        suspectedRegression: undefined,
        serverCount: 8,
        loadedCount: 8,
        hasSufficientRequests: false,
    };
    const beforeEnd = DEADLINE - 4000;

    testing.test("a suspected regression holds a step beyond its time budget, a lack of requests doesn't", () => {
        const status = statusWith({ share: 0.05 });
        assert.equal(transitions.advance(rollout, status, observation, 3, beforeEnd).share, 0.25);
        const suspected = { ...observation, suspectedRegression: "2 of 9 requests failed" };
        assert.equal(transitions.advance(rollout, status, suspected, 3, beforeEnd), status);
        assert.match(transitions.advance(rollout, status, suspected, 3, DEADLINE).reason, /deadline.*2 of 9/);
    });

    testing.test("a rollback is final, even without a veto and before the deadline", () => {
        const status = statusWith({ phase: "rolled-back", share: 0, reason: "removed" });
        assert.equal(transitions.advance(rollout, status, observation, 3, beforeEnd), status);
    });

    testing.test("no rollout is completed so late that its status takes effect after the deadline", () => {
        const status = statusWith({ share: 1, changedAt: 0 });
        assert.equal(transitions.advance(rollout, status, observation, 3, beforeEnd + 1500).phase, "done");
        assert.equal(transitions.advance(rollout, status, observation, 3, DEADLINE - 1000).phase, "shifting");
    });
});

testing.describe("pacing", () => {
    testing.test("steps that use their whole time budget end before the deadline", () => {
        const durations = fastCheck.integer({ min: 20_000, max: 5_000_000 });
        fastCheck.assert(
            fastCheck.property(durations, fastCheck.integer({ min: 1, max: 600_000 }), (durationMs, stepMs) => {
                const paced = { ...rollout, deadline: durationMs, stepMs };
                let wallTime = 0;
                for (const share of paced.steps) {
                    const status = statusWith({ share, changedAt: wallTime });
                    wallTime += Math.max(pacing.stepBudgetMs(paced, status), 0);
                    assert.ok(pacing.mayEndStep(paced, status, false, wallTime));
                }
                assert.ok(pacing.mayComplete(paced, wallTime));
            }),
            { seed: SEED, numRuns: 200 },
        );
    });

    testing.test("a near deadline doesn't shorten a step below the time for its counts", () => {
        const late = { ...rollout, deadline: 1000 };
        assert.ok(!pacing.mayEndStep(late, statusWith({ changedAt: 900 }), true, 901));
    });
});
