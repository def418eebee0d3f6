/** Measures how long a killed process takes to serve requests again while the object API is down. */
import * as callers from "../demo/caller.js";
import * as deployments from "../support/deployment.js";

const CUSTOMER = "club";
const MODEL = "menu";
const RESTARTS_PER_NODE = 5;
const RETRY_INTERVAL_MS = 10;

const plan: deployments.Plan = {
    models: [MODEL],
    engines: ["menu-1", "menu-2"].map(name => ({ name, model: MODEL, dataCentre: "dc-a" })),
    bookingServices: ["dc-a"],
    entries: ["dc-a", "dc-b"],
    customers: [{ name: CUSTOMER, requestsPerSecond: 1000, burst: 1000 }],
};

async function main(): Promise<void> {
    await using deployment = await deployments.Deployment.start(plan);
    await fetch(`${deployment.objectApi}/control/faults`, {
        method: "PUT",
        headers: { "content-type": "text/plain" },
        body: JSON.stringify({ outage: true }),
    });
    for (const name of ["entry-1", "agent-menu-1"]) {
        for (let repetition = 0; repetition < RESTARTS_PER_NODE; repetition++) {
            const times = await restartNode(deployment, deployment.node(name));
            console.log(`${name}: ready after ${times.readyMs} ms, first answer after ${times.firstResponseMs} ms`);
        }
    }
}

/** Kills and restarts a node. Times are in milliseconds from the restart; the first response may use another agent. */
async function restartNode(deployment: deployments.Deployment, node: deployments.Node) {
    node.process.signal("SIGKILL");
    await node.process.exited;
    const startedAt = performance.now();
    await deployment.restart(node);
    const readyMs = Math.round(performance.now() - startedAt);
    const caller = callers.callerOf(deployment, CUSTOMER, 0);
    const chat = { model: MODEL, system: "rules", user: String(startedAt), maxTokens: 1 };
    while ((await callers.chat(caller, chat)).status !== 200) {
        await new Promise(resolve => setTimeout(resolve, RETRY_INTERVAL_MS));
    }
    return { readyMs, firstResponseMs: Math.round(performance.now() - startedAt) };
}

await main();
