/**
 * Runs the test files and sets the exit status; arguments select files whose path contains one of them.
 *
 * KNOWN-RED.txt lists known failures. A test on a line "test: NAME", with its full name, may fail without failing the
 * run and is printed at the end; if it passes, the run fails, so that the file does not go stale. A test on a line
 * "intermittent: NAME" fails in some runs only; it may pass or fail, and its outcome is printed.
 */
import * as fs from "node:fs";
import * as path from "node:path";
import * as testing from "node:test";
import * as reporters from "node:test/reporters";

const KNOWN_FAILURES_FILE = "KNOWN-RED.txt";
const TEST_FILE_CONCURRENCY = 6;
/** Time in milliseconds after which a test file that has not ended fails. */
const TEST_FILE_TIMEOUT_MS = 300_000;

/** Test names on the lines of KNOWN-RED.txt that begin with the prefix. */
function readTestNames(prefix: "test: " | "intermittent: "): ReadonlySet<string> {
    if (!fs.existsSync(KNOWN_FAILURES_FILE)) {
        return new Set();
    }
    const lines = fs.readFileSync(KNOWN_FAILURES_FILE, "utf8").split("\n");
    return new Set(lines.filter(line => line.startsWith(prefix)).map(line => line.slice(prefix.length).trim()));
}

function testFiles(selection: readonly string[]): string[] {
    const files = fs.readdirSync("test", { recursive: true, encoding: "utf8" })
        .filter(file => file.endsWith(".test.ts"))
        .map(file => path.join("test", file))
        .sort();
    return selection.length === 0 ? files : files.filter(file => selection.some(part => file.includes(part)));
}

const knownFailures = readTestNames("test: ");
const intermittent = readTestNames("intermittent: ");
const failed = new Set<string>();
const passed = new Set<string>();
const files = testFiles(process.argv.slice(2));
const stream = testing.run({
    files: files.map(file => path.resolve(file)),
    concurrency: TEST_FILE_CONCURRENCY,
    timeout: TEST_FILE_TIMEOUT_MS,
});

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
    const unexpectedFailures = [...failed].filter(name => !knownFailures.has(name) && !intermittent.has(name));
    const staleEntries = [...knownFailures].filter(name => passed.has(name) && !failed.has(name));
    const expectedFailures = [...failed].filter(name => knownFailures.has(name));
    process.on("exit", () => {
        expectedFailures.forEach(name => console.log(`known red, see ${KNOWN_FAILURES_FILE}: ${name}`));
        staleEntries.forEach(name => console.log(`listed in ${KNOWN_FAILURES_FILE} but passes: ${name}`));
        intermittent.forEach(name => {
            const outcome = failed.has(name) ? "failed" : passed.has(name) ? "passed" : "not run";
            console.log(`intermittent, see ${KNOWN_FAILURES_FILE}: ${name}: ${outcome}`);
        });
        unexpectedFailures.forEach(name => console.log(`failed: ${name}`));
    });
    const ranNoTest = passed.size + failed.size === 0;
    process.exitCode = unexpectedFailures.length + staleEntries.length > 0 || ranNoTest ? 1 : 0;
});
