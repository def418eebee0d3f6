/** All open channels to the store go silent; a configuration that is acknowledged afterwards comes too late. */
import * as path from "node:path";
import * as url from "node:url";
import { runCase } from "../harness/case.mjs";
import { BOUNDS, pause } from "../harness/deployment.mjs";
import { send } from "../harness/requester.mjs";
import { Worker } from "../harness/worker.mjs";

const HOSTNAME = "plans.example";
const [KEPT_KEY, WITHDRAWN_KEY, NEW_KEY] = ["key-that-stays-0001", "key-that-goes-00002", "key-that-comes-0003"];
/** Time in milliseconds from the silence to the acknowledgement of the configuration: all machines are in touch again. */
const ACK_AFTER_MS = BOUNDS.contactMs + 600;
const OBSERVED_AFTER_ACK_MS = 8000;
const SEND_INTERVAL_MS = 100;

function configuration(version, keys) {
    return {
        version,
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
        tenants: [{ name: "gallery", apiKeys: keys, priority: 1, unit: "tokens", uncachedTokens: 200 }],
    };
}

await runCase(path.dirname(url.fileURLToPath(import.meta.url)), async ({ deployment, hasTrouble, record }) => {
    const { store, network } = deployment;
    const workers = [1, 2].map(number => new Worker({
        id: `i-worker-${number}`,
        service: "akaszto",
        host: `${network}.${150 + number}`,
        port: 8080,
        store,
    }));
    await Promise.all(workers.map(worker => worker.listen()));
    await deployment.start(2, configuration(1, [KEPT_KEY, WITHDRAWN_KEY]), workers);
    const requests = [];
    let isOver = false;
    const requesters = deployment.entries.flatMap(entry =>
        [KEPT_KEY, WITHDRAWN_KEY, NEW_KEY].map(async key => {
            while (!isOver) {
                const request = { method: "POST", path: "/crew/1", hostname: HOSTNAME, key, deadlineMs: 1500 };
                requests.push(await send(deployment.front(entry), request));
                await pause(SEND_INTERVAL_MS);
            }
        })
    );
    await pause(2000);
    store.put("config", "main", configuration(2, [KEPT_KEY, WITHDRAWN_KEY]));
    record("the store acknowledges configuration 2, with the same keys");
    await pause(500);
    if (hasTrouble) {
        const counts = deployment.entries.map(({ proxy }) => proxy.silence());
        record(`the open channels to the store go silent: ${counts.join(" and ")} of the two entries`);
    }
    const silentAt = performance.now();
    await pause(ACK_AFTER_MS);
    store.put("config", "main", configuration(3, [KEPT_KEY, NEW_KEY]));
    const acknowledgedAt = performance.now();
    record(`the store acknowledges configuration 3, without ${WITHDRAWN_KEY} and with ${NEW_KEY}`);
    await pause(OBSERVED_AFTER_ACK_MS);
    isOver = true;
    await Promise.all(requesters);

    const runs = new Map(workers.flatMap(worker => worker.runs).map(run => [run.id, run]));
    for (const request of requests) {
        const run = runs.get(request.id);
        record(
            `request ${request.id} with ${request.key} to ${request.to}: ${request.outcome}`
                + `${run === undefined ? "" : `, run by ${run.worker} at ${((run.at - silentAt) / 1000).toFixed(3)} s of the silence`}`,
            request.sentAt,
        );
    }
    const late = requests.filter(({ sentAt }) => sentAt > acknowledgedAt + BOUNDS.configApplyMs);
    const runWithWithdrawn = late.filter(({ id, key }) => key === WITHDRAWN_KEY && runs.has(id));
    const refusedWithNew = late.filter(({ key, outcome }) => key === NEW_KEY && outcome === "401");
    const served = late.filter(({ key, outcome }) => key === KEPT_KEY && outcome === "200");
    const last = Math.max(0, ...[...runWithWithdrawn, ...refusedWithNew].map(({ sentAt }) => sentAt - acknowledgedAt));
    const summary = `of ${late.length} requests sent later than ${BOUNDS.configApplyMs} ms after the ack,`
        + ` ${runWithWithdrawn.length} ran with the withdrawn key, ${refusedWithNew.length} with the new key got 401,`
        + ` the last ${Math.round(last)} ms after the ack; ${served.length} with the kept key were served`;
    return { isBroken: runWithWithdrawn.length + refusedWithNew.length > 0, summary };
});
