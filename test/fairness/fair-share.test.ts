/**
 * Shares of the customers during a surge, on a simulated server with 16 slots.
 *
 * Guards against a customer that delays the others by sending several times its usual rate or many long prompts.
 */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as types from "../../src/fairness/types.js";
import * as servers from "./server-model.js";

const SLOTS = 16;
const TOKENS_PER_MS_OF_ALL_SLOTS = SLOTS * 10;
const MEAN_COST = 2000;
const SURGE_FACTOR = 5;
const LONG_PROMPT_FACTOR = 20;
/** 95th percentile of the wait during the surge relative to the usual one. */
const MAXIMUM_WAIT_RATIO = 1.25;
/** Completed work of the surging customer relative to its usual work; the minimum over five seeds was 0.96. */
const MINIMUM_WORK_RATIO = 0.95;
const DURATION_MS = 250_000;
const DEADLINE_MS = 30_000;

const limits: types.Limits = { slots: SLOTS, runningTokens: SLOTS * 80_000, queuedJobs: 100, queuedCost: 4_000_000 };
const customers = ["surging", "b", "c", "d", "e"];

function usualSources(load: number): readonly servers.TrafficSource[] {
    const requestsPerSecond = TOKENS_PER_MS_OF_ALL_SLOTS * 1000 * load / MEAN_COST / customers.length;
    return customers.map(customer => ({ customer, requestsPerSecond, meanCost: MEAN_COST }));
}

function surgeSource(load: number, costFactor: number): servers.TrafficSource {
    const requestsPerSecond = usualSources(load)[0].requestsPerSecond * (SURGE_FACTOR - 1) / costFactor;
    return { customer: "surging", requestsPerSecond, meanCost: MEAN_COST * costFactor, fromMs: servers.WARM_UP_MS };
}

function run(sources: readonly servers.TrafficSource[], seed: number): servers.SimulationResult {
    return servers.simulate(sources, limits, seed, DURATION_MS, DEADLINE_MS);
}

const surges = [
    { name: "requests", costFactor: 1 },
    { name: "long prompts", costFactor: LONG_PROMPT_FACTOR },
];

for (const { name, costFactor } of surges) {
    for (const load of [0.8, 0.9]) {
        testing.test(`fairness: a surge of ${name} at load ${load} does not delay the other customers`, () => {
            for (const seed of [11, 12, 26]) {
                const before = run(usualSources(load), seed);
                const during = run([...usualSources(load), surgeSource(load, costFactor)], seed);
                for (const customer of customers.slice(1)) {
                    const usualWaitMs = servers.percentile(before.waitsMs.get(customer)!, 0.95);
                    const waitMs = servers.percentile(during.waitsMs.get(customer)!, 0.95);
                    assert.ok(
                        waitMs <= MAXIMUM_WAIT_RATIO * usualWaitMs,
                        `${customer}, seed ${seed}: ${usualWaitMs} to ${waitMs} ms`,
                    );
                    assert.equal(during.refused.get(customer) ?? 0, 0, `${customer}, seed ${seed}: refused`);
                }
                const workRatio = during.completedCost.get("surging")! / before.completedCost.get("surging")!;
                assert.ok(
                    workRatio >= MINIMUM_WORK_RATIO,
                    `the surging customer completes its usual work, seed ${seed}: ${workRatio}`,
                );
            }
        });
    }
}
