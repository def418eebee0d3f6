/**
 * Measures what the router adds to a request, on the running system.
 *
 * Latency: the same requests one after another, alternating between the router and the engine itself, in one run.
 * Throughput: a bounded number of requests at once through one entry; processor time of each role from the kernel.
 */
import * as fs from "node:fs/promises";
import * as deployments from "../support/deployment.js";
import * as usage from "./processor-time.js";
import * as requests from "./requests.js";
import * as statistics from "./statistics.js";

const WARM_UP = 200;
const LATENCY_REQUESTS = 1000;
const LATENCY_TOKENS = 4;
const CONCURRENCY = 48;
const THROUGHPUT_REQUESTS = 6000;
const THROUGHPUT_TOKENS = 8;
const OUTPUT = "docs/path-cost.json";

/** An engine that costs almost nothing, so that the router's part shows. */
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
    for (let index = 0; index < WARM_UP; index++) {
        await requests.timeRequest(router, index, LATENCY_TOKENS);
        await requests.timeRequest(engine, index, LATENCY_TOKENS);
    }
    const through: number[] = [];
    const straight: number[] = [];
    for (let index = 0; index < LATENCY_REQUESTS; index++) {
        through.push((await requests.timeRequest(router, index, LATENCY_TOKENS)).firstTokenMs);
        straight.push((await requests.timeRequest(engine, index, LATENCY_TOKENS)).firstTokenMs);
    }
    const routed = statistics.summarize(through);
    const direct = statistics.summarize(straight);
    return {
        firstTokenThroughRouterMs: routed,
        firstTokenAtEngineMs: direct,
        addedMs: { median: routed.median - direct.median, p99: routed.p99 - direct.p99 },
    };
}

async function measureThroughput(deployment: deployments.Deployment, router: requests.Target) {
    const nodes = deployment.nodes.map(node => ({ name: node.name, role: node.role, pid: node.process.pid }));
    const before = await Promise.all(nodes.map(node => usage.usageOf(node.pid)));
    const startedAt = performance.now();
    let next = 0;
    const worker = async () => {
        while (next < THROUGHPUT_REQUESTS) {
            await requests.timeRequest(router, next++, THROUGHPUT_TOKENS);
        }
    };
    await Promise.all(Array.from({ length: CONCURRENCY }, worker));
    const elapsedSeconds = (performance.now() - startedAt) / 1000;
    const after = await Promise.all(nodes.map(node => usage.usageOf(node.pid)));
    const seconds = (role: string) =>
        nodes.reduce((sum, node, index) => {
            return node.role === role ? sum + after[index].seconds - before[index].seconds : sum;
        }, 0);
    return {
        concurrency: CONCURRENCY,
        requests: THROUGHPUT_REQUESTS,
        tokensPerRequest: THROUGHPUT_TOKENS,
        requestsPerSecond: THROUGHPUT_REQUESTS / elapsedSeconds,
        entryRequestsPerCoreSecond: THROUGHPUT_REQUESTS / seconds("entry"),
        agentRequestsPerCoreSecond: THROUGHPUT_REQUESTS / seconds("agent"),
        residentMegabytes: Object.fromEntries(
            nodes.map((node, index) => [node.name, Math.round(after[index].residentBytes / 1_000_000)]),
        ),
    };
}

await main();
