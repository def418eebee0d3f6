/** A request that is larger than any worker's memory removes the limit of its customer. */
import * as path from "node:path";
import * as url from "node:url";
import { runCase } from "../../harness/case.mjs";
import { BOUNDS, pause } from "../../harness/deployment.mjs";
import { Engine } from "../../harness/engine.mjs";
import { requestId, send } from "../../harness/requester.mjs";

const HOSTNAME = "walls.example";
const KEY = "key-of-the-gallery-1";
const MODEL = "layout";
const RATE_PER_S = 20_000;
const BURST = 20_000;
/** Tokens of a layout review, in and out, and the time in milliseconds between two of them when the customer presses. */
const PROMPT_TOKENS = 9190;
const OUTPUT_TOKENS = 10;
const PRESSED_INTERVAL_MS = 80;
const PRESSED_MS = 6500;
/** Prompt tokens of the oversized request: more digits than a floating-point number holds. */
const OVERSIZED_TOKENS = "9".repeat(310);

const CONFIGURATION = {
    version: 1,
    routes: [{
        name: "r-review",
        hostname: HOSTNAME,
        pathPrefix: "/wall/",
        routeType: "streaming",
        timeoutMs: 5000,
        targetLatencyMs: 600,
        priority: 1,
        service: "tervezo",
        maxAttempts: 2,
        anonymous: false,
        sticky: true,
        resumable: true,
        gapTargetMs: 250,
    }],
    services: [{
        name: "tervezo",
        healthCheck: "/health",
        maxConnections: 300,
        protocol: "h1",
        tls: false,
        engine: {
            slots: 48,
            kvCapacity: 84089,
            kvTokenBytes: 262144,
            linkMbps: 550000,
            maxInflight: 12,
            models: [{ name: MODEL }],
        },
    }],
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
    tenants: [{
        name: "gallery",
        apiKeys: [KEY],
        priority: 1,
        unit: "tokens",
        uncachedTokens: 200,
        ratePerS: RATE_PER_S,
        burst: BURST,
    }],
};

await runCase(path.dirname(url.fileURLToPath(import.meta.url)), async ({ deployment, hasTrouble, record }) => {
    const { store, network } = deployment;
    const engines = [1, 2, 3, 4].map(number => new Engine({
        id: `i-engine-${number}`,
        service: "tervezo",
        host: `${network}.${50 + number}`,
        port: 8080,
        store,
        models: [MODEL],
    }));
    await Promise.all(engines.map(engine => engine.listen()));
    store.put("versions", MODEL, { model: MODEL, version: 1 });
    await deployment.start(2, CONFIGURATION, engines, engines);
    const review = tokens => ({
        method: "POST",
        path: "/wall/1",
        hostname: HOSTNAME,
        key: KEY,
        deadlineMs: 5000,
        extraHeaders: {
            "Model": MODEL,
            "Token-Count": `${tokens},${OUTPUT_TOKENS}`,
            "Prompt-Prefix": `a1:6300,${requestId()}:2890`,
        },
    });
    // The customer's allotment is unused until then.
    await pause(4000);
    if (hasTrouble) {
        for (const entry of deployment.entries) {
            const { id, outcome } = await send(deployment.front(entry), review(OVERSIZED_TOKENS));
            record(`oversized request ${id} to ${entry.ip}: ${outcome}`);
        }
    }
    await pause(1000);
    const pending = [];
    record(`the customer presses for ${PRESSED_MS} ms`);
    const pressedUntil = performance.now() + PRESSED_MS;
    for (let number = 0; performance.now() < pressedUntil; number++) {
        const entry = deployment.entries[number % deployment.entries.length];
        pending.push(send(deployment.front(entry), review(PROMPT_TOKENS)));
        await pause(PRESSED_INTERVAL_MS);
    }
    const requests = await Promise.all(pending);

    const runs = new Map(engines.flatMap(engine => engine.runs).map(run => [run.id, run]));
    for (const { id, to, outcome, sentAt } of requests) {
        record(`request ${id} to ${to}: ${outcome}${runs.has(id) ? `, run by ${runs.get(id).worker}` : ""}`, sentAt);
    }
    // All of them were sent and arrived within one window of `quotaWindowS`.
    const ran = requests.filter(({ id }) => runs.has(id));
    const span = Math.max(...ran.map(({ id }) => runs.get(id).at)) - Math.min(...ran.map(({ sentAt }) => sentAt));
    const tokens = ran.length * (PROMPT_TOKENS + OUTPUT_TOKENS);
    const allowed = (RATE_PER_S * BOUNDS.quotaWindowS + BURST) * (1 + BOUNDS.quotaOvershoot) + BOUNDS.quotaSlack;
    const isBroken = span <= BOUNDS.quotaWindowS * 1000 && tokens > allowed;
    const summary = `${tokens} tokens in ${ran.length} of ${requests.length} requests ran within ${Math.round(span)} ms;`
        + ` the rule allows ${Math.round(allowed)} in ${BOUNDS.quotaWindowS} s`;
    return { isBroken, summary };
});
