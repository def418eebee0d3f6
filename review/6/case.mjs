// Some model workers send bytes without end in the body of a few answers, for five seconds.
import fs from "node:fs";
import net from "node:net";
import http from "node:http";
import { fileURLToPath } from "node:url";
import * as deployment from "../stand-ins-2/deployment.mjs";
import * as requester from "../stand-ins-2/requester.mjs";
import { Store } from "../stand-ins-2/store.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const ZONES = ["noe-1", "noe-2"];
/** Traffic of the site: tischnotiz and dietcard-match together, and bookings. */
const STREAMS_PER_S = 69;
const BOOKINGS_PER_S = 17;
/** Dose of the disturbance: half of the workers, 0.05 of their answers, for 5 s. */
const TROUBLED_WORKERS = 2;
const WORKERS = 4;
const TROUBLED_SHARE = 0.05;
const TROUBLE_MS = 5000;
/** Limit of the bookings' route, and what the rule adds to it. */
const TIMEOUT_MS = 2000;
const FINAL_ANSWER_MS = 500;
/** Time limit of the requesters; requesters abandon a stream after a gap of two seconds. */
const BOOKING_LIMIT_MS = 4000;
const STREAM_LIMIT_MS = 15_000;
const STREAM_GAP_MS = 2000;
const recorder = new deployment.Recorder(fileURLToPath(new URL(".", import.meta.url)));
const folder = deployment.temporaryFolder("review-6");

async function play() {
    const store = new Store(`127.0.45.1:${await deployment.freePort("127.0.45.1")}`);
    await store.listen();
    const born = Date.now() - 60_000;
    const models = await addresses("i-llm", 51, WORKERS);
    const desks = await addresses("i-desk", 71, 3);
    const runs = [];
    let endless = 0;
    const onEvent = event => {
        if (event.event === "run") {
            runs.push(event);
            recorder.note(`${event.id} runs ${event.requestId}`);
        }
        else if (event.event === "endless") {
            endless++;
            recorder.note(`the answer to ${event.requestId} has no end`);
        }
    };
    const workerPath = fileURLToPath(new URL("../stand-ins-2/worker.mjs", import.meta.url));
    const modelProcesses = models.map((worker, index) => deployment.startStandIn(workerPath, {
        service: "llm", kind: "stream", model: "m", version: 1, born, workers: [worker], pieces: 20, pieceMs: 25,
        troubleShare: index < TROUBLED_WORKERS ? TROUBLED_SHARE : 0, endlessLine: "x\n",
    }));
    const deskProcess = deployment.startStandIn(workerPath, { service: "desk", kind: "plain", born, workers: desks, workMs: 60 });
    [...modelProcesses, deskProcess].forEach(child => readLines(child.stdout, onEvent));
    for (const { id, address, zone } of models) {
        store.put("servers", id, {
            service: "llm", address, zone, version: "v1", slots: 96, state: "ready", coldRemainingMs: 0,
            stage: "colocated", models: [{ name: "m", version: 1, adapters: [] }], seq: 1, born,
        });
    }
    for (const { id, address, zone } of desks) {
        store.put("servers", id, { service: "desk", address, zone, version: "v1", slots: 6, state: "ready", coldRemainingMs: 0, seq: 1, born });
    }
    store.put("versions", "m", { model: "m", version: 1 });
    store.put("config", "main", {
        version: 1,
        limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
        routes: [{
            name: "notes", hostname: "a.example", pathPrefix: "/notes/", routeType: "streaming", timeoutMs: STREAM_LIMIT_MS,
            targetLatencyMs: 400, priority: 0, service: "llm", maxAttempts: 1, anonymous: false, sticky: true, resumable: false, gapTargetMs: 250,
        }, {
            name: "book", hostname: "a.example", pathPrefix: "/book/", routeType: "non_idempotent", timeoutMs: TIMEOUT_MS,
            targetLatencyMs: 300, priority: 2, service: "desk", maxAttempts: 1, anonymous: false,
        }],
        services: [{
            name: "llm", healthCheck: "/health", maxConnections: 480, protocol: "h1", tls: false,
            engine: { slots: 96, kvCapacity: 115023, kvTokenBytes: 131072, linkMbps: 280000, maxInflight: 12, models: [{ name: "m" }] },
        }, { name: "desk", healthCheck: "/health", maxConnections: 96, protocol: "h1", tls: false }],
        tenants: [{ name: "club", apiKeys: ["key-1"], priority: 1, unit: "tokens", uncachedTokens: 200, isolated: false, ratePerS: 0, burst: 0 }],
    });
    const port = await deployment.freePort("127.0.45.11", true);
    const entries = [];
    for (const [index, zone] of ZONES.entries()) {
        const ip = `127.0.45.${11 + index}`;
        const front = `${ip}:${await deployment.freePort(ip)}`;
        const ready = `${ip}:${await deployment.freePort(ip)}`;
        const options = {
            role: "entry", name: `edge-${zone}-1`, ip, zone, zones: ZONES, port, front, ready, store: `${store.host}:${store.port}`,
            seeds: ["127.0.45.11:9", "127.0.45.12:9"], contracts: deployment.CONTRACTS,
        };
        entries.push({ name: options.name, front, ready, process: deployment.startProgram(folder, options), agent: new http.Agent({ keepAlive: true }) });
    }
    const areReady = async () => (await Promise.all(entries.map(entry => requester.isReady(entry.ready)))).every(Boolean);
    await deployment.until(areReady, 20_000, "entries are ready");
    recorder.note("entries are ready");

    const bookings = [];
    const streams = [];
    const book = number => {
        const entry = entries[number % entries.length];
        const id = `book-${number}`;
        const booking = { id, sentAt: performance.now(), status: undefined, tookMs: Infinity };
        bookings.push(booking);
        void requester.send({
            address: entry.front, agent: entry.agent, path: "/book/1", host: "a.example", body: "{}", limitMs: BOOKING_LIMIT_MS,
            headers: { "Request-Id": id, "Deadline-Ms": BOOKING_LIMIT_MS, Authorization: "Bearer key-1" },
        }).then(({ status, tookMs, reason }) => {
            Object.assign(booking, { status, tookMs });
            recorder.note(`${id} at ${entry.name}, sent at ${seconds(booking.sentAt)}: ${status} ${reason} after ${tookMs.toFixed(0)} ms`);
        });
    };
    const startedAt = performance.now();
    const over = startedAt + 20_000;
    const press = async (perSecond, action) => {
        for (let number = 0; performance.now() < over; number++) {
            action(number);
            await deployment.pause(Math.max(0, startedAt + (number + 1) * 1000 / perSecond - performance.now()));
        }
    };
    const probes = [];
    const probe = async () => {
        while (performance.now() < over) {
            await Promise.all(entries.map(async entry => {
                const at = performance.now();
                const isReady = await requester.isReady(entry.ready);
                probes.push(isReady);
                if (!isReady) {
                    recorder.note(`no 200 from ${entry.name} to the question at ${seconds(at)} whether it is ready`);
                }
            }));
            await deployment.pause(1000);
        }
    };
    const disturb = async () => {
        await deployment.pause(5000);
        if (HAS_TROUBLE) {
            modelProcesses.forEach(child => child.stdin.write("trouble\n"));
            recorder.note("bytes without end begin");
            await deployment.pause(TROUBLE_MS);
            modelProcesses.forEach(child => child.stdin.write("calm\n"));
            recorder.note("no further answer gets bytes without end");
        }
    };
    await Promise.all([
        press(BOOKINGS_PER_S, book),
        press(STREAMS_PER_S, number => streams.push(stream(entries[number % entries.length], `note-${number}`))),
        probe(),
        disturb(),
    ]);
    await deployment.pause(6000);
    store.close();

    const ended = await Promise.all(streams);
    const long = bookings.filter(({ tookMs }) => tookMs > TIMEOUT_MS);
    const unanswered = long.filter(({ status, tookMs }) => !status || tookMs > TIMEOUT_MS + FINAL_ANSWER_MS);
    recorder.note(`streams: ${ended.length}, complete ${ended.filter(({ end }) => end === "complete").length}, `
        + `abandoned after a gap of ${STREAM_GAP_MS} ms ${ended.filter(({ end }) => end === "abandoned").length}; answers without end: ${endless}`);
    recorder.note(`questions whether an entry is ready: ${probes.length}, without a 200: ${probes.filter(isReady => !isReady).length}`);
    recorder.note(`bookings: ${bookings.length}, over ${TIMEOUT_MS} ms: ${long.length}, of these without a final answer `
        + `${FINAL_ANSWER_MS} ms later: ${unanswered.length}, without any answer in ${BOOKING_LIMIT_MS} ms: ${bookings.filter(({ status }) => !status).length}`);
    if (entries.some(entry => entry.process.exited) || bookings.length < 300 || HAS_TROUBLE && endless === 0) {
        return 2;
    }
    return unanswered.length >= 8 && unanswered.length > long.length / 4 ? 1 : 0;
}

/** A streaming request on a channel of its own. Resolves with how it ended. */
function stream(entry, id) {
    const [host, port] = entry.front.split(":");
    const sentAt = performance.now();
    return new Promise(resolve => {
        let text = "";
        let timer;
        const socket = net.connect({ host, port: Number(port) });
        const finish = end => {
            clearTimeout(timer);
            socket.destroy();
            recorder.note(`${id} at ${entry.name}, sent at ${seconds(sentAt)}: ${text.slice(9, 12) || "no answer"}, ${end}`);
            resolve({ end });
        };
        const restart = () => {
            clearTimeout(timer);
            timer = setTimeout(() => finish("abandoned"), STREAM_GAP_MS);
        };
        restart();
        socket.on("data", bytes => {
            // What is kept is enough to see the status and the end.
            text = (text.slice(0, 12) + text.slice(12).slice(-200)) + bytes.toString("latin1");
            if (bytes.includes("data:")) {
                restart();
            }
        });
        socket.on("error", error => finish(error.code));
        socket.on("close", () => finish(text.endsWith("0\r\n\r\n") ? "complete" : "closed"));
        socket.write(`POST /notes/1 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nRequest-Id: ${id}\r\nModel: m\r\n`
            + `Token-Count: 826,20\r\nPrompt-Prefix: aa:198,bb${id}:628\r\nDeadline-Ms: ${STREAM_LIMIT_MS}\r\n`
            + "Authorization: Bearer key-1\r\nContent-Length: 2\r\n\r\n{}");
    });
}

async function addresses(prefix, first, count) {
    const workers = [];
    for (let index = 0; index < count; index++) {
        const ip = `127.0.45.${first + index}`;
        workers.push({ id: `${prefix}${index}`, address: `${ip}:${await deployment.freePort(ip)}`, zone: ZONES[index % ZONES.length] });
    }
    return workers;
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
