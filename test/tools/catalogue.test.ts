/** Guards against outdated pages of events and failures and against duplicate numbers or names. */
import * as assert from "node:assert/strict";
import * as fs from "node:fs";
import * as path from "node:path";
import * as testing from "node:test";
import * as events from "../../src/catalogue/events.js";
import * as failures from "../../src/catalogue/failures.js";
import * as render from "../../tools/catalogue/render.js";

const ROOT = path.resolve(import.meta.dirname, "../..");
const FEATURE_RANGE = 100;
const FIRST_NUMBERS: Readonly<Record<string, number>> = {
    core: 1000,
    settings: 1100,
    manifest: 1200,
    "object-api": 1300,
    rpc: 1400,
    gossip: 1500,
    configuration: 1600,
    membership: 1700,
    admission: 1800,
    fairness: 1900,
    resilience: 2000,
    routing: 2100,
    streams: 2200,
    idempotency: 2300,
    quarantine: 2400,
    rollout: 2500,
    metrics: 2600,
    entry: 2700,
    agent: 2800,
    daemon: 2900,
    cli: 3000,
    "store-access": 3100,
    peering: 3200,
    forwarding: 3300,
    weights: 3400,
    runtime: 3500,
    placement: 3600,
};

testing.test("docs: events.md and errors.md are current", () => {
    const pageOf = (name: string) => fs.readFileSync(path.join(ROOT, "docs", name), "utf8");
    assert.equal(pageOf("events.md"), render.renderEvents(events.events));
    assert.equal(pageOf("errors.md"), render.renderFailures(failures.failures));
});

for (const kind of ["events", "failures"] as const) {
    testing.test(`catalogue: each feature has its own range, and no number or name of ${kind} occurs twice`, async () => {
        const names = new Set<string>();
        for (const [feature, first] of Object.entries(FIRST_NUMBERS)) {
            const module = await import(path.join(ROOT, "src", feature, `${kind}.ts`)) as Readonly<
                Record<typeof kind, Readonly<Record<string, { readonly number: number; }>>>
            >;
            const entries = Object.entries(module[kind]);
            const numbers = new Set(entries.map(([, item]) => item.number));
            assert.equal(numbers.size, entries.length, feature);
            for (const [name, item] of entries) {
                assert.ok(item.number > first && item.number < first + FEATURE_RANGE, `${feature}: ${name}`);
                assert.ok(!names.has(name), `${feature}: ${name}`);
                names.add(name);
            }
        }
    });
}

testing.test("catalogue: the product uses each event and each failure that it documents", () => {
    const files = ["src", "platform"].flatMap(folder => {
        return fs.readdirSync(path.join(ROOT, folder), { recursive: true, encoding: "utf8" })
            .map(file => path.join(folder, file));
    }).filter(file => file.endsWith(".ts") && !file.includes("/gen/") && !/(events|failures)\.ts$/.test(file));
    const source = files.map(file => fs.readFileSync(path.join(ROOT, file), "utf8")).join("\n");
    const unused = [...Object.keys(events.events), ...Object.keys(failures.failures)]
        .filter(name => !source.includes(`"${name}"`));
    assert.deepEqual(unused, []);
});
