/** Guards against logs that grow with a burst of calls, block the process, or lose lines without a report. */
import * as assert from "node:assert/strict";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as testing from "node:test";
import * as writers from "../../src/logging/line-writer.js";
import * as journals from "../../src/logging/rate-limited-journal.js";
import * as virtualClock from "../support/virtual-clock.js";

const SEED = 3;

class Collector extends writers.LineWriter {
    readonly lines: string[] = [];

    constructor() {
        super(1);
    }

    override write(line: string): void {
        this.lines.push(line);
    }
}

testing.test("a burst of one event is limited, without an effect on other events and journals", async () => {
    const clock = new virtualClock.VirtualClock(SEED);
    const collector = new Collector();
    const journal = journals.createRateLimitedJournal(clock, { node: "n" }, collector);
    for (let call = 0; call < 1000; call++) {
        journal.emit("call-waits", { call: `c${call}` });
    }
    journal.emit("call-cancelled", { call: "c" });
    assert.equal(collector.lines.length, 151);
    const laterClock = { ...clock, now: () => 2000, wallTime: () => 2000 } as typeof clock;
    const secondJournal = journals.createRateLimitedJournal(laterClock, {}, collector);
    secondJournal.emit("call-waits", { call: "last" });
    assert.equal(JSON.parse(collector.lines.at(-1)!).name, "call-waits");
});

testing.test("guards against a text of another process that fills the log: it is cut, and the line stays whole", () => {
    const collector = new Collector();
    const journal = journals.createRateLimitedJournal(new virtualClock.VirtualClock(SEED), {}, collector);
    journal.emit("record-invalid", { kind: "servers", record: "n".repeat(1024 * 1024), reason: "no address" });
    assert.ok(collector.lines[0]!.length < 2048);
    const { kind, reason } = JSON.parse(collector.lines[0]!) as Readonly<Record<string, string>>;
    assert.deepEqual([kind, reason], ["servers", "no address"]);
});

testing.test("guards against unlimited buffering when the reader is slow or gone", async () => {
    const file = path.join(os.tmpdir(), `ibisstep-lines-${process.pid}`);
    const descriptor = fs.openSync(file, "w");
    const writer = new writers.LineWriter(descriptor);
    const line = `${"x".repeat(1000)}\n`;
    for (let count = 0; count < 3000; count++) {
        writer.write(line);
    }
    assert.ok(writer.takeDroppedCount() > 0);
    writer.flushSync();
    const written = fs.statSync(file).size;
    fs.closeSync(descriptor);
    fs.rmSync(file);
    assert.ok(written <= 1024 * 1024 && written > 0);
});
