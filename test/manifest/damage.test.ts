/** Guards against a damaged manifest that takes effect in part, or that is refused without saying where. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as fs from "node:fs";
import * as path from "node:path";
import * as testing from "node:test";
import * as adoption from "../../src/configuration/adoption.js";
import * as compiler from "../../src/manifest/compile.js";

const SEED = 26;
const RUNS = 1000;
const EXAMPLES = path.resolve(import.meta.dirname, "../../examples");
/** `source:line:column: ` for text that is not TOML, `source: path: ` for the rest. */
const PLACE = /^config\/manifest(:\d+:\d+|: (\(top level\)|[a-z_.[\]\d]+)): \S/;

const example = fastCheck.constantFrom("kremsau", "falikep")
    .map(name => fs.readFileSync(path.join(EXAMPLES, name, "manifest.toml"), "utf8"));

const fragment = fastCheck.oneof(
    fastCheck.constantFrom(
        "",
        "[",
        "]]",
        '"',
        "=",
        "\n",
        "-1",
        "1e999",
        "null",
        "{",
        "[[routes]]\n",
        "[x.y]\n",
        "\u0000",
    ),
    fastCheck.constantFrom("9".repeat(40), "[".repeat(5000), "1979-05-27", 'name = "a"\n', "'''", "\\u12", "true"),
    fastCheck.string({ unit: "binary", maxLength: 6 }),
);

const damage = fastCheck.record({
    position: fastCheck.double({ min: 0, max: 1, noNaN: true }),
    removed: fastCheck.oneof(fastCheck.nat(3), fastCheck.nat(400)),
    fragment,
});

function apply(text: string, damages: readonly { position: number; removed: number; fragment: string; }[]): string {
    return damages.reduce((current, item) => {
        const start = Math.floor(item.position * current.length);
        return current.slice(0, start) + item.fragment + current.slice(start + item.removed);
    }, text);
}

testing.test("manifest: random damage either compiles or names a place and leaves the configuration as it was", () => {
    fastCheck.assert(
        fastCheck.property(example, fastCheck.array(damage, { minLength: 1, maxLength: 3 }), (text, damages) => {
            const before = compiler.compile(text, 1);
            assert.ok(before.ok);
            const judgement = adoption.decideAdoption(before.value, { version: 2, text: apply(text, damages) });
            if (judgement.action === "adopt") {
                assert.equal(judgement.configuration.version, 2);
                return;
            }
            assert.ok(judgement.action === "reject");
            judgement.failure.detail.split("; config/").forEach((finding, index) =>
                assert.match(index === 0 ? finding : `config/${finding}`, PLACE)
            );
        }),
        { seed: SEED, numRuns: RUNS },
    );
});
