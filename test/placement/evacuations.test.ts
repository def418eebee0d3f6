/** Guards against evacuations that start or end without the operator. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as records from "../../platform/records.js";
import * as evacuations from "../../src/placement/evacuations.js";
import * as copies from "../../src/store-access/kind-copy.js";
import * as restoration from "../../src/store-access/restoration.js";
import type * as storeAccess from "../../src/store-access/types.js";

function storedRecord(name: string, changes: Partial<storeAccess.StoredRecord> = {}): storeAccess.StoredRecord {
    return { name, revision: 7, spec: {}, isDeleting: false, ...changes };
}

class Known {
    readonly returned: string[] = [];
    readonly names: string[] = [];
    readonly evacuations = new evacuations.Evacuations({
        journal: { emit: (name, fields) => void this.names.push(`${name} ${String(fields?.["dataCentre"])}`) },
        onReturn: dataCentre => void this.returned.push(dataCentre),
    });

    adopt(stored: readonly storeAccess.StoredRecord[]): void {
        const { values, invalid } = records.decodeEvacuations(stored);
        this.evacuations.adopt({ dataCentres: values, unreadable: invalid.map(({ name }) => name) });
    }
}

testing.test("an evacuation is in force from its record to the removal, and its end is told once", () => {
    const known = new Known();
    assert.deepEqual([known.evacuations.isKnown, known.evacuations.includes("one")], [false, false]);
    known.adopt([]);
    assert.equal(known.evacuations.isKnown, true);
    known.adopt([storedRecord("one"), storedRecord("unknown")]);
    known.adopt([storedRecord("one"), storedRecord("unknown")]);
    assert.deepEqual([known.evacuations.includes("one"), known.evacuations.includes("two")], [true, false]);
    known.adopt([storedRecord("one", { isDeleting: true })]);
    assert.equal(known.evacuations.includes("one"), false);
    assert.deepEqual(known.returned, ["one", "unknown"]);
    assert.deepEqual(known.names, [
        "data-centre-evacuated one",
        "data-centre-evacuated unknown",
        "evacuation-ended one",
        "evacuation-ended unknown",
    ]);
});

testing.test("a record that cannot be read neither starts nor ends an evacuation", () => {
    const known = new Known();
    known.adopt([
        storedRecord("one"),
        storedRecord("two", { spec: "text" }),
        storedRecord("three", { spec: undefined }),
    ]);
    assert.deepEqual(["one", "two", "three"].map(name => known.evacuations.includes(name)), [true, false, false]);
    known.adopt([storedRecord("one", { spec: 7 })]);
    assert.equal(known.evacuations.includes("one"), true);
    known.adopt([]);
    assert.equal(known.evacuations.includes("one"), false);
});

/** Names of the evacuations that a copy shows. */
function shown(copy: copies.KindCopy, now: number): readonly string[] {
    return records.decodeEvacuations(copy.records(now)).values;
}

function createCopy(): copies.KindCopy {
    return new copies.KindCopy({ ownersReregister: false, restoration: restoration.unordered });
}

testing.test("an evacuation that was removed during an outage of the store ends with the first answer after it", () => {
    const copy = createCopy();
    copy.replace({ era: 0, revision: 10, records: [storedRecord("one")] }, 0);
    assert.deepEqual(shown(copy, 8000), ["one"]);
    copy.storeRecovered(9000, 5000);
    copy.replace({ era: 0, revision: 12, records: [] }, 9000);
    assert.deepEqual(shown(copy, 9000), []);
});

testing.test("a store that comes back from an older copy neither ends an evacuation nor repeats one at once", () => {
    const lost = createCopy();
    lost.replace({ era: 0, revision: 10, records: [storedRecord("one")] }, 0);
    lost.replace({ era: 1, revision: 6, records: [] }, 1000);
    assert.deepEqual(shown(lost, 6000), ["one"]);
    const repeated = createCopy();
    repeated.replace({ era: 0, revision: 10, records: [storedRecord("one")] }, 0);
    repeated.replace({ era: 0, revision: 12, records: [] }, 500);
    repeated.replace({ era: 1, revision: 11, records: [storedRecord("one")] }, 1000);
    assert.deepEqual(shown(repeated, 6000), []);
    // Afterwards the store decides.
    lost.settle(7100);
    repeated.settle(7100);
    assert.deepEqual([shown(lost, 7100), shown(repeated, 7100)], [[], ["one"]]);
});
