/** Guards against old weights that look fresh because newer versions were named after them. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as histories from "../../src/weights/naming-history.js";

testing.test("the age counts from the first newer version", () => {
    const history = new histories.NamingHistory(0);
    [[2, 1000], [3, 4000], [4, 7000]].forEach(([version, now]) => {
        assert.equal(history.add({ model: "menu", version: version!, revision: version! }, now!), true);
    });
    assert.equal(history.outdatedForMs(1, 9000), 8000);
    assert.equal(history.outdatedForMs(2, 9000), 5000);
    assert.equal(history.outdatedForMs(4, 9000), undefined);
});

testing.test("guards against a version that goes back", () => {
    const history = new histories.NamingHistory(0);
    history.add({ model: "menu", version: 3, revision: 9 }, 0);
    assert.equal(history.add({ model: "menu", version: 2, revision: 10 }, 1), false);
    assert.equal(history.newest?.version, 3);
});

testing.test("weights that are found at the start are taken to have been named before it", () => {
    const history = new histories.NamingHistory(3000);
    history.add({ model: "menu", version: 3, revision: 9 }, 500);
    history.add({ model: "menu", version: 4, revision: 10 }, 1000);
    assert.equal(history.outdatedForMs(2, 1000), 3500);
    assert.equal(history.outdatedForMs(3, 1500), 500);
});
