/** Pure decisions of version rollouts. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as boards from "../../src/daemon/board.js";
import * as manifest from "../../src/manifest/types.js";
import * as collections from "../../src/rollout/collection.js";
import * as effects from "../../src/rollout/effect.js";
import * as orderGates from "../../src/rollout/order-gate.js";
import * as orderPlans from "../../src/rollout/order-plan.js";
import * as outcomeCounters from "../../src/rollout/outcome-counter.js";
import * as pacing from "../../src/rollout/pacing.js";
import * as progress from "../../src/rollout/progress.js";
import * as sequentialTests from "../../src/rollout/sequential-test.js";
import * as shareCounters from "../../src/rollout/share-counter.js";
import * as types from "../../src/rollout/types.js";
import * as versionChoices from "../../src/rollout/version-choice.js";
import * as virtualTime from "../support/virtual-time.js";

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

function boardWith(rollouts: types.Rollouts, inForce = configuration): boards.Board {
    const board = boards.createBoard();
    board.write("configuration", inForce);
    board.write("rollouts", rollouts);
    return board;
}

function choiceOn(board: boards.Board, isServable = true): versionChoices.VersionChoice {
    return new versionChoices.VersionChoice({ board, wallTime: () => 0, isServable: () => isServable });
}

testing.describe("effective share", () => {
    testing.test("a rollout past its deadline has no share unless it is done", () => {
        assert.equal(effects.effectiveShare(rollout, rolloutsWith({}), DEADLINE - 1), 0.25);
        assert.equal(effects.effectiveShare(rollout, rolloutsWith({}), DEADLINE), 0);
        assert.equal(effects.effectiveShare(rollout, rolloutsWith({ phase: "done" }), DEADLINE), 1);
        assert.ok(effects.isWithdrawn(rollout, rolloutsWith({}), DEADLINE));
    });

    testing.test("a veto outweighs every status, and binds no other versions under the same name", () => {
        const vetoes = [types.identityOf(rollout)];
        for (const phase of ["loading", "shifting", "done"] as const) {
            assert.equal(effects.effectiveShare(rollout, rolloutsWith({ phase }, vetoes), 0), 0);
        }
        const reused = { ...rollout, to: "v3" };
        assert.equal(effects.effectiveShare(reused, rolloutsWith({ to: "v3" }, vetoes), 0), 0.25);
        assert.equal(effects.effectiveShare(reused, rolloutsWith({ phase: "done" }), 0), 0);
        assert.equal(effects.effectiveShare({ ...rollout, deadline: 9 }, rolloutsWith({}, vetoes), 0), 0);
    });

    testing.test("the new version of a rollout that left the manifest unfinished runs nothing", () => {
        const without = { ...configuration, rollouts: [] };
        assert.ok(!effects.mayRun(without, rolloutsWith({}), model, "v2", 0));
        const adopted = { ...model, weightsVersion: "v2" };
        assert.ok(effects.mayRun(without, rolloutsWith({ phase: "done" }), adopted, "v1", 0));
        assert.ok(!effects.mayRun(without, rolloutsWith({ phase: "rolled-back" }), adopted, "v1", 0));
    });
});

testing.describe("share counter", () => {
    testing.test("the new version never has more than the sum of the shares of all requests", () => {
        const request = fastCheck.record({
            share: fastCheck.constantFrom(0, 0.01, 0.05, 0.25, 0.5, 1),
            length: fastCheck.integer({ min: 1, max: 300 }),
            isServable: fastCheck.boolean(),
        });
        fastCheck.assert(
            fastCheck.property(fastCheck.array(request, { maxLength: 20 }), phases => {
                const counter = new shareCounters.ShareCounter();
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

    testing.test("a small share comes in bursts and is used up", () => {
        const counter = new shareCounters.ShareCounter();
        const assigned = Array.from({ length: 10_000 }, () => counter.assign(0.05, true));
        const total = assigned.filter(Boolean).length;
        const bursts = assigned.filter((isNew, index) => isNew && !assigned[index - 1]).length;
        assert.ok(total > 480 && total <= 500, String(total));
        assert.ok(total / bursts >= 14, `${bursts} bursts`);
    });
});

testing.describe("sequential test", () => {
    const ERROR = 0.05;

    /** Runs until the limit and returns whether the new version was ever proved worse. */
    function isEverProved(
        random: () => number,
        oldRate: number,
        newRate: number,
        requests: number,
        oldRequests = 5 * requests,
    ): boolean {
        const old = { count: 0, faults: 0 };
        const fresh = { count: 0, faults: 0 };
        for (let index = 0; index < requests; index++) {
            while (old.count < oldRequests * (index + 1) / requests) {
                old.count++;
                old.faults += Number(random() < oldRate);
            }
            fresh.count++;
            fresh.faults += Number(random() < newRate);
            if (sequentialTests.isProvedWorse(old, fresh, ERROR)) {
                return true;
            }
        }
        return false;
    }

    testing.test("looking after each request proves an equal version bad no more often than stated", () => {
        const random = virtualTime.generator(SEED);
        for (const rate of [0.01, 0.05, 0.3]) {
            const alarms = Array.from({ length: 200 }, () => isEverProved(random, rate, rate, 300)).filter(Boolean);
            assert.ok(alarms.length <= 200 * ERROR, `${alarms.length} of 200 at rate ${rate}`);
        }
    });

    testing.test("few requests of the old version make a proof harder, not easier", () => {
        const random = virtualTime.generator(SEED);
        const alarms = Array.from({ length: 200 }, () => isEverProved(random, 0.1, 0.1, 300, 20)).filter(Boolean);
        assert.ok(alarms.length <= 200 * ERROR, `${alarms.length} of 200`);
    });

    testing.test("rates up to the minimum are never held against the new version", () => {
        const random = virtualTime.generator(SEED);
        const alarms = Array.from({ length: 200 }, () => isEverProved(random, 0, 0.01, 300)).filter(Boolean);
        assert.ok(alarms.length <= 200 * ERROR, `${alarms.length} of 200`);
    });

    testing.test("a clearly worse version is proved bad", () => {
        const random = virtualTime.generator(SEED);
        const proofs = Array.from({ length: 100 }, () => isEverProved(random, 0.02, 0.2, 300)).filter(Boolean);
        assert.equal(proofs.length, 100);
    });

    testing.test("without requests of the old version nothing is proved", () => {
        const fresh = { count: 500, faults: 500 };
        assert.ok(!sequentialTests.isProvedWorse({ count: 0, faults: 0 }, fresh, ERROR));
    });

    testing.test("the upper bound covers the rate at all times together", () => {
        const random = virtualTime.generator(SEED);
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

    function counterOn(): outcomeCounters.OutcomeCounter {
        return new outcomeCounters.OutcomeCounter(boardWith(rolloutsWith({})), () => 0);
    }

    testing.test("one crash counts once, however many requests it takes", () => {
        const counter = counterOn();
        const open = Array.from({ length: 8 }, () => counter.begin(request, 0));
        open.forEach(outcome => outcome?.end(10, { kind: "engine-connection-lost", detail: "" }));
        assert.deepEqual(counter.counts(identity, 10).map(count => count.failed), [1]);
    });

    testing.test("a request without a first token counts as slow before it ends, and once", () => {
        const counter = counterOn();
        const outcome = counter.begin(request, 0);
        assert.deepEqual(counter.counts(identity, 1100), []);
        assert.deepEqual(counter.counts(identity, 1101).map(count => count.slow), [1]);
        outcome?.end(30_000, { kind: "engine-cancelled", detail: "" });
        assert.deepEqual(counter.counts(identity, 30_000).map(count => count.finished), [1]);
    });

    testing.test("slow token gaps count; a cancelled fast request does not", () => {
        const counter = counterOn();
        const slow = counter.begin(request, 0);
        [100, 160, 220, 280, 340].forEach(at => slow?.token(at));
        slow?.end(340);
        const cancelled = counter.begin(request, 0);
        cancelled?.token(50);
        cancelled?.end(60, { kind: "engine-cancelled", detail: "" });
        const [count] = counter.counts(identity, 400);
        assert.deepEqual([count.finished, count.slow, count.failed], [1, 1, 0]);
    });

    testing.test("the coordinator keeps the counts of an agent over its restart", () => {
        const collection = new collections.Collection();
        const count = { weightsVersion: "v2", route: "chat", loadLevel: "low" as const, failed: 1, slow: 0 };
        const reply = (boot: string, finished: number) => ({
            agent: { address: "agent", boot },
            counts: [{ ...count, finished }],
        });
        [reply("a", 5), reply("a", 7), reply("b", 2)].forEach(item => collection.add(item));
        assert.deepEqual(collection.total().map(total => [total.finished, total.failed]), [[9, 2]]);
    });

    testing.test("routes beyond the bound share one cell", () => {
        const counter = counterOn();
        for (let index = 0; index < 1000; index++) {
            counter.begin({ ...request, route: `route-${index}` }, 0)?.end(1);
        }
        assert.equal(counter.counts(identity, 1).length, 16);
    });
});

testing.describe("version of a request", () => {
    testing.test("a request for which no server has the new version goes to the old one", () => {
        const choice = choiceOn(boardWith(rolloutsWith({ share: 1 })), false);
        assert.ok(Array.from({ length: 50 }, () => choice.choose(model)).every(version => version === "v1"));
    });

    testing.test("a continuation stays on its version unless that was withdrawn", () => {
        const board = boardWith(rolloutsWith({}));
        const choice = choiceOn(board);
        assert.deepEqual(choice.versionsFor(model, "v2", "none"), ["v2", "v1"]);
        assert.deepEqual(choice.versionsFor(model, "v1", "none"), ["v1"]);
        assert.deepEqual(choice.versionsFor(model, "v2", "refused"), ["v1"]);
        board.write("rollouts", rolloutsWith({}, [types.identityOf(rollout)]));
        assert.deepEqual(choice.versionsFor(model, "v2", "none"), ["v1"]);
    });

    testing.test("a request that failed on the new version before its first token starts anew on the old one", () => {
        const choice = choiceOn(boardWith(rolloutsWith({})));
        assert.deepEqual(choice.versionsFor(model, "v2", "failed"), ["v1", "v2"]);
        assert.deepEqual(choice.versionsFor(model, "v1", "failed"), ["v1"]);
    });

    testing.test("a stream on the old version outlives the end of its rollout", () => {
        const adopted = {
            ...configuration,
            rollouts: [],
            models: new Map([["menu", { ...model, weightsVersion: "v2" }]]),
        };
        const choice = choiceOn(boardWith(rolloutsWith({ phase: "done" }), adopted));
        assert.deepEqual(choice.versionsFor(model, "v1", "none"), ["v1", "v2"]);
        const removed = choiceOn(boardWith(rolloutsWith({}), { ...configuration, rollouts: [] }));
        assert.deepEqual(removed.versionsFor(model, "v2", "none"), ["v1"]);
    });
});

testing.describe("orders", () => {
    const order = { kind: "load-weights" as const, model: "menu", weightsVersion: "v2" };

    function gateOn(board: boards.Board, numbers: number[]): orderGates.OrderGate {
        const engine = {
            order: async (given: { readonly fencingNumber: number; }) => {
                numbers.push(given.fencingNumber);
                return { ok: true as const, value: [] };
            },
        };
        return new orderGates.OrderGate({ board, engine, wallTime: () => 0 });
    }

    testing.test("an agent refuses a lower fencing number, also after its restart", async () => {
        const numbers: number[] = [];
        const board = boardWith(rolloutsWith({ fencingNumber: 3 }));
        const gate = gateOn(board, numbers);
        assert.ok((await gate.give({ ...order, fencingNumber: 5 })).ok);
        assert.ok(!(await gate.give({ ...order, fencingNumber: 4 })).ok);
        const restarted = gateOn(board, numbers);
        assert.ok(!(await restarted.give({ ...order, fencingNumber: 2 })).ok);
        assert.deepEqual(numbers, [5]);
    });

    testing.test("an agent keeps the weights that serve", async () => {
        const numbers: number[] = [];
        const unload = { ...order, kind: "unload-weights" as const, fencingNumber: 9 };
        assert.ok(!(await gateOn(boardWith(rolloutsWith({})), numbers).give({ ...unload, weightsVersion: "v1" })).ok);
        assert.ok(!(await gateOn(boardWith(rolloutsWith({})), numbers).give(unload)).ok);
        assert.ok((await gateOn(boardWith(rolloutsWith({ phase: "rolled-back" })), numbers).give(unload)).ok);
    });

    testing.test("no more servers load at once than the weight store allows", () => {
        const servers = Array.from({ length: 10 }, (_, index) => ({
            address: `agent-${index}`,
            models: ["menu"],
            weights: ["menu@v1"],
            failing: index === 0,
        }));
        const input = { configuration, rollouts: rolloutsWith({ phase: "done" }), servers, wallTime: 0 };
        const first = orderPlans.nextOrders({ ...input, inFlight: [], settling: new Set() });
        assert.equal(first.length, 2);
        const second = orderPlans.nextOrders({ ...input, inFlight: [first[0]], settling: new Set([first[1].address]) });
        assert.equal(second.length, 1);
        assert.ok(![...first, ...second].some(given => given.address === "agent-0"));
        assert.equal(new Set([...first, ...second].map(given => given.address)).size, 3);
    });
});

testing.describe("progress", () => {
    const view = { veto: undefined, suspicion: undefined, servers: 8, loaded: 8, isSufficient: false };
    const beforeEnd = DEADLINE - 4000;

    testing.test("adverse evidence holds a step beyond its part, late evidence does not", () => {
        const status = statusWith({ share: 0.05 });
        assert.equal(progress.advance(rollout, status, view, 3, beforeEnd).share, 0.25);
        const held = { ...view, suspicion: "2 of 9 requests failed" };
        assert.equal(progress.advance(rollout, status, held, 3, beforeEnd), status);
        assert.match(progress.advance(rollout, status, held, 3, DEADLINE).reason, /deadline.*2 of 9/);
    });

    testing.test("a rollback is final, also without a veto and before the deadline", () => {
        const status = statusWith({ phase: "rolled-back", share: 0, reason: "removed" });
        assert.equal(progress.advance(rollout, status, view, 3, beforeEnd), status);
    });

    testing.test("no rollout is completed so late that its status comes into force after the deadline", () => {
        const status = statusWith({ share: 1, changedAt: 0 });
        assert.equal(progress.advance(rollout, status, view, 3, beforeEnd + 1500).phase, "done");
        assert.equal(progress.advance(rollout, status, view, 3, DEADLINE - 1000).phase, "shifting");
    });
});

testing.describe("pacing", () => {
    testing.test("steps that wait for their whole part end before the deadline", () => {
        const durations = fastCheck.integer({ min: 20_000, max: 5_000_000 });
        fastCheck.assert(
            fastCheck.property(durations, fastCheck.integer({ min: 1, max: 600_000 }), (durationMs, stepMs) => {
                const paced = { ...rollout, deadline: durationMs, stepMs };
                let wallTime = 0;
                for (const share of paced.steps) {
                    const status = statusWith({ share, changedAt: wallTime });
                    wallTime += Math.max(pacing.partMs(paced, status), 0);
                    assert.ok(pacing.mayEnd(paced, status, false, wallTime));
                }
                assert.ok(pacing.mayComplete(paced, wallTime));
            }),
            { seed: SEED, numRuns: 200 },
        );
    });

    testing.test("short time does not skip the counting of a step", () => {
        const late = { ...rollout, deadline: 1000 };
        assert.ok(!pacing.mayEnd(late, statusWith({ changedAt: 900 }), true, 901));
    });
});
