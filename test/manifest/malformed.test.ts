/** Guards against a corrupted manifest that is partly applied, or that is rejected without the location of the error. */
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
/** `source:line:column: ` for invalid TOML, `source: path: ` for all other errors. */
const FINDING_WITH_LOCATION = /^config\/manifest(:\d+:\d+|: (\(top level\)|[a-z_.[\]\d]+)): \S/;

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

const mutation = fastCheck.record({
    position: fastCheck.double({ min: 0, max: 1, noNaN: true }),
    removed: fastCheck.oneof(fastCheck.nat(3), fastCheck.nat(400)),
    fragment,
});

function applyMutations(
    text: string,
    mutations: readonly { position: number; removed: number; fragment: string; }[],
): string {
    return mutations.reduce((current, item) => {
        const start = Math.floor(item.position * current.length);
        return current.slice(0, start) + item.fragment + current.slice(start + item.removed);
    }, text);
}

testing.test("manifest: a randomly corrupted text either compiles or is rejected as a whole with the location of each error", () => {
    fastCheck.assert(
        fastCheck.property(example, fastCheck.array(mutation, { minLength: 1, maxLength: 3 }), (text, mutations) => {
            const before = compiler.compile(text, 1);
            assert.ok(before.ok);
            const decision = adoption.decideAdoption(before.value, {
                version: 2,
                text: applyMutations(text, mutations),
            });
            if (decision.action === "adopt") {
                assert.equal(decision.configuration.version, 2);
                return;
            }
            assert.ok(decision.action === "reject");
            decision.failure.detail.split("; config/").forEach((finding, index) =>
                assert.match(index === 0 ? finding : `config/${finding}`, FINDING_WITH_LOCATION)
            );
        }),
        { seed: SEED, numRuns: RUNS },
    );
});
