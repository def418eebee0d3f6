/**
 * Measures the latency and the processor time that the router adds to a request, on a running deployment.
 *
 * Latency: sends the same requests one after another, alternating between the router and the engine, in one run.
 * Throughput: sends a bounded number of concurrent requests through one entry and reads each role's processor time.
 */
import * as fs from "node:fs/promises";
import * as deployments from "../support/deployment.js";
import * as usage from "./processor-time.js";
import * as requests from "./requests.js";
import * as statistics from "./statistics.js";

const WARM_UP_REQUESTS = 200;
const LATENCY_REQUESTS = 1000;
const LATENCY_TOKENS = 4;
const CONCURRENCY = 48;
const THROUGHPUT_REQUESTS = 6000;
const THROUGHPUT_TOKENS = 8;
const OUTPUT = "docs/path-cost.json";

/** Engine settings with almost no delay, so that the router dominates the measured time. */
const FAST_ENGINE = { max_running: 256, prefill_ms_per_token: 0, decode_ms: 0, cache_pieces: 4096 };

const plan: deployments.Plan = {
    models: ["menu"],
    engines: ["menu-1", "menu-2"].map(name => ({ name, model: "menu", dataCentre: "dc-a", settings: FAST_ENGINE })),
    bookingServices: [],
    entries: ["dc-a"],
    customers: [{ name: "club", requestsPerSecond: 1_000_000, burst: 1_000_000 }],
};

async function main(): Promise<void> {
    await using deployment = await deployments.Deployment.start(plan);
    const router = requests.routerTarget(deployment.entries[0].httpAddress, deployment.keys.get("club") ?? "");
    const engine = requests.engineTarget(deployment.backends[0].address);
    const latency = await measureLatency(router, engine);
    const throughput = await measureThroughput(deployment, router);
    const result = { latency, throughput };
    console.log(JSON.stringify(result, undefined, 4));
    if (process.argv.includes("--write")) {
        await fs.writeFile(OUTPUT, `${JSON.stringify(result, undefined, 4)}\n`);
    }
    await router.pool.destroy();
    await engine.pool.destroy();
}

async function measureLatency(router: requests.Target, engine: requests.Target) {
    for (let index = 0; index < WARM_UP_REQUESTS; index++) {
        await requests.timeRequest(router, index, LATENCY_TOKENS);
        await requests.timeRequest(engine, index, LATENCY_TOKENS);
    }
    const routedMs: number[] = [];
    const directMs: number[] = [];
    for (let index = 0; index < LATENCY_REQUESTS; index++) {
        routedMs.push((await requests.timeRequest(router, index, LATENCY_TOKENS)).firstTokenMs);
        directMs.push((await requests.timeRequest(engine, index, LATENCY_TOKENS)).firstTokenMs);
    }
    const routed = statistics.summarize(routedMs);
    const direct = statistics.summarize(directMs);
    return {
        firstTokenThroughRouterMs: routed,
        firstTokenAtEngineMs: direct,
        addedMs: { median: routed.median - direct.median, p99: routed.p99 - direct.p99 },
    };
}

async function measureThroughput(deployment: deployments.Deployment, router: requests.Target) {
    const nodes = deployment.nodes.map(node => ({ name: node.name, role: node.role, pid: node.process.pid }));
    const before = await Promise.all(nodes.map(node => usage.readUsage(node.pid)));
    const startedAt = performance.now();
    let next = 0;
    const worker = async () => {
        while (next < THROUGHPUT_REQUESTS) {
            await requests.timeRequest(router, next++, THROUGHPUT_TOKENS);
        }
    };
    await Promise.all(Array.from({ length: CONCURRENCY }, worker));
    const elapsedSeconds = (performance.now() - startedAt) / 1000;
    const after = await Promise.all(nodes.map(node => usage.readUsage(node.pid)));
    const processorSeconds = (role: string) =>
        nodes.reduce((sum, node, index) => {
            return node.role === role ? sum + after[index].processorSeconds - before[index].processorSeconds : sum;
        }, 0);
    return {
        concurrency: CONCURRENCY,
        requests: THROUGHPUT_REQUESTS,
        tokensPerRequest: THROUGHPUT_TOKENS,
        requestsPerSecond: THROUGHPUT_REQUESTS / elapsedSeconds,
        entryRequestsPerCoreSecond: THROUGHPUT_REQUESTS / processorSeconds("entry"),
        agentRequestsPerCoreSecond: THROUGHPUT_REQUESTS / processorSeconds("agent"),
        residentMegabytes: Object.fromEntries(
            nodes.map((node, index) => [node.name, Math.round(after[index].residentBytes / 1_000_000)]),
        ),
    };
}

await main();
