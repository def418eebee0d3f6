/** Guards against copies that return to an older revision, drop running servers after an outage, or keep stopped ones. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as copies from "../../src/store-access/kind-copy.js";
import type * as types from "../../src/store-access/types.js";

function record(name: string, revision: number): types.StoredRecord {
    return { name, revision, spec: { revision }, isDeleting: false };
}

function names(copy: copies.KindCopy, now: number): readonly string[] {
    return copy.records(now).map(stored => stored.name).sort();
}

testing.test("guards against an older listing that replaces a newer copy", () => {
    const copy = new copies.KindCopy({ ownersReregister: false });
    copy.replace({ era: 0, revision: 10, records: [record("a", 10)] }, 0);
    assert.equal(copy.replace({ era: 0, revision: 9, records: [record("a", 5)] }, 0), false);
    assert.equal(copy.records(0)[0]?.revision, 10);
});

testing.test("a server that the registry removed during an outage is kept for two seconds and then dropped", () => {
    const copy = new copies.KindCopy({ ownersReregister: true });
    copy.replace({ era: 0, revision: 1, records: [record("a", 1), record("b", 1)] }, 0);
    copy.storeRecovered(10_000);
    copy.replace({ era: 0, revision: 5, records: [record("b", 1)] }, 10_000);
    assert.deepEqual(names(copy, 11_000), ["a", "b"]);
    assert.deepEqual(names(copy, 12_300), ["b"]);
});

testing.test("a server that registers again within the grace period is kept", () => {
    const copy = new copies.KindCopy({ ownersReregister: true });
    copy.replace({ era: 0, revision: 1, records: [record("a", 1)] }, 0);
    copy.storeRecovered(10_000);
    copy.replace({ era: 0, revision: 5, records: [] }, 10_000);
    copy.apply({ era: 0, revision: 6, changes: [{ record: record("a", 6), isDeleted: false }] }, 11_000);
    assert.deepEqual(names(copy, 20_000), ["a"]);
});

testing.test("without an outage a removal takes effect at once", () => {
    const copy = new copies.KindCopy({ ownersReregister: true });
    copy.replace({ era: 0, revision: 1, records: [record("a", 1)] }, 0);
    copy.apply({ era: 0, revision: 2, changes: [{ record: record("a", 1), isDeleted: true }] }, 100);
    assert.deepEqual(names(copy, 100), []);
    assert.equal(copy.lastChangeRevision, 2);
});
