/** Lease of the rollout coordinator. Guards against two processes that hold it at the same time. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as journals from "../../src/logging/journal.js";
import type * as membership from "../../src/membership/types.js";
import * as leases from "../../src/rollout/lease.js";
import * as statusObjects from "../../src/rollout/status-object.js";
import type * as types from "../../src/rollout/types.js";
import * as memoryStores from "../support/memory-object-store.js";
import * as simulationClock from "../support/simulation-clock.js";

const SEED = 25_051;

class LeaseFixture {
    readonly clock = new simulationClock.SimulationClock(SEED);
    readonly store = new memoryStores.MemoryObjectStore();
    liveness: membership.Liveness = "unknown";

    createManager(address: string, knownFencingNumber = 0): leases.LeaseManager {
        return new leases.LeaseManager({
            self: { address, boot: "boot" },
            store: this.store,
            liveness: { probe: async () => this.liveness },
            clock: this.clock,
            journal: journals.silentJournal,
            knownFencingNumber: () => knownFencingNumber,
        });
    }

    fencingNumber(manager: leases.LeaseManager): number | undefined {
        return manager.fencingNumber(this.clock.now());
    }

    async advance(durationMs: number): Promise<void> {
        void this.clock.sleep(durationMs);
        await this.clock.run(this.clock.now() + durationMs);
    }
}

testing.describe("lease", () => {
    testing.test("the lease of a holder that cannot renew expires before another process can take it", async () => {
        const fixture = new LeaseFixture();
        const [first, second] = [fixture.createManager("a"), fixture.createManager("b")];
        await first.step();
        await second.step();
        assert.deepEqual([fixture.fencingNumber(first), fixture.fencingNumber(second)], [1, undefined]);
        await fixture.advance(3900);
        assert.equal(fixture.fencingNumber(first), 1);
        await fixture.advance(200);
        assert.equal(fixture.fencingNumber(first), undefined);
        await second.step();
        assert.equal(fixture.fencingNumber(second), undefined);
        await fixture.advance(1000);
        await second.step();
        assert.equal(fixture.fencingNumber(second), 2);
        await first.step();
        assert.equal(fixture.fencingNumber(first), undefined);
    });

    testing.test("a dead holder or a release frees the lease early; a missed renewal doesn't", async () => {
        const fixture = new LeaseFixture();
        const [first, second] = [fixture.createManager("a"), fixture.createManager("b")];
        await first.step();
        await second.step();
        await fixture.advance(2500);
        await second.step();
        assert.equal(fixture.fencingNumber(second), undefined);
        fixture.liveness = "dead";
        await second.step();
        assert.equal(fixture.fencingNumber(second), 2);
        await second.release();
        assert.equal(fixture.fencingNumber(second), undefined);
        const third = fixture.createManager("c");
        await third.step();
        assert.equal(fixture.fencingNumber(third), 3);
    });

    testing.test("after the lease is deleted, its fencing number continues above those of the statuses", async () => {
        const fixture = new LeaseFixture();
        const manager = fixture.createManager("a", 7);
        await manager.step();
        assert.equal(fixture.fencingNumber(manager), 8);
    });

    testing.test("at most one process holds the lease, with lost responses and outages", async () => {
        const action = fastCheck.record({
            manager: fastCheck.integer({ min: 0, max: 2 }),
            fault: fastCheck.constantFrom<memoryStores.Fault>("none", "none", "none", "lose-answers", "outage"),
            waitMs: fastCheck.integer({ min: 0, max: 3000 }),
        });
        await fastCheck.assert(
            fastCheck.asyncProperty(fastCheck.array(action, { minLength: 10, maxLength: 60 }), async actions => {
                const fixture = new LeaseFixture();
                const managers = ["a", "b", "c"].map(address => fixture.createManager(address));
                let highest = 0;
                for (const { manager, fault, waitMs } of actions) {
                    fixture.store.fault = fault;
                    await managers[manager].step();
                    const held = managers.flatMap(each => fixture.fencingNumber(each) ?? []);
                    assert.ok(held.length <= 1, `held ${held.join(" ")}`);
                    assert.ok(held.every(number => number >= highest), "the fencing number decreased");
                    highest = Math.max(highest, ...held);
                    await fixture.advance(waitMs);
                }
            }),
            { seed: SEED, numRuns: 200 },
        );
    });
});

testing.describe("status object", () => {
    function status(fencingNumber: number): types.RolloutStatus {
        const identity = { rollout: "spring", model: "menu", from: "v1", to: "v2" };
        return { ...identity, phase: "loading", share: 0, fencingNumber, reason: "", changedAt: 0 };
    }

    testing.test("a replaced coordinator overwrites nothing, even if it reads the status again", async () => {
        const store = new memoryStores.MemoryObjectStore();
        const empty = await statusObjects.read(store);
        assert.ok(empty.ok);
        const first = await statusObjects.write(store, empty.value, [status(1)], 1);
        assert.ok(first.ok);
        assert.ok((await statusObjects.write(store, first.value, [status(2)], 2)).ok);
        const stale = await statusObjects.write(store, first.value, [{ ...status(1), phase: "done" }], 1);
        assert.equal(stale.ok ? "" : stale.failure.kind, "store-conflict");
        const current = await statusObjects.read(store);
        assert.ok(current.ok);
        const fenced = await statusObjects.write(store, current.value, [{ ...status(1), phase: "done" }], 1);
        assert.equal(fenced.ok ? "" : fenced.failure.kind, "rollout-order-fenced");
        assert.deepEqual(current.value.statuses, [status(2)]);
    });

    testing.test("a write whose response was lost is confirmed by a read and not repeated", async () => {
        const store = new memoryStores.MemoryObjectStore();
        store.fault = "lose-answers";
        const written = await statusObjects.write(store, { version: 0, statuses: [] }, [status(1)], 1);
        assert.ok(written.ok);
        assert.equal(store.writes, 1);
    });
});
