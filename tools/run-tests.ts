/**
 * Runs every test file and decides the exit status.
 *
 * A failing test does not fail the run when KNOWN-RED.txt lists its full name on a line "test: NAME"; such tests are
 * printed at the end. A listed test that passes fails the run, so that the list never goes stale. A test that fails in
 * some runs only stands on a line "intermittent: NAME"; it is printed with its outcome in each run.
 */
import * as fs from "node:fs";
import * as path from "node:path";
import * as testing from "node:test";
import * as reporters from "node:test/reporters";

const KNOWN_RED_FILE = "KNOWN-RED.txt";
const TEST_FILE_CONCURRENCY = 6;

/** Names on the lines of KNOWN-RED.txt that begin with a word. */
function listedTests(word: "test: " | "intermittent: "): ReadonlySet<string> {
    if (!fs.existsSync(KNOWN_RED_FILE)) {
        return new Set();
    }
    const lines = fs.readFileSync(KNOWN_RED_FILE, "utf8").split("\n");
    return new Set(lines.filter(line => line.startsWith(word)).map(line => line.slice(word.length).trim()));
}

function testFiles(selection: readonly string[]): string[] {
    const files = fs.readdirSync("test", { recursive: true, encoding: "utf8" })
        .filter(file => file.endsWith(".test.ts"))
        .map(file => path.join("test", file))
        .sort();
    return selection.length === 0 ? files : files.filter(file => selection.some(part => file.includes(part)));
}

const knownRed = listedTests("test: ");
const intermittent = listedTests("intermittent: ");
const failed = new Set<string>();
const passed = new Set<string>();
const files = testFiles(process.argv.slice(2));
const stream = testing.run({ files: files.map(file => path.resolve(file)), concurrency: TEST_FILE_CONCURRENCY });

stream.on("test:fail", event => {
    const isSuite = event.details.type === "suite";
    const isParent = event.details.error?.message.includes("subtest") ?? false;
    if (!isSuite && !isParent) {
        failed.add(event.name);
    }
});
stream.on("test:pass", event => {
    passed.add(event.name);
});
stream.compose(new reporters.spec()).pipe(process.stdout);
stream.on("end", () => {
    const unexpected = [...failed].filter(name => !knownRed.has(name) && !intermittent.has(name));
    const stale = [...knownRed].filter(name => passed.has(name) && !failed.has(name));
    const expected = [...failed].filter(name => knownRed.has(name));
    process.on("exit", () => {
        expected.forEach(name => console.log(`known red, see ${KNOWN_RED_FILE}: ${name}`));
        stale.forEach(name => console.log(`listed in ${KNOWN_RED_FILE} but passes: ${name}`));
        intermittent.forEach(name => {
            const outcome = failed.has(name) ? "failed" : passed.has(name) ? "passed" : "not run";
            console.log(`intermittent, see ${KNOWN_RED_FILE}: ${name}: ${outcome}`);
        });
        unexpected.forEach(name => console.log(`failed: ${name}`));
    });
    const noTest = passed.size + failed.size === 0;
    process.exitCode = unexpected.length + stale.length > 0 || noTest ? 1 : 0;
});
