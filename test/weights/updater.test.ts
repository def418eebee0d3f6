/** Guards against orders whose fencing tokens go back, and against models whose updates prevent each other. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as clocks from "../../src/clock/clock.js";
import * as journals from "../../src/logging/journal.js";
import type * as types from "../../src/weights/types.js";
import * as updaters from "../../src/weights/updater.js";

const ORDER_TIMEOUT_MS = 10_000;

/** An engine that loads each ordered version at once. */
class FakeEngine implements types.EnginePort {
    readonly orders: types.VersionOrder[] = [];
    readonly weights = new Map([["menu", 1], ["notes", 1]]);

    constructor(private readonly running = 0) {}

    state(): Promise<types.EngineState> {
        const { orders, running, weights } = this;
        const orderCount = orders.length;
        return Promise.resolve({ startedAt: 1, weights, isBusy: false, orderCount, running, waiting: 0 });
    }

    order(order: types.VersionOrder): Promise<types.OrderOutcome> {
        this.orders.push(order);
        this.weights.set(order.model, order.version);
        return Promise.resolve("accepted");
    }
}

function updaterOf(engine: types.EnginePort): updaters.WeightsUpdater {
    return new updaters.WeightsUpdater({
        clock: clocks.systemClock,
        journal: journals.silentJournal,
        engine,
        address: "127.0.0.1:1",
        neighbours: () => [],
        announce: () => undefined,
    });
}

testing.test("restored store: the orders of all models have tokens that do not go back", async () => {
    const engine = new FakeEngine();
    await using updater = updaterOf(engine);
    updater.start();
    const named = [["menu", 2, 1, 500], ["notes", 2, 1, 400], ["menu", 3, 2, 410], ["notes", 3, 1, 510]] as const;
    for (const [index, [model, version, era, revision]] of named.entries()) {
        updater.adoptDesiredWeights({ model, version, position: { era, revision } });
        const endsAt = performance.now() + ORDER_TIMEOUT_MS;
        while (engine.orders.length <= index && performance.now() < endsAt) {
            await clocks.systemClock.sleep(20);
        }
    }
    assert.deepEqual(engine.orders.map(order => [order.model, order.version]), named.map(([model, to]) => [model, to]));
    const tokens = engine.orders.map(order => order.fencingToken);
    assert.deepEqual(tokens, [...tokens].sort((left, right) => left - right));
});

testing.test("guards against an error in one step that ends all later updates", async () => {
    const engine = new FakeEngine();
    const state = testing.mock.method(engine, "state", () => Promise.reject(new Error("injected")), { times: 3 });
    await using updater = new updaters.WeightsUpdater({
        clock: clocks.systemClock,
        journal: journals.silentJournal,
        engine,
        address: "127.0.0.1:1",
        neighbours: () => [],
        announce: () => undefined,
    });
    updater.start();
    updater.adoptDesiredWeights({ model: "menu", version: 2, position: { era: 1, revision: 5 } });
    const endsAt = performance.now() + ORDER_TIMEOUT_MS;
    while (engine.orders.length === 0 && performance.now() < endsAt) {
        await clocks.systemClock.sleep(20);
    }
    assert.ok(state.mock.callCount() >= 3);
    assert.deepEqual(engine.orders.map(order => order.version), [2]);
});

for (const running of [0, 9]) {
    testing.test(`guards against new weights of two models at once that are never loaded, ${running} calls running`, async () => {
        const engine = new FakeEngine(running);
        await using updater = updaterOf(engine);
        updater.start();
        for (const [index, model] of ["menu", "notes"].entries()) {
            updater.adoptDesiredWeights({ model, version: 2, position: { era: 0, revision: 40 + index } });
        }
        const endsAt = performance.now() + ORDER_TIMEOUT_MS;
        while (engine.orders.length < 2 && performance.now() < endsAt) {
            await clocks.systemClock.sleep(20);
        }
        assert.deepEqual(new Map(engine.weights), new Map([["menu", 2], ["notes", 2]]));
    });
}

testing.test("guards against a model that the server no longer has, whose update keeps the others waiting", async () => {
    const engine = new FakeEngine(9);
    await using updater = updaterOf(engine);
    updater.start();
    updater.adoptDesiredWeights({ model: "menu", version: 2, position: { era: 0, revision: 40 } });
    while (!updater.report().isUpdatePending) {
        await clocks.systemClock.sleep(20);
    }
    engine.weights.delete("menu");
    updater.adoptDesiredWeights({ model: "notes", version: 2, position: { era: 0, revision: 41 } });
    const endsAt = performance.now() + ORDER_TIMEOUT_MS;
    while (engine.orders.length < 1 && performance.now() < endsAt) {
        await clocks.systemClock.sleep(20);
    }
    assert.equal(engine.weights.get("notes"), 2);
});
