/** Guards against calls that engines admit before more urgent ones. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as callRanks from "../../src/scheduling/call-ranks.js";

const priorities = (...values: readonly number[]) => values.map(priority => ({ priority }));

testing.test("burst: within a customer's priority, the urgent kind goes before the others, also in the engines", () => {
    const ranks = new callRanks.CallRanks(priorities(1, 3), priorities(0, 2));
    const inOrder = [[1, 0], [1, 2], [3, 0], [3, 2]]
        .map(([customer, route]) => ranks.of({ priority: customer }, { priority: route! }));
    assert.deepEqual(inOrder.map(({ rank }) => rank), [0, 1, 2, 3]);
    assert.deepEqual(inOrder.map(({ enginePriority }) => enginePriority), [0, 1, 2, 3]);
    const keys = inOrder.map(({ key }) => key);
    assert.deepEqual(keys.toSorted((left, right) => left - right), keys);
});

testing.test("more ranks than engines distinguish: none changes places with another", () => {
    const ranks = new callRanks.CallRanks(priorities(0, 1, 2, 3, 4, 5, 6), priorities(0, 1, 2));
    const engine = [0, 1, 2, 3, 4, 5, 6].flatMap(customer => {
        return [0, 1, 2].map(route => ranks.of({ priority: customer }, { priority: route }).enginePriority);
    });
    assert.deepEqual(engine.toSorted((left, right) => left - right), engine);
    assert.deepEqual([engine[0], engine.at(-1)], [0, callRanks.ENGINE_PRIORITIES - 1]);
});

testing.test("without a priority of the customer, that of the route decides", () => {
    const ranks = new callRanks.CallRanks([undefined, { priority: 1 }], priorities(0, 2));
    const rankOf = (customer: number | undefined, route: number) => {
        return ranks.of(customer === undefined ? undefined : { priority: customer }, { priority: route }).rank;
    };
    assert.deepEqual([rankOf(undefined, 0), rankOf(1, 0), rankOf(1, 2), rankOf(undefined, 2)], [0, 1, 2, 3]);
});

testing.test("guards against ranks without a configuration, or with one that has changed since", () => {
    assert.equal(new callRanks.CallRanks([], []).of(undefined, { priority: 4 }).rank, 0);
    const ranks = new callRanks.CallRanks(priorities(1, 3), priorities(0));
    assert.deepEqual(priorities(0, 2, 9).map(customer => ranks.of(customer, { priority: 0 }).rank), [0, 1, 1]);
});
