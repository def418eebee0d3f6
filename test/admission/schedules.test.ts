/**
 * Checks rate and burst under random fault schedules, with the production state machines on a virtual clock.
 *
 * Guards against two agents that grant at the same time, tokens refilled twice after a takeover, grants used after their
 * validity, and refusals of customers within their rate when one instance is lost.
 */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as manifest from "../../src/manifest/types.js";
import * as clusters from "./virtual-cluster.js";

const SEED = 20_418;
const DURATION_MS = 20_000;
const STORE_OUTAGE_MS = 10 * 60 * 1000;

const rates: ReadonlyMap<string, manifest.Rate> = new Map([
    ["large", { requestsPerSecond: 20, burst: 10 }],
    ["small", { requestsPerSecond: 2, burst: 4 }],
    ["sparse", { requestsPerSecond: 0.5, burst: 2 }],
    ["no-burst", { requestsPerSecond: 10, burst: 1 }],
]);

const faults = fastCheck.array(
    fastCheck.record({
        kind: fastCheck.constantFrom<clusters.FaultKind>(
            "crash",
            "crash",
            "pause",
            "pause",
            "isolate",
            "split",
            "split",
            "drain",
            "store-outage",
            "store-loses-answers",
            "slow-network",
        ),
        at: fastCheck.integer({ min: 0, max: DURATION_MS - 3000 }),
        target: fastCheck.integer({ min: 0, max: 5 }),
        durationMs: fastCheck.oneof(
            fastCheck.integer({ min: 20, max: 400 }),
            fastCheck.integer({ min: 800, max: 1400 }),
            fastCheck.integer({ min: 2000, max: 9000 }),
        ),
    }),
    { minLength: 1, maxLength: 12 },
);

const scenario = (agents: number, load: number) => ({
    agents,
    entries: 3,
    rates,
    load,
    durationMs: DURATION_MS,
});

function assertBound(result: clusters.Result): void {
    for (const [customer, times] of result.admissions) {
        assert.ok(
            clusters.largestExcess(times, rates.get(customer)!) <= 1e-6,
            `${customer} exceeds its rate and burst`,
        );
    }
}

for (const agents of [2, 3]) {
    testing.test(`admission: ${agents} agents enforce rate and burst under random fault schedules`, () => {
        fastCheck.assert(
            fastCheck.property(fastCheck.integer(), faults, (seed, schedule) => {
                const cluster = new clusters.VirtualCluster({ ...scenario(agents, 5), seed, faults: schedule });
                assertBound(cluster.run());
            }),
            { seed: SEED + agents, numRuns: 100 },
        );
    });
}

testing.test("admission: a rate lowered under load is enforced once all agents have adopted it", () => {
    const lowered = new Map([...rates].map(([customer, rate]) => [
        customer,
        { requestsPerSecond: rate.requestsPerSecond / 4, burst: Math.max(1, rate.burst / 4) },
    ]));
    fastCheck.assert(
        fastCheck.property(fastCheck.integer(), faults, (seed, schedule) => {
            const change = { at: 8000, spreadMs: 2000, rates: lowered };
            const result = new clusters.VirtualCluster({ ...scenario(3, 5), seed, faults: schedule, change }).run();
            // Grants made before the adoption can be used until their validity ends.
            const from = clusters.FIRST_ARRIVAL_MS + change.at + change.spreadMs + 100;
            for (const [customer, times] of result.admissions) {
                const after = times.filter(time => time >= from);
                assert.ok(
                    clusters.largestExcess(after, lowered.get(customer)!) <= 1e-6,
                    `${customer} after the change`,
                );
                assert.ok(clusters.largestExcess(times, rates.get(customer)!) <= 1e-6, `${customer} in all windows`);
            }
        }),
        { seed: SEED + 4, numRuns: 40 },
    );
});

interface SingleLoss {
    readonly name: string;
    readonly kind: clusters.FaultKind;
    readonly target: number;
    readonly durationMs: number;
}

// Agent 0 is the first primary and agent 1 its standby.
const singleLosses: readonly SingleLoss[] = [
    { name: "steady state", kind: "slow-network", target: 0, durationMs: 0 },
    { name: "crash of the primary", kind: "crash", target: 0, durationMs: DURATION_MS },
    { name: "crash and restart of the primary", kind: "crash", target: 0, durationMs: 500 },
    { name: "silent loss of the primary", kind: "pause", target: 0, durationMs: DURATION_MS },
    { name: "isolation of the primary", kind: "isolate", target: 0, durationMs: 5000 },
    { name: "crash of the standby", kind: "crash", target: 1, durationMs: DURATION_MS },
    { name: "silent loss of the standby", kind: "pause", target: 1, durationMs: DURATION_MS },
    { name: "drain of the primary", kind: "drain", target: 0, durationMs: 2000 },
    { name: "store outage of 10 minutes", kind: "store-outage", target: 0, durationMs: STORE_OUTAGE_MS },
];

const ratesWithBurst = new Map([...rates].filter(([customer]) => customer !== "no-burst"));

for (const loss of singleLosses) {
    testing.test(`admission: no refusal within the rate: ${loss.name}`, () => {
        const durationMs = loss.kind === "store-outage" ? STORE_OUTAGE_MS : DURATION_MS;
        const numRuns = loss.kind === "store-outage" ? 3 : 25;
        fastCheck.assert(
            fastCheck.property(fastCheck.integer(), fastCheck.integer({ min: 1000, max: 6000 }), (seed, at) => {
                const fault = { ...loss, at };
                const cluster = new clusters.VirtualCluster({
                    ...scenario(3, 1),
                    rates: ratesWithBurst,
                    durationMs,
                    seed,
                    faults: [fault],
                });
                const result = cluster.run();
                assertBound(result);
                assert.deepEqual(result.refusals, []);
            }),
            { seed: SEED + 5, numRuns },
        );
    });
}

testing.test("admission: no refusal within the rate when the primary crashes during a store outage", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.integer(), fastCheck.integer({ min: 2000, max: 6000 }), (seed, at) => {
            const schedule: readonly clusters.Fault[] = [
                { kind: "store-outage", at: 1000, target: 0, durationMs: STORE_OUTAGE_MS },
                { kind: "crash", at, target: 0, durationMs: STORE_OUTAGE_MS },
            ];
            const cluster = new clusters.VirtualCluster({
                ...scenario(3, 1),
                rates: ratesWithBurst,
                seed,
                faults: schedule,
            });
            const result = cluster.run();
            assertBound(result);
            assert.deepEqual(result.refusals, []);
        }),
        { seed: SEED + 6, numRuns: 25 },
    );
});
