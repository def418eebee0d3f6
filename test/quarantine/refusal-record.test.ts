/** Guards against refused prompt parts that are forgotten when all processes restart, also while the store is away. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as outcomes from "../../src/core/outcome.js";
import * as refusalRecords from "../../src/quarantine/refusal-record.js";
import * as suspectTrackers from "../../src/quarantine/suspect-tracker.js";
import type * as storeAccess from "../../src/store-access/types.js";
import * as manualClock from "../support/manual-clock.js";

const DEADLY = "part:deadly";

class Process {
    readonly suspects: suspectTrackers.SuspectTracker;
    readonly refusals: refusalRecords.RefusalRecord;

    constructor(store: MemoryStore, readonly clock: manualClock.ManualClock) {
        this.suspects = new suspectTrackers.SuspectTracker({
            journal: { emit: () => undefined },
            self: "entry",
            entryCount: () => 1,
            onUrgentChange: () => undefined,
            onRefusalsChange: () => this.refusals.update(false),
        });
        this.refusals = new refusalRecords.RefusalRecord({
            clock,
            journal: { emit: () => undefined },
            store,
            kind: "suspects",
            suspects: this.suspects,
        });
    }

    get moment(): suspectTrackers.Moment {
        return { now: this.clock.now(), wallTime: this.clock.wallTime() };
    }

    crash(server: string, trials: readonly string[]): void {
        this.suspects.recordCrash({ server, fingerprints: [DEADLY], trials: new Set(trials) }, this.moment);
    }
}

class MemoryStore implements storeAccess.RecordStore {
    isAway = false;
    attempts = 0;
    record: storeAccess.StoredRecord | undefined;

    async put(_kind: string, name: string, spec: unknown): Promise<outcomes.Outcome<undefined>> {
        this.attempts++;
        if (this.isAway) {
            return outcomes.fail("store-unavailable", "away");
        }
        this.record = { name, revision: this.attempts, spec: JSON.parse(JSON.stringify(spec)), isDeleting: false };
        return outcomes.succeed(undefined);
    }

    putStatus(): never {
        throw new TypeError("not used");
    }

    list(): never {
        throw new TypeError("not used");
    }

    watch(): never {
        throw new TypeError("not used");
    }
}

testing.test("a refused part is known to a process that starts with the store as its only source", async () => {
    const clock = new manualClock.ManualClock();
    const store = new MemoryStore();
    store.isAway = true;
    const first = new Process(store, clock);
    first.crash("a", []);
    first.crash("b", []);
    assert.equal(store.attempts, 0, "suspects are not stored");
    first.crash("c", [DEADLY]);
    await manualClock.waitUntil(() => store.attempts === 1);
    store.isAway = false;
    await new Promise(resolve => setImmediate(resolve));
    clock.endSleeps();
    await manualClock.waitUntil(() => store.record !== undefined);
    await first.refusals[Symbol.asyncDispose]();

    const second = new Process(store, clock);
    second.refusals.adopt(store.record);
    assert.equal(second.suspects.decide([DEADLY], second.moment).kind, "refuse");

    // A server that answers clears the part, in the store as well.
    second.suspects.recordAnswer([DEADLY], second.moment);
    await manualClock.waitUntil(() => JSON.stringify(store.record?.spec) === JSON.stringify({ refused: [] }));
    await second.refusals[Symbol.asyncDispose]();
});

testing.test("a record of unexpected shape is ignored", async () => {
    const clock = new manualClock.ManualClock();
    const process = new Process(new MemoryStore(), clock);
    for (const spec of [undefined, "text", { refused: 3 }, { refused: [{ fingerprint: DEADLY, crashes: [7] }] }]) {
        process.refusals.adopt({ name: refusalRecords.RECORD_NAME, revision: 1, spec, isDeleting: false });
    }
    assert.ok(process.suspects.isEmpty);
    await process.refusals[Symbol.asyncDispose]();
});

testing.test("restored store: guards against a refused part that the store has lost and that is not written again", async () => {
    for (const restored of [undefined, { refused: [] }]) {
        const clock = new manualClock.ManualClock();
        const store = new MemoryStore();
        const process = new Process(store, clock);
        process.crash("a", []);
        process.crash("b", []);
        process.crash("c", [DEADLY]);
        await manualClock.waitUntil(() => store.record !== undefined);
        await new Promise(resolve => setImmediate(resolve));
        store.record = restored && { name: refusalRecords.RECORD_NAME, revision: 1, spec: restored, isDeleting: false };
        process.refusals.adopt(store.record);
        clock.endSleeps();
        await manualClock.waitUntil(() => JSON.stringify(store.record?.spec ?? {}).includes(DEADLY));
        await process.refusals[Symbol.asyncDispose]();
    }
});
