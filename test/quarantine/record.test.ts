/** Guards against lost crash reports and against records of one suspect that stay different between processes. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as records from "../../src/quarantine/record.js";
import * as tables from "../../src/quarantine/table.js";

const SEED = 44;

const crash = fastCheck.record({
    id: fastCheck.constantFrom("a", "b", "c", "d"),
    server: fastCheck.constantFrom("s1", "s2"),
    alone: fastCheck.boolean(),
    at: fastCheck.integer({ min: 0, max: 5 }),
}, { noNullPrototype: true });
const record = fastCheck.array(crash, { maxLength: 4 }).chain(crashes =>
    fastCheck.subarray(["a", "b", "c", "d"]).map(cleared =>
        records.merge(records.empty("f"), { fingerprint: "f", crashes, cleared })
    )
);

testing.test("suspect record: merging in any order and any number of times gives one result", () => {
    fastCheck.assert(
        fastCheck.property(record, record, record, (one, two, three) => {
            const left = records.merge(records.merge(one, two), three);
            const right = records.merge(records.merge(three, one), records.merge(two, three));
            assert.deepEqual(left, right);
        }),
        { seed: SEED },
    );
});

testing.test("suspect record: adding a crash raises the version, and different records have different versions", () => {
    const report = fastCheck.tuple(record, crash);
    fastCheck.assert(
        fastCheck.property(report, ([known, added]) => {
            fastCheck.pre(!known.crashes.some(item => item.id === added.id));
            const union = records.withCrash(known, added);
            assert.ok(records.version(union) > records.version(known));
            const other = records.withCrash(known, { ...added, id: "other" });
            assert.notEqual(records.version(union), records.version(other));
        }),
        { seed: SEED },
    );
});

testing.test("suspect record: a completed trial clears the known crashes, but no later crash and no crash of the request alone", () => {
    const shared = { id: "a", server: "s1", alone: false, at: 0 };
    const cleared = records.withCompletion(records.withCrash(records.empty("f"), shared));
    assert.equal(records.verdict(cleared, 0), "run");
    assert.equal(records.verdict(records.withCrash(cleared, { ...shared, id: "b" }), 0), "run-alone");
    const alone = records.withCrash(cleared, { ...shared, id: "c", alone: true });
    assert.equal(records.verdict(records.withCompletion(alone), 0), "refuse");
    assert.equal(records.verdict(alone, records.QUARANTINE_MS), "run");
});

testing.test("suspect table: only a request that crashed a server as a trial is refused; a full table keeps refused requests", () => {
    const report = { server: "s", boot: "b1", inFlight: ["bad", "innocent"], trial: false };
    const first = tables.recordCrash(new Map(), report, 0);
    assert.deepEqual([...first.keys()].map(name => tables.verdict(first, name, 0)), ["run-alone", "run-alone"]);
    const single = tables.recordCrash(new Map(), { ...report, inFlight: ["innocent"] }, 0);
    assert.equal(tables.verdict(single, "innocent", 0), "run-alone");
    const second = tables.recordCrash(first, { ...report, boot: "b2", inFlight: ["bad"], trial: true }, 1);
    assert.equal(tables.verdict(second, "bad", 1), "refuse");
    const many = Array.from({ length: 2 * tables.MAXIMUM_RECORDS }, (_, index) => `f${index}`);
    const full = tables.recordCrash(second, { ...report, boot: "b3", inFlight: many }, 2);
    assert.equal(full.size, tables.MAXIMUM_RECORDS);
    assert.equal(tables.verdict(full, "bad", 2), "refuse");
    assert.equal(tables.prune(full, records.QUARANTINE_MS + 1).size, 0);
});
