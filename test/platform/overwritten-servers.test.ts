/** Guards against records of servers that other writers leave in place of the servers' own. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as records from "../../platform/records.js";
import * as copies from "../../src/store-access/kind-copy.js";
import * as restoration from "../../src/store-access/restoration.js";

const NAME = "i-1";
const START = 5000;
const READY = { service: "menu", address: "10.0.0.9:8080", zone: "one", version: "v1", slots: 8, state: "ready" };
const SERVER = { ...READY, born: START };
const ODD_SPECS: Readonly<Record<string, unknown>> = {
    "no object": "text",
    "no fields": {},
    "unknown state": { ...SERVER, state: "resting" },
    "start of another type": { ...SERVER, born: "yesterday" },
    "later start and unknown state": { ...SERVER, born: 2 * START, state: "resting" },
};

/** Writes of the record, in order; undefined removes it. Returns the addresses of the servers that are then shown. */
function addressesAfter(...specs: readonly unknown[]): readonly string[] {
    const copy = new copies.KindCopy({
        ownersReregister: true,
        restoration: restoration.byVersion(records.serverVersion),
    });
    copy.replace({ era: 0, revision: 0, records: [] }, 0);
    specs.forEach((spec, index) => {
        const revision = index + 1;
        const isDeleted = spec === undefined;
        const record = { name: NAME, revision: isDeleted ? revision - 1 : revision, spec, isDeleting: false };
        copy.apply({ era: 0, revision, changes: [{ record, isDeleted }] }, copy.position, revision * 100);
    });
    const { values } = records.decodeServers(copy.records(specs.length * 100));
    return values.filter(({ state }) => state === "ready").map(({ address }) => address);
}

for (const [name, odd] of Object.entries(ODD_SPECS)) {
    testing.test(`guards against a stopped server that is used again after an odd record of its name: ${name}`, () => {
        assert.deepEqual(addressesAfter(SERVER, undefined, odd), []);
    });

    testing.test(`guards against a server that is used from a record that is odd now: ${name}`, () => {
        assert.deepEqual(addressesAfter(SERVER, odd), []);
    });

    testing.test(`a server is used again once it has written its record over an odd one: ${name}`, () => {
        assert.deepEqual(addressesAfter(SERVER, odd, SERVER), [SERVER.address]);
    });
}

testing.test("a late write of a stopped server does not bring it back to the state before its end", () => {
    assert.deepEqual(addressesAfter(SERVER, { ...SERVER, state: "draining" }, undefined, SERVER), []);
});

testing.test("guards against a server without the time of its start that stays out of use after it has left once", () => {
    assert.deepEqual(addressesAfter({ ...READY, state: "draining" }, undefined, READY), [READY.address]);
});
