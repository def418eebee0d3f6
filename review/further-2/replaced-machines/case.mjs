// Machines have been replaced by others one after the other, many times; then one tenant sends many times its usual.
import fs from "node:fs";
import { fileURLToPath } from "node:url";
import * as deployment from "../../stand-ins-2/deployment.mjs";
import * as requester from "../../stand-ins-2/requester.mjs";
import { Store } from "../../stand-ins-2/store.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const REPLACED_MACHINES = Number(process.env.REPLACED ?? 700);
const STARTED_AT_ONCE = 8;
const ZONES = ["noe-1", "noe-2", "noe-3"];
const ENTRY_ZONES = ["noe-1", "noe-1", "noe-2", "noe-3"];
/** Allotment of the tenant, and bounds of the deployment, in tokens and seconds. */
const RATE_PER_S = 147_759;
const BURST = 147_759;
const QUOTA_WINDOW_S = 8;
const QUOTA_OVERSHOOT = 0.1;
const QUOTA_SLACK = 110_000;
/** The tenant's usual is its rate / 1.8; it sends 7.5 times that. */
const REQUEST_TOKENS = 9200;
const REQUESTS_PER_S = 7.5 * RATE_PER_S / 1.8 / REQUEST_TOKENS;
const recorder = new deployment.Recorder(fileURLToPath(new URL(".", import.meta.url)));
const folder = deployment.temporaryFolder("review-replaced");

async function play() {
    const store = new Store(`127.0.42.1:${await deployment.freePort("127.0.42.1")}`);
    await store.listen();
    const storeAddress = `${store.host}:${store.port}`;
    const born = Date.now() - 60_000;
    const workers = [];
    for (let index = 0; index < 8; index++) {
        const ip = `127.0.42.${51 + index}`;
        workers.push({ id: `i-llm${index}`, address: `${ip}:${await deployment.freePort(ip)}`, zone: ZONES[index % 3] });
    }
    const runs = [];
    const standIn = deployment.startStandIn(fileURLToPath(new URL("../../stand-ins-2/worker.mjs", import.meta.url)), {
        service: "llm", kind: "stream", model: "m", version: 1, born, workers, pieces: 5, pieceMs: 20,
    });
    readLines(standIn.stdout, event => {
        if (event.event === "run") {
            runs.push({ ...event, at: event.at - performance.timeOrigin });
        }
    });
    for (const { id, address, zone } of workers) {
        store.put("servers", id, {
            service: "llm", address, zone, version: "v1", slots: 96, state: "ready", coldRemainingMs: 0,
            stage: "colocated", models: [{ name: "m", version: 1, adapters: [] }], seq: 1, born,
        });
    }
    store.put("versions", "m", { model: "m", version: 1 });
    store.put("config", "main", {
        version: 1,
        limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
        routes: [{
            name: "cards", hostname: "a.example", pathPrefix: "/cards/", routeType: "streaming", timeoutMs: 5000, targetLatencyMs: 600,
            priority: 1, service: "llm", maxAttempts: 2, anonymous: false, sticky: true, resumable: true, gapTargetMs: 250,
        }],
        services: [{
            name: "llm", healthCheck: "/health", maxConnections: 480, protocol: "h1", tls: false,
            engine: { slots: 96, kvCapacity: 115023, kvTokenBytes: 131072, linkMbps: 280000, maxInflight: 12, models: [{ name: "m" }] },
        }],
        tenants: [{
            name: "club", apiKeys: ["key-1"], priority: 1, unit: "tokens", uncachedTokens: 200, isolated: false, ratePerS: RATE_PER_S, burst: BURST,
        }],
    });
    const port = await deployment.freePort("127.0.42.11", true);
    const common = { zones: ZONES, port, store: storeAddress, seeds: ["127.0.42.11:9", "127.0.42.12:9", "127.0.42.13:9"], contracts: deployment.CONTRACTS };
    if (HAS_TROUBLE) {
        await replaceMachines(store, common);
    }
    const entries = [];
    for (const [index, zone] of ENTRY_ZONES.entries()) {
        const ip = `127.0.42.${11 + index}`;
        const front = `${ip}:${await deployment.freePort(ip)}`;
        const ready = `${ip}:${await deployment.freePort(ip)}`;
        const options = { ...common, role: "entry", name: `edge-${zone}-${100 + index}`, ip, zone, front, ready };
        entries.push({ front, ready, process: deployment.startProgram(folder, options) });
    }
    const areReady = async () => (await Promise.all(entries.map(entry => requester.isReady(entry.ready)))).every(Boolean);
    await deployment.until(areReady, 20_000, "entries are ready");
    recorder.note(`entries are ready; the store has ${store.objects("ibisstep-members").size} objects of the kind ibisstep-members`);
    await deployment.pause(10_000);

    const answers = [];
    const pressingUntil = performance.now() + 12_000;
    for (let number = 0; performance.now() < pressingUntil; number++) {
        const entry = entries[number % entries.length];
        const id = `card-${number}`;
        void requester.send({
            address: entry.front, path: "/cards/1", host: "a.example", body: "{}",
            headers: {
                "Request-Id": id, "Deadline-Ms": 5000, Authorization: "Bearer key-1", Model: "m",
                "Token-Count": `${REQUEST_TOKENS - 10},10`, "Prompt-Prefix": `aa${number % 8}:6300,bb${number}:2890`,
            },
        }).then(answer => {
            answers.push({ id, ...answer });
            recorder.note(`${id} at ${entry.process.options.name}, sent at ${seconds(answer.sentAt)}: ${answer.status} ${answer.reason}`);
        });
        await deployment.pause(1000 / REQUESTS_PER_S);
    }
    await deployment.pause(6000);
    runs.forEach(run => recorder.note(`run at ${seconds(run.at)}: ${run.requestId} at ${run.id} for ${run.tenant}, ${run.tokens} tokens`));
    const sentAt = new Map(answers.map(answer => [answer.id, answer.sentAt]));
    const starts = runs.map(run => ({ sent: sentAt.get(run.requestId) ?? run.at, at: run.at })).sort((left, right) => left.sent - right.sent);
    // Both sent and arrived within the window.
    const worst = Math.max(0, ...starts.map(({ sent }) => {
        return starts.filter(other => other.sent >= sent && other.at <= sent + QUOTA_WINDOW_S * 1000).length;
    })) * REQUEST_TOKENS;
    const limit = (RATE_PER_S * QUOTA_WINDOW_S + BURST) * (1 + QUOTA_OVERSHOOT) + QUOTA_SLACK;
    recorder.note(`sent ${answers.length}, run ${runs.length}, refused with 429 ${answers.filter(answer => answer.status === 429).length}`);
    recorder.note(`most tokens in ${QUOTA_WINDOW_S} s: ${worst}; the rule allows ${Math.round(limit)}`);
    store.close();
    if (answers.length < 400 || runs.length < 100 || entries.some(entry => entry.process.exited)) {
        return 2;
    }
    return worst > limit ? 1 : 0;
}

/** Each machine starts, registers, gets SIGTERM, and is gone for good; the next one has another name and address. */
async function replaceMachines(store, common) {
    let next = 0;
    const replaceNext = async () => {
        while (next < REPLACED_MACHINES) {
            const number = next++;
            const zone = ZONES[number % 3];
            const ip = `127.0.${43 + Math.floor(number / 200)}.${1 + number % 200}`;
            const name = `side-${zone}-${number}`;
            const options = { ...common, role: "agent", name, ip, zone, app: `${ip}:9`, service: "llm" };
            const running = deployment.startProgram(folder, options);
            await deployment.until(() => store.objects("ibisstep-members").has(name) || running.exited, 20_000, `${name} registers`);
            running.child.kill("SIGTERM");
            await deployment.until(() => running.exited, 10_000, `${name} ends`);
        }
    };
    await Promise.all(Array.from({ length: STARTED_AT_ONCE }, replaceNext));
    recorder.note(`${REPLACED_MACHINES} machines were started and stopped with SIGTERM`);
}

function seconds(at) {
    return `${((at - recorder.startedAt) / 1000).toFixed(3)} s`;
}

function readLines(stream, listener) {
    let rest = "";
    stream.on("data", chunk => {
        const lines = (rest + chunk).split("\n");
        rest = lines.pop();
        lines.forEach(line => listener(JSON.parse(line)));
    });
}

let status = 2;
try {
    status = await play();
}
catch (error) {
    recorder.note(`the case could not run: ${error.stack}`);
}
recorder.note(`exit status ${status}`);
recorder.flush();
deployment.endAll();
fs.rmSync(folder, { recursive: true, force: true });
process.exit(status);
