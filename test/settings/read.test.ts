/** Guards against settings that start a process in the wrong role or with an unvalidated value. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as fs from "node:fs";
import * as path from "node:path";
import * as testing from "node:test";
import * as reader from "../../src/settings/read.js";

const SEED = 41;
const EXAMPLES = path.resolve(import.meta.dirname, "../../examples/settings");

function example(name: string): string {
    return fs.readFileSync(path.join(EXAMPLES, name), "utf8");
}

testing.test("settings: the examples are valid and get the schema defaults", () => {
    const entry = reader.parse(example("entry.toml"), "entry.toml");
    const agent = reader.parse(example("agent.toml"), "agent.toml");
    assert.ok(entry.ok && agent.ok);
    assert.equal(entry.value.timing.request_deadline_ms, 120_000);
    assert.equal(agent.value.backend.queued_requests, 512);
});

testing.test("settings: the error names a missing required field and an unknown field", () => {
    const missing = reader.parse(example("agent.toml").replace(/^backend_address.*$/m, ""), "agent.toml");
    assert.ok(!missing.ok);
    assert.match(missing.failure.detail, /agent\.toml: backend_address: missing; the role "agent" needs it/);
    const unknown = reader.parse(`${example("entry.toml")}\nspeed = 3\n`, "entry.toml");
    assert.ok(!unknown.ok);
    assert.match(unknown.failure.detail, /speed/);
});

testing.test("settings: a corrupted line either parses or is reported with the file name", () => {
    const lines = example("entry.toml").split("\n");
    const mutation = fastCheck.tuple(fastCheck.nat(lines.length - 1), fastCheck.string({ maxLength: 12 }));
    fastCheck.assert(
        fastCheck.property(mutation, ([line, text]) => {
            const corrupted = lines.with(line, lines[line] + text).join("\n");
            const result = reader.parse(corrupted, "entry.toml");
            assert.ok(result.ok || result.failure.detail.startsWith("entry.toml:"));
        }),
        { seed: SEED },
    );
});
