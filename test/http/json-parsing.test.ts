/** Guards against values of other processes that exhaust the stack or the heap, or make those beside them unreadable. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as jsonParsing from "../../src/http/json-parsing.js";

const SEED = 12;
const DEEP = "[".repeat(500_000) + "]".repeat(500_000);
const MANY = `[${"{},".repeat(200_000)}{}]`;

testing.test("a text within the bounds is parsed as it is", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.json({ maxDepth: 5 }), fastCheck.nat(4), (text, partsDepth) => {
            assert.deepEqual(jsonParsing.parse(text, { partsDepth }), JSON.parse(text));
        }),
        { seed: SEED },
    );
});

testing.test("guards against a text that makes the parser throw, whatever is put into it", () => {
    const fragments = ["{", "}", "[", "]", '"', "\\", ":", ",", "a", "1", "-", " ", "\u0000", "\ud800", "null", "{}"];
    const texts = fastCheck.array(fastCheck.constantFrom(...fragments), { maxLength: 40 });
    fastCheck.assert(
        fastCheck.property(texts, fastCheck.nat(4), (parts, partsDepth) => {
            const text = parts.join("");
            jsonParsing.parse(text, { partsDepth });
            const list = jsonParsing.parse(`{"items":[{"name":"a"},${text},{"name":"b"}]}`, { partsDepth: 2 });
            const isBalanced = list !== jsonParsing.UNREADABLE;
            assert.ok(!isBalanced || Array.isArray((list as Record<string, unknown>)["items"]));
        }),
        { seed: SEED, numRuns: 2000 },
    );
});

testing.test("guards against an unreadable, a deep or a large value that takes the others with it", () => {
    for (const odd of [DEEP, MANY, "NaN", "", '"\n"', '{"a" 1}', "{a:1}", '"\\u12"']) {
        const text =
            `{"items":[{"name":"a","spec":${odd}},{"name":"b","spec":{"x":"}],{\\"","y":[[],{}]}}],"revision":4}`;
        const expected = [{ name: "a" }, { name: "b", spec: { x: '}],{"', y: [[], {}] } }];
        assert.deepEqual(jsonParsing.parse(text, { partsDepth: 3 }), { items: expected, revision: 4 });
        assert.deepEqual(jsonParsing.parse(text, { partsDepth: 2 }), { items: [expected[1]], revision: 4 });
        assert.equal(jsonParsing.parse(text, { partsDepth: 0 }), jsonParsing.UNREADABLE);
    }
});

testing.test("guards against a text that is cut off or does not fit together: none of it is used", () => {
    const text = '{"items":[{"name":"a"},{"name":"b"}],"revision":4}';
    for (let length = 0; length < text.length; length++) {
        assert.equal(jsonParsing.parse(text.slice(0, length), { partsDepth: 3 }), jsonParsing.UNREADABLE);
    }
    for (const broken of ['{"items":[{"name":"a}],"revision":4}', "{1:2}", '{"a":1,}', "}{"]) {
        assert.equal(jsonParsing.parse(broken, { partsDepth: 3 }), jsonParsing.UNREADABLE);
    }
});
