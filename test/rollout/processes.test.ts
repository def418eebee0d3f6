/**
 * Rollouts of a bad version and then of a good one with real daemon and engine processes.
 *
 * Guards against integration failures: orders that don't reach an engine, counts that don't reach the coordinator, a
 * veto that entries or agents ignore, and a failure of the new version that callers see. The limits of `waitUntil` only
 * end a test that hangs.
 */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as types from "../../src/rollout/types.js";
import * as callers from "../../tools/demo/caller.js";
import * as deployments from "../../tools/support/deployment.js";
import * as processes from "../../tools/support/processes.js";

const TIMEOUT_MS = 120_000;
const CUSTOMER = "club";
const MODEL = "menu";
const PARALLEL_REQUESTS = 8;
/** Long enough that no step reaches the end of its time budget. */
const DEADLINE_MS = 3_600_000;

const settings = {
    weights_load_ms: 50,
    decode_ms: 1,
    faults: [{ weights_version: "v2", effect: "fail" }],
};
const plan: deployments.Plan = {
    models: [MODEL],
    engines: [
        { name: "menu-1", model: MODEL, dataCentre: "dc-a", settings },
        { name: "menu-2", model: MODEL, dataCentre: "dc-b", settings },
    ],
    bookingServices: ["dc-a"],
    entries: ["dc-a"],
    customers: [{ name: CUSTOMER, requestsPerSecond: 10_000, burst: 10_000 }],
};

function rolloutManifest(name: string, to: string): string {
    const deadline = new Date(Date.now() + DEADLINE_MS).toISOString();
    return [
        "[[rollouts]]",
        `name = "${name}"`,
        `model = "${MODEL}"`,
        'from = "v1"',
        `to = "${to}"`,
        "steps = [0.05, 1]",
        `deadline = "${deadline}"`,
        "step_ms = 500",
    ].join("\n");
}

testing.test("a bad version is rolled back unseen by callers, and the next one is served", async () => {
    await using deployment = await deployments.Deployment.start(plan);
    const caller = callers.callerOf(deployment, CUSTOMER, 0);
    const statuses = new Map<number, number>();
    let sent = 0;

    async function requestsOf(version: string): Promise<number> {
        const engines = deployment.backends.filter(backend => backend.kind === "engine");
        const counts = await Promise.all(engines.map(async engine => {
            const response = await fetch(`http://${engine.address}/control/statistics`);
            const { requests } = await response.json() as { readonly requests: Readonly<Record<string, number>>; };
            return requests[version] ?? 0;
        }));
        return counts.reduce((sum, count) => sum + count, 0);
    }

    async function statusOf(rollout: string): Promise<types.RolloutStatus | undefined> {
        const response = await fetch(`${deployment.objectApi}/v1/objects/rollout/status`);
        const { statuses: found } = await response.json() as { readonly statuses: readonly types.RolloutStatus[]; };
        return found.find(status => status.rollout === rollout);
    }

    /** Sends rounds of parallel requests until the condition holds. */
    async function sendUntil(description: string, condition: () => Promise<boolean>): Promise<void> {
        await processes.waitUntil(description, TIMEOUT_MS, async () => {
            await Promise.all(Array.from({ length: PARALLEL_REQUESTS }, async () => {
                const user = `question ${sent++}`;
                const response = await callers.chat(caller, { model: MODEL, system: "rules", user, maxTokens: 2 });
                statuses.set(response.status, (statuses.get(response.status) ?? 0) + 1);
            }));
            return condition();
        });
    }

    await deployment.applyManifest(deployment.manifest([], rolloutManifest("spring", "v2")));
    await sendUntil("rollback", async () => (await statusOf("spring"))?.phase === "rolled-back");
    assert.match((await statusOf("spring"))?.reason ?? "", /requests failed on route chat/);
    const badRequests = await requestsOf("v2");
    assert.ok(badRequests > 0 && badRequests <= sent * 0.05, `${badRequests} of ${sent} requests`);
    const target = sent + 400;
    await sendUntil("requests after the rollback", async () => sent >= target);
    assert.equal(await requestsOf("v2"), badRequests, "requests on the withdrawn version");

    await deployment.applyManifest(deployment.manifest([], rolloutManifest("summer", "v3")));
    await sendUntil("requests on the next version", async () => await requestsOf("v3") > 0);
    assert.equal((await statusOf("summer"))?.phase, "shifting");
    assert.deepEqual([...statuses.keys()], [200], JSON.stringify([...statuses]));
});
