/** Guards against configurations that most entries of a large deployment learn from copies that are seconds old. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as directReaders from "../../src/store-access/direct-readers.js";

function readersOf(count: number, isReadByAll: boolean) {
    const names = Array.from({ length: count }, (_, index) => `entry-${index}`);
    return names.map(self => {
        const peers = names.filter(name => name !== self);
        return directReaders.directReaders({ kind: "kind", self, peers, isReadByAll });
    }).filter(readers => readers !== undefined);
}

for (const count of [1, 2, 8, 28, 68]) {
    testing.test(`${count} entries: all read the configuration, each with a place of its own`, () => {
        const readers = readersOf(count, true);
        assert.deepEqual(readers.map(({ rank }) => rank).sort((left, right) => left - right), [...Array(count).keys()]);
        assert.ok(readers.every(reader => reader.count === count));
    });

    testing.test(`${count} entries: a few read other kinds, each with a place of its own`, () => {
        const readers = readersOf(count, false);
        const expected = Math.min(count, Math.max(8, Math.ceil((count - 1) * 0.15)));
        assert.deepEqual(readers.map(({ rank }) => rank).sort((left, right) => left - right), [
            ...Array(expected).keys(),
        ]);
        assert.ok(readers.every(reader => reader.count === expected));
    });
}
