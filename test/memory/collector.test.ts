/** Guards against released buffers that fill the memory of a small machine until the runtime collects them (issue 37). */
import * as fc from "fast-check";
import * as assert from "node:assert/strict";
import * as fs from "node:fs/promises";
import * as path from "node:path";
import * as testing from "node:test";
import * as toml from "smol-toml";
import * as collectors from "../../src/memory/collector.js";

const ROOT = path.resolve(import.meta.dirname, "../..");
const MEGABYTE = 1024 * 1024;
const CAPACITY_BYTES = 100 * MEGABYTE;
/** Released buffers up to which nothing is collected; a tenth of the capacity. */
const LIMIT_BYTES = 10 * MEGABYTE;
const HELD_BYTES = 40 * MEGABYTE;
const SEED = 37;

/** A runtime whose buffers become old if they are held for long. */
class Runtime {
    heldBytes = HELD_BYTES;
    private youngBytes = 0;
    private oldBytes = 0;
    readonly collector: collectors.Collector;

    /** `otherBytes` are held without a reservation. */
    constructor(private readonly otherBytes = 0, capacityBytes = CAPACITY_BYTES) {
        this.collector = new collectors.Collector(capacityBytes, {
            measureBuffers: () => this.heldBytes + this.garbageBytes + this.otherBytes,
            collect: collection => {
                this.youngBytes = 0;
                this.oldBytes = collection === "major" ? 0 : this.oldBytes;
            },
        });
    }

    get garbageBytes(): number {
        return this.youngBytes + this.oldBytes;
    }

    release(bytes: number, isOld: boolean): void {
        this.youngBytes += isOld ? 0 : bytes;
        this.oldBytes += isOld ? bytes : 0;
        this.collector.released(bytes, this.heldBytes);
    }
}

testing.test("guards against released buffers that grow without bound, whatever their ages and sizes", () => {
    const release = fc.record({ bytes: fc.integer({ min: 1, max: LIMIT_BYTES / 4 }), isOld: fc.boolean() });
    fc.assert(
        fc.property(fc.array(release, { minLength: 100, maxLength: 300 }), releases => {
            const runtime = new Runtime();
            for (const { bytes, isOld } of releases) {
                runtime.release(bytes, isOld);
                assert.ok(runtime.garbageBytes <= 3 * LIMIT_BYTES, `${runtime.garbageBytes} bytes`);
            }
        }),
        { seed: SEED },
    );
});

testing.test("buffers that were allocated a moment ago are collected without the whole heap", () => {
    const runtime = new Runtime();
    for (let released = 0; released < 10 * LIMIT_BYTES; released += MEGABYTE) {
        runtime.release(MEGABYTE, false);
    }
    assert.ok(runtime.collector.collections.minor > 0);
    assert.equal(runtime.collector.collections.major, 0);
});

testing.test("guards against collections while the runtime keeps released buffers below the limit by itself", () => {
    const measured = HELD_BYTES + LIMIT_BYTES - 1;
    const collect = () => assert.fail("collected");
    const collector = new collectors.Collector(CAPACITY_BYTES, { measureBuffers: () => measured, collect });
    for (let released = 0; released < 10 * CAPACITY_BYTES; released += MEGABYTE) {
        collector.released(MEGABYTE, HELD_BYTES);
    }
    assert.deepEqual(collector.collections, { minor: 0, major: 0 });
});

testing.test("guards against collections of the whole heap in series if buffers are held that nobody reserved", () => {
    const runtime = new Runtime(5 * LIMIT_BYTES);
    for (let released = 0; released < 20 * LIMIT_BYTES; released += MEGABYTE) {
        runtime.release(MEGABYTE, false);
    }
    assert.ok(runtime.collector.collections.major <= 10, `${runtime.collector.collections.major} collections`);
});

testing.test("guards against collections in a process without a limit", () => {
    const runtime = new Runtime(0, Infinity);
    runtime.release(1000 * MEGABYTE, true);
    assert.deepEqual(runtime.collector.collections, { minor: 0, major: 0 });
});

testing.test("the deployment starts both roles with a runtime that offers collections", async () => {
    const deployment = toml.parse(await fs.readFile(path.join(ROOT, "deploy/system.toml"), "utf8")) as {
        readonly roles: Readonly<Record<"entry" | "agent", { readonly run: string; }>>;
    };
    const commands = Object.values(deployment.roles).map(({ run }) => run.split(" "));
    assert.deepEqual(commands.map(words => words.includes("--expose-gc")), [true, true]);
});
