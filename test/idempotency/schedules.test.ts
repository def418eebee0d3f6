/** Guards against calls that run twice, false `not-run` failures and requests that are never settled. */
import * as assert from "node:assert/strict";
import * as events from "node:events";
import * as testing from "node:test";
import * as threads from "node:worker_threads";
import type * as worker from "./schedules-worker.js";
import type * as simulation from "./simulation.js";

const SEED = 20261204;
const SCHEDULES = 10_000;
const THREADS = 4;

testing.test("idempotency: 10,000 random schedules of crashes and repeats run each request at most once", async () => {
    const batches = Array.from({ length: THREADS }, (_, index) => ({
        seed: SEED + index,
        schedules: SCHEDULES / THREADS,
    }));
    const reports = await Promise.all(batches.map(batch => run(batch)));
    assert.deepEqual(reports.map(report => report.error), batches.map(() => undefined));
    // Without this check, the test would also pass if no faults occurred.
    for (const name of Object.keys(reports[0].coverage) as (keyof simulation.Coverage)[]) {
        const total = reports.reduce((sum, report) => sum + report.coverage[name], 0);
        assert.ok(total > SCHEDULES / 100, `${name} occurred ${total} times`);
    }
});

/** Registers the TypeScript loader, because worker threads do not inherit it from the process. */
const THREAD_SOURCE = `
    import("tsx/esm/api").then(loader => {
        loader.register();
        return import(${JSON.stringify(new URL("./schedules-worker.ts", import.meta.url).href)});
    });
`;

async function run(batch: worker.Batch): Promise<worker.BatchReport> {
    const thread = new threads.Worker(THREAD_SOURCE, { eval: true, workerData: batch });
    const [report] = await events.EventEmitter.once(thread, "message") as [worker.BatchReport];
    await thread.terminate();
    return report;
}
