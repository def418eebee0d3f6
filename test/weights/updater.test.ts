/** Guards against orders whose fencing tokens go back. */
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
    private readonly weights = new Map([["menu", 1], ["notes", 1]]);

    state(): Promise<types.EngineState> {
        const { orders, weights } = this;
        const orderCount = orders.length;
        return Promise.resolve({ startedAt: 1, weights, isBusy: false, orderCount, running: 0, waiting: 0 });
    }

    order(order: types.VersionOrder): Promise<types.OrderOutcome> {
        this.orders.push(order);
        this.weights.set(order.model, order.version);
        return Promise.resolve("accepted");
    }
}

testing.test("restored store: the orders of all models have tokens that do not go back", async () => {
    const engine = new FakeEngine();
    const ports = {
        clock: clocks.systemClock,
        journal: journals.silentJournal,
        engine,
        address: "127.0.0.1:1",
        neighbours: () => [],
        announce: () => undefined,
    };
    await using updater = new updaters.WeightsUpdater(ports);
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
