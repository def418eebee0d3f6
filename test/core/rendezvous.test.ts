/** Guards against keys that move to another node although their node is still present. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as rendezvous from "../../src/core/rendezvous.js";

const SEED = 1;

testing.test("rendezvous: removing a node moves only the keys of that node", () => {
    const nodes = fastCheck.uniqueArray(fastCheck.string({ minLength: 1 }), { minLength: 2, maxLength: 12 });
    fastCheck.assert(
        fastCheck.property(nodes, fastCheck.string(), (names, key) => {
            const ranked = rendezvous.rank(key, names.map(id => ({ id, weight: 1 })));
            const without = rendezvous.rank(
                key,
                names.filter(id => id !== ranked[0].id).map(id => ({ id, weight: 1 })),
            );
            assert.deepEqual(without.map(node => node.id), ranked.slice(1).map(node => node.id));
        }),
        { seed: SEED },
    );
});
