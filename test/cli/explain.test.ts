/** Guards against a history of a call that is incomplete or incorrect. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as timeline from "../../src/cli/call-timeline.js";

const FIRST_LINE = JSON.stringify({
    time: "2026-01-01T00:00:01.000Z",
    node: "a",
    name: "call-placed",
    call: "c1",
    backendServer: "s",
});
const SECOND_LINE = JSON.stringify({
    time: "2026-01-01T00:00:02.000Z",
    node: "b",
    name: "call-answered",
    call: "c1",
    status: 200,
});
const OTHER_CALL_LINE = JSON.stringify({
    time: "2026-01-01T00:00:01.500Z",
    node: "a",
    name: "call-placed",
    call: "c12",
});

testing.test("the lines of several processes are ordered by time, with or without a prefix", () => {
    const entries = timeline.entriesOfCall([
        `${SECOND_LINE}\n`,
        `  1.0 host ${FIRST_LINE}\nnoise c1\n${OTHER_CALL_LINE}\n`,
    ], "c1");
    assert.deepEqual(entries.map(entry => entry.name), ["call-placed", "call-answered"]);
    assert.equal(timeline.formatEntry(entries[1]!), "2026-01-01T00:00:02.000Z b call-answered status=200");
});

testing.test("a truncated line does not abort the report", () => {
    assert.equal(timeline.entriesOfCall([`{"time":"2026","call":"c1\n${FIRST_LINE}`], "c1").length, 1);
});
