/** Guards against a call whose fate can't be told from the logs, or is told wrongly. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as timeline from "../../src/cli/call-timeline.js";

const FIRST = JSON.stringify({
    time: "2026-01-01T00:00:01.000Z",
    node: "a",
    name: "call-placed",
    call: "c1",
    backendServer: "s",
});
const SECOND = JSON.stringify({
    time: "2026-01-01T00:00:02.000Z",
    node: "b",
    name: "call-answered",
    call: "c1",
    status: 200,
});
const OTHER = JSON.stringify({ time: "2026-01-01T00:00:01.500Z", node: "a", name: "call-placed", call: "c12" });

testing.test("lines of several processes are put in order, behind any prefix", () => {
    const entries = timeline.ofCall([`${SECOND}\n`, `  1.0 host ${FIRST}\nnoise c1\n${OTHER}\n`], "c1");
    assert.deepEqual(entries.map(entry => entry.name), ["call-placed", "call-answered"]);
    assert.equal(timeline.describe(entries[1]!), "2026-01-01T00:00:02.000Z b call-answered status=200");
});

testing.test("guards against a cut line that ends the report", () => {
    assert.equal(timeline.ofCall([`{"time":"2026","call":"c1\n${FIRST}`], "c1").length, 1);
});
