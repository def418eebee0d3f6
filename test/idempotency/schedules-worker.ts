/** Runs a batch of schedules in a worker thread, because the hooks of the test runner would double their run time. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as threads from "node:worker_threads";
import * as simulation from "./simulation.js";

export interface Batch {
    readonly seed: number;
    readonly schedules: number;
}

export interface BatchReport {
    readonly error: string | undefined;
    readonly coverage: simulation.Coverage;
}

async function check(batch: Batch): Promise<BatchReport> {
    const coverage: simulation.Coverage = { ...simulation.EMPTY_COVERAGE };
    const property = fastCheck.asyncProperty(fastCheck.integer({ min: 0, max: 0x7fffffff }), async seed => {
        const report = await simulation.simulate(seed);
        for (const name of Object.keys(coverage) as (keyof simulation.Coverage)[]) {
            coverage[name] += report.coverage[name];
        }
        assert.deepEqual(report.violations, []);
    });
    const details = await fastCheck.check(property, {
        seed: batch.seed,
        numRuns: batch.schedules,
        endOnFailure: true,
    });
    return { error: details.failed ? String(details.errorInstance) : undefined, coverage };
}

threads.parentPort?.postMessage(await check(threads.workerData as Batch));
