/** Guards against a document that returns to a lower version, and against a table that grows without limit. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as digests from "../../src/gossip/digest.js";
import * as tables from "../../src/gossip/table.js";

const SEED = 21;
const RUNS = 300;

const action = fastCheck.record({
    kind: fastCheck.constantFrom("offer", "publish", "remove", "sweep"),
    name: fastCheck.constantFrom("manifest", "rollouts", "member/a", "member/b", "veto/x", "unknown"),
    version: fastCheck.integer({ min: -1, max: 20 }),
    elapsedMs: fastCheck.integer({ min: 0, max: 60_000 }),
});

testing.test("document table: no order of operations lowers the version of a document", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.array(action, { maxLength: 80 }), actions => {
            const table = new tables.DocumentTable();
            const highest = new Map<string, number>();
            let now = 0;
            table.subscribe("", document => {
                assert.ok(document.version > (highest.get(document.name) ?? 0), document.name);
                highest.set(document.name, document.version);
            });
            const handlers = {
                offer: (item: typeof actions[number]) => table.offer({ ...item, value: item.version }),
                publish: (item: typeof actions[number]) => table.publish({ ...item, value: item.version }),
                remove: (item: typeof actions[number]) => table.remove(item.name, now),
                sweep: () => table.sweep(now),
            };
            for (const item of actions) {
                now += item.elapsedMs / 80;
                handlers[item.kind](item);
                table.list("").forEach(document => assert.equal(document.version, highest.get(document.name)));
            }
        }),
        { seed: SEED, numRuns: RUNS },
    );
});

testing.test("document table: any order of the same documents gives the same digest", () => {
    const documents = fastCheck.array(
        fastCheck.record({
            name: fastCheck.nat(9).map(index => `member/${index}`),
            version: fastCheck.integer({ min: 1, max: 9 }),
        }),
        { maxLength: 40 },
    );
    fastCheck.assert(
        fastCheck.property(documents, fastCheck.nat(), (offered, rotation) => {
            const [left, right] = [new tables.DocumentTable(), new tables.DocumentTable()];
            const start = offered.length === 0 ? 0 : rotation % offered.length;
            offered.forEach(document => left.offer({ ...document, value: 0 }));
            [...offered.slice(start), ...offered.slice(0, start)].reverse()
                .forEach(document => right.offer({ ...document, value: 0 }));
            assert.deepEqual(left.digest(), right.digest());
        }),
        { seed: SEED, numRuns: RUNS },
    );
});

testing.test("digest: the differing buckets contain every differing document", () => {
    const versions = fastCheck.dictionary(fastCheck.string(), fastCheck.integer({ min: 1, max: 3 }));
    fastCheck.assert(
        fastCheck.property(versions, versions, (left, right) => {
            const [own, other] = [left, right].map(side =>
                Object.entries(side).map(([name, version]) => ({ name, version }))
            );
            const buckets = digests.differingBuckets(
                digests.digest(own).bucketHashes,
                digests.digest(other).bucketHashes,
            );
            const found = digests.differences(own, other);
            for (const name of [...found.newer, ...found.wanted]) {
                assert.ok(buckets.includes(digests.bucketOf(name)), name);
            }
            assert.equal(buckets.length > 0, found.newer.length + found.wanted.length > 0);
        }),
        { seed: SEED, numRuns: RUNS },
    );
});

testing.test("document table: suspects beyond the limit evict the oldest, members beyond it are refused", () => {
    const table = new tables.DocumentTable();
    const bound = 4096;
    for (let index = 0; index <= bound; index++) {
        assert.equal(table.offer({ name: `suspect/${index}`, version: 1, value: {} }), "stored");
        const expected = index < bound ? "stored" : "refused";
        assert.equal(table.offer({ name: `member/${index}`, version: 1, value: {} }), expected);
    }
    assert.equal(table.size, 2 * bound);
    assert.equal(table.get("suspect/0"), undefined);
    assert.equal(table.offer({ name: "suspect/0", version: 1, value: {} }), "known");
});
