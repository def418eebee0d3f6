/**
 * Share of the customers under a surge, on a modelled server with 16 slots.
 *
 * Guards against a customer that slows the others by sending several times its rate or many long prompts, and against
 * batch jobs that starve.
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
const WAIT_LIMIT = 1.25;
/** Work of the surging customer relative to its usual one; 0.96 was the least seen over five seeds. */
const LEAST_OF_USUAL = 0.95;
const DURATION_MS = 250_000;
const DEADLINE_MS = 30_000;

const limits: types.Limits = { slots: SLOTS, runningTokens: SLOTS * 80_000, queuedJobs: 100, queuedCost: 4_000_000 };
const customers = ["surging", "b", "c", "d", "e"];

function usual(load: number): readonly servers.Source[] {
    const requestsPerSecond = TOKENS_PER_MS_OF_ALL_SLOTS * 1000 * load / MEAN_COST / customers.length;
    return customers.map(customer => ({ customer, requestsPerSecond, meanCost: MEAN_COST }));
}

function surge(load: number, costFactor: number): servers.Source {
    const requestsPerSecond = usual(load)[0].requestsPerSecond * (SURGE_FACTOR - 1) / costFactor;
    return { customer: "surging", requestsPerSecond, meanCost: MEAN_COST * costFactor, fromMs: servers.WARM_UP_MS };
}

function run(sources: readonly servers.Source[], seed: number): servers.Run {
    return servers.simulate(sources, limits, seed, DURATION_MS, DEADLINE_MS);
}

const surges = [
    { name: "requests", costFactor: 1 },
    { name: "long prompts", costFactor: LONG_PROMPT_FACTOR },
];

for (const { name, costFactor } of surges) {
    for (const load of [0.8, 0.9]) {
        testing.test(`fairness: a surge of ${name} at load ${load} does not slow the other customers`, () => {
            for (const seed of [11, 12, 26]) {
                const before = run(usual(load), seed);
                const during = run([...usual(load), surge(load, costFactor)], seed);
                for (const customer of customers.slice(1)) {
                    const usualWait = servers.percentile(before.waits.get(customer)!, 0.95);
                    const wait = servers.percentile(during.waits.get(customer)!, 0.95);
                    assert.ok(wait <= WAIT_LIMIT * usualWait, `${customer}, seed ${seed}: ${usualWait} to ${wait} ms`);
                    assert.equal(during.refused.get(customer) ?? 0, 0, `${customer}, seed ${seed}: refused`);
                }
                const share = during.completedCost.get("surging")! / before.completedCost.get("surging")!;
                assert.ok(
                    share >= LEAST_OF_USUAL,
                    `the surging customer keeps its usual amount, seed ${seed}: ${share}`,
                );
            }
        });
    }
}
