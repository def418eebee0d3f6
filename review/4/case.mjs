/** An entry is partitioned from the store; a worker that left meanwhile gets requests from it again afterwards. */
import * as path from "node:path";
import * as url from "node:url";
import { runCase } from "../harness/case.mjs";
import { BOUNDS, pause } from "../harness/deployment.mjs";
import { send } from "../harness/requester.mjs";
import { Worker } from "../harness/worker.mjs";

const HOSTNAME = "plans.example";
const KEY = "key-of-the-gallery-1";
const PING_MS = 1200;
const CUT_MS = 4000;
/** Time in milliseconds for which the worker serves on after its entry has been removed: `drainMs` and many seconds. */
const LINGER_MS = BOUNDS.drainMs + 12_000;
const OBSERVED_MS = 20_000;
const SEND_INTERVAL_MS = 60;

const CONFIGURATION = {
    version: 1,
    routes: [{
        name: "r-booking",
        hostname: HOSTNAME,
        pathPrefix: "/crew/",
        routeType: "non_idempotent",
        timeoutMs: 800,
        targetLatencyMs: 100,
        priority: 2,
        service: "akaszto",
        maxAttempts: 1,
        anonymous: false,
    }],
    services: [{ name: "akaszto", healthCheck: "/health", maxConnections: 110, protocol: "h1", tls: false }],
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
    tenants: [{ name: "gallery", apiKeys: [KEY], priority: 1, unit: "tokens", uncachedTokens: 200 }],
};

await runCase(path.dirname(url.fileURLToPath(import.meta.url)), async ({ deployment, hasTrouble, record }) => {
    const { store, network } = deployment;
    const create = (number, options) => new Worker({
        id: `i-worker-${number}`,
        service: "akaszto",
        host: `${network}.${150 + number}`,
        port: 8080,
        store,
        ...options,
    });
    const [leaving, ...others] = [create(1, { cold: true }), create(2, {}), create(3, {})];
    const workers = [leaving, ...others];
    await Promise.all(workers.map(worker => worker.listen()));
    await deployment.start(2, CONFIGURATION, workers);
    const [cutEntry] = deployment.entries;
    const requests = [];
    let isOver = false;
    const requesters = deployment.entries.flatMap(entry =>
        [1, 2].map(async () => {
            while (!isOver) {
                const request = { method: "POST", path: "/crew/1", hostname: HOSTNAME, key: KEY, deadlineMs: 1500 };
                requests.push(await send(deployment.front(entry), request));
                await pause(SEND_INTERVAL_MS);
            }
        })
    );
    // The worker has started a moment ago: what it says of `coldRemainingMs` changes with each ping.
    for (let ping = 0; ping < 3; ping++) {
        await pause(PING_MS);
        leaving.register();
    }
    await pause(PING_MS / 2);
    const cutAt = performance.now();
    if (hasTrouble) {
        cutEntry.proxy.cut();
        record(`${cutEntry.ip} is partitioned from the store`);
    }
    await pause(PING_MS / 2);
    leaving.register();
    record(`${leaving.id} pings, for the last time`);
    await pause(PING_MS / 2);
    leaving.unregister();
    const removedAt = performance.now();
    record(`the store acknowledges that the entry of ${leaving.id} is removed; it serves on for ${LINGER_MS} ms`);
    setTimeout(() => {
        leaving.close();
        record(`${leaving.id} exits`);
    }, LINGER_MS);
    await pause(cutAt + CUT_MS - performance.now());
    const healedAt = performance.now();
    if (hasTrouble) {
        cutEntry.proxy.heal();
        record("the partition heals");
    }
    await pause(OBSERVED_MS);
    isOver = true;
    await Promise.all(requesters);

    const runs = new Map(workers.flatMap(worker => worker.runs).map(run => [run.id, run]));
    for (const request of requests) {
        const worker = runs.get(request.id)?.worker;
        record(`request ${request.id} to ${request.to}: ${request.outcome}${worker ? `, run by ${worker}` : ""}`, request.sentAt);
    }
    // The entry is in touch again when the partition has been over for `contactMs`.
    const boundAt = Math.max(removedAt + BOUNDS.drainMs, healedAt + BOUNDS.contactMs);
    const late = requests.filter(({ id, sentAt }) => sentAt > boundAt && runs.get(id)?.worker === leaving.id);
    const lost = late.filter(({ outcome }) => !/^\d/.test(outcome) || outcome === "502");
    const times = late.map(({ id }) => runs.get(id).at - removedAt);
    const between = late.length === 0 ? "" : `, ${Math.round(Math.min(...times))} to ${Math.round(Math.max(...times))} ms after the ack`;
    const summary = `${late.length} requests reached ${leaving.id} after the bound, from machines in touch${between};`
        + ` ${lost.length} of them were lost; ${requests.length} requests in all`;
    return { isBroken: late.length > 0, summary };
});
