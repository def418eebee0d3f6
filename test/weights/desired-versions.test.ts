/** Guards against outdated weights that seem recent because several newer versions followed. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as desiredVersions from "../../src/weights/desired-versions.js";
import * as fencingTokens from "../../src/weights/fencing-token.js";

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

testing.test("restored store: guards against fencing tokens that go back when revisions do", () => {
    const history = new desiredVersions.DesiredVersionHistory(0);
    const tokens: number[] = [];
    const learn = (version: number, era: number, revision: number) => {
        history.add({ model: "menu", version, position: { era, revision } }, 0);
        tokens.push(fencingTokens.fencingToken(history.newest!.position));
    };
    learn(7, 1, 500);
    // The store lost version 7, which is named again at a lower revision of the new era, and version 8 follows.
    learn(6, 2, 470);
    learn(7, 2, 480);
    learn(8, 2, 490);
    // A peer that is cut off from the store still tells of the era before.
    learn(8, 1, 510);
    learn(9, 1, 520);
    assert.deepEqual(tokens, [...tokens].sort((left, right) => left - right));
    assert.ok(tokens[1]! > tokens[0]!);
    assert.equal(history.newest?.version, 9);
    assert.ok(tokens.every(Number.isSafeInteger));
});
