/** Guards against outdated weights that seem recent because several newer versions followed. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as desiredVersions from "../../src/weights/desired-versions.js";

testing.test("the age counts from the first newer version", () => {
    const history = new desiredVersions.DesiredVersionHistory(0);
    [[2, 1000], [3, 4000], [4, 7000]].forEach(([version, now]) => {
        assert.equal(
            history.add({ model: "menu", version: version!, position: { era: 0, revision: version! } }, now!),
            true,
        );
    });
    assert.equal(history.outdatedForMs(1, 9000), 8000);
    assert.equal(history.outdatedForMs(2, 9000), 5000);
    assert.equal(history.outdatedForMs(4, 9000), undefined);
});

testing.test("guards against going back to an older version", () => {
    const history = new desiredVersions.DesiredVersionHistory(0);
    history.add({ model: "menu", version: 3, position: { era: 0, revision: 9 } }, 0);
    assert.equal(history.add({ model: "menu", version: 2, position: { era: 0, revision: 10 } }, 1), false);
    assert.equal(history.newest?.version, 3);
});

testing.test("the first version is assumed to date from before the start", () => {
    const history = new desiredVersions.DesiredVersionHistory(3000);
    history.add({ model: "menu", version: 3, position: { era: 0, revision: 9 } }, 500);
    history.add({ model: "menu", version: 4, position: { era: 0, revision: 10 } }, 1000);
    assert.equal(history.outdatedForMs(2, 1000), 3500);
    assert.equal(history.outdatedForMs(3, 1500), 500);
});
