/** The lease of the coordinator. Guards against two holders that act at the same time. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as journals from "../../src/logging/journal.js";
import type * as membership from "../../src/membership/types.js";
import * as leases from "../../src/rollout/lease.js";
import * as statusObjects from "../../src/rollout/status-object.js";
import type * as types from "../../src/rollout/types.js";
import * as memoryStores from "../support/memory-object-store.js";
import * as virtualTime from "../support/virtual-time.js";

const SEED = 25_051;

class Contest {
    readonly clock = new virtualTime.VirtualTime(SEED);
    readonly store = new memoryStores.MemoryObjectStore();
    liveness: membership.Liveness = "unknown";

    keeper(address: string, knownFencingNumber = 0): leases.LeaseKeeper {
        return new leases.LeaseKeeper({
            self: { address, boot: "boot" },
            store: this.store,
            liveness: { probe: async () => this.liveness },
            clock: this.clock,
            journal: journals.silentJournal,
            knownFencingNumber: () => knownFencingNumber,
        });
    }

    number(keeper: leases.LeaseKeeper): number | undefined {
        return keeper.fencingNumber(this.clock.now());
    }

    async wait(durationMs: number): Promise<void> {
        void this.clock.sleep(durationMs);
        await this.clock.run(this.clock.now() + durationMs);
    }
}

testing.describe("lease", () => {
    testing.test("a holder that cannot renew stops before another one may begin", async () => {
        const contest = new Contest();
        const [first, second] = [contest.keeper("a"), contest.keeper("b")];
        await first.step();
        await second.step();
        assert.deepEqual([contest.number(first), contest.number(second)], [1, undefined]);
        await contest.wait(3900);
        assert.equal(contest.number(first), 1);
        await contest.wait(200);
        assert.equal(contest.number(first), undefined);
        await second.step();
        assert.equal(contest.number(second), undefined);
        await contest.wait(1000);
        await second.step();
        assert.equal(contest.number(second), 2);
        await first.step();
        assert.equal(contest.number(first), undefined);
    });

    testing.test("a proof of death or a release frees the lease earlier; silence alone does not", async () => {
        const contest = new Contest();
        const [first, second] = [contest.keeper("a"), contest.keeper("b")];
        await first.step();
        await second.step();
        await contest.wait(2500);
        await second.step();
        assert.equal(contest.number(second), undefined);
        contest.liveness = "dead";
        await second.step();
        assert.equal(contest.number(second), 2);
        await second.release();
        assert.equal(contest.number(second), undefined);
        const third = contest.keeper("c");
        await third.step();
        assert.equal(contest.number(third), 3);
    });

    testing.test("a deleted lease does not start below the numbers of the statuses", async () => {
        const contest = new Contest();
        const keeper = contest.keeper("a", 7);
        await keeper.step();
        assert.equal(contest.number(keeper), 8);
    });

    testing.test("at most one keeper holds the lease in any order of steps, with lost answers and outages", async () => {
        const action = fastCheck.record({
            keeper: fastCheck.integer({ min: 0, max: 2 }),
            fault: fastCheck.constantFrom<memoryStores.Fault>("none", "none", "none", "lose-answers", "outage"),
            waitMs: fastCheck.integer({ min: 0, max: 3000 }),
        });
        await fastCheck.assert(
            fastCheck.asyncProperty(fastCheck.array(action, { minLength: 10, maxLength: 60 }), async actions => {
                const contest = new Contest();
                const keepers = ["a", "b", "c"].map(address => contest.keeper(address));
                let highest = 0;
                for (const { keeper, fault, waitMs } of actions) {
                    contest.store.fault = fault;
                    await keepers[keeper].step();
                    const held = keepers.flatMap(each => contest.number(each) ?? []);
                    assert.ok(held.length <= 1, `held ${held.join(" ")}`);
                    assert.ok(held.every(number => number >= highest), "the number went back");
                    highest = Math.max(highest, ...held);
                    await contest.wait(waitMs);
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

    testing.test("a coordinator that was replaced overwrites nothing, whether it read the status before or after", async () => {
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

    testing.test("a write whose answer was lost is settled and not repeated", async () => {
        const store = new memoryStores.MemoryObjectStore();
        store.fault = "lose-answers";
        const written = await statusObjects.write(store, { version: 0, statuses: [] }, [status(1)], 1);
        assert.ok(written.ok);
        assert.equal(store.writes, 1);
    });
});
