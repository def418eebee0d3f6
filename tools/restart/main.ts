/** Measures how long a killed process takes to serve again while the object API is down. */
import * as callers from "../demo/caller.js";
import * as deployments from "../support/deployment.js";

const CUSTOMER = "club";
const MODEL = "menu";
const RESTARTS = 5;
const RETRY_MS = 10;

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
        for (let restart = 0; restart < RESTARTS; restart++) {
            const times = await measure(deployment, deployment.node(name));
            console.log(`${name}: ready after ${times.readyMs} ms, first answer after ${times.servedMs} ms`);
        }
    }
}

/** Milliseconds from the start of the new process. The first answer may come through another agent. */
async function measure(deployment: deployments.Deployment, node: deployments.Node) {
    node.process.signal("SIGKILL");
    await node.process.exited;
    const startedAt = performance.now();
    await deployment.restart(node);
    const readyMs = Math.round(performance.now() - startedAt);
    const caller = callers.callerOf(deployment, CUSTOMER, 0);
    const chat = { model: MODEL, system: "rules", user: String(startedAt), maxTokens: 1 };
    while ((await callers.chat(caller, chat)).status !== 200) {
        await new Promise(resolve => setTimeout(resolve, RETRY_MS));
    }
    return { readyMs, servedMs: Math.round(performance.now() - startedAt) };
}

await main();
