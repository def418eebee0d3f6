import * as assert from "node:assert/strict";
import * as testing from "node:test";
testing.test("works", () => {
    assert.equal(1, 1);
});
