/** How each kind of heavy load is played on a target. */
import * as dgram from "node:dgram";
import * as http from "node:http";
import * as net from "node:net";
import * as timers from "node:timers/promises";
import * as loadLink from "./load-link.js";
import type * as loads from "./loads.js";

/** Bytes by which an upload stops before its end. */
const MISSING_BYTES = 10;
/** Most bytes of a datagram that are sent. */
const MAXIMUM_DATAGRAM_BYTES = 60_000;
const DATAGRAM_INTERVAL_MS = 20;
/** Pause in milliseconds between two reads of a slow reader. */
const SLOW_READ_MS = 200;
/** Number of connections opened in a row without a pause. */
const CONNECTIONS_AT_ONCE = 50;
const UNAVAILABLE = 503;

const FILLER = Buffer.alloc(8 * 1024 * 1024, "x");

/** Bytes of the chunks of an upload that a caller writes without a buffer. */
const FRAGMENT_SIZES = [1, 2, 3] as const;

interface Outcome {
    readonly status: number | undefined;
    /** The answer was received completely. */
    readonly isComplete?: boolean;
}

type Player = (load: loads.Load, target: loads.Target, signal: AbortSignal, index: number) => Promise<Outcome>;

let callCount = 0;

const PLAYERS: Readonly<Record<loads.LoadKind, Player>> = {
    "uploads": (load, target, signal) => request(load, target, signal),
    "fragmented-uploads": (load, target, signal, index) => {
        const bytes = FRAGMENT_SIZES[index % FRAGMENT_SIZES.length]!;
        const chunk = `${bytes}\r\n${"x".repeat(bytes)}\r\n`;
        const head = `POST ${load.path}upload HTTP/1.1\r\n${fields(load)}Transfer-Encoding: chunked\r\n\r\n`;
        const body = Buffer.from(`${chunk.repeat(Math.ceil(load.bytes / bytes))}0\r\n\r\n`);
        return hold(target, signal, [Buffer.from(head), body]);
    },
    "troubled-answers": (load, target, signal) => request(load, target, signal),
    "repeats": async (load, target, signal) => {
        let outcome: Outcome = { status: undefined };
        do {
            outcome = await request(load, target, signal);
        }
        while (!signal.aborted && (outcome.status === UNAVAILABLE || outcome.status === undefined));
        return outcome;
    },
    "stopped-uploads": (load, target, signal) => {
        const length = load.isChunked
            ? `Transfer-Encoding: chunked\r\n\r\n${load.bytes.toString(16)}\r\n`
            : `Content-Length: ${load.bytes}\r\n\r\n`;
        const head = `POST ${load.path}upload HTTP/1.1\r\n${fields(load)}${length}`;
        return hold(target, signal, [Buffer.from(head), FILLER.subarray(0, load.bytes - MISSING_BYTES)]);
    },
    "open-heads": (load, target, signal) => {
        const head = `GET ${load.path}head HTTP/1.1\r\n${fields(load)}X-Long: `;
        return hold(target, signal, [Buffer.from(head), FILLER.subarray(0, Math.max(0, load.bytes - head.length))]);
    },
    "idle-connections": (_load, target, signal) => hold(target, signal, []),
    "unread-answers": (load, target, signal) => {
        const bytes = Buffer.from(`GET ${load.path} HTTP/1.1\r\n${fields(load)}\r\n`);
        return hold(target, signal, [bytes], socket => socket.pause());
    },
    "slow-streams": (load, target, signal, index) => {
        const body = "x".repeat(100);
        const tokens = `Model: layout\r\nToken-Count: 900,${load.bytes}\r\nPrompt-Prefix: s${index}:900\r\n`;
        const bytes = `POST ${load.path}slow HTTP/1.1\r\n${
            fields(load)
        }${tokens}Content-Length: ${body.length}\r\n\r\n`;
        return hold(target, signal, [Buffer.from(bytes + body)], socket => {
            socket.on("data", () => {
                socket.pause();
                setTimeout(() => socket.resume(), SLOW_READ_MS);
            });
        });
    },
    "datagrams": async (load, target, signal, index) => {
        if (index > 0) {
            return { status: undefined };
        }
        const socket = dgram.createSocket("udp4");
        socket.on("error", () => undefined);
        const perInterval = Math.max(1, Math.round(load.count * DATAGRAM_INTERVAL_MS / 1000));
        for (let round = 0; !signal.aborted; round++) {
            for (let sent = 0; sent < perInterval; sent++) {
                socket.send(junk(load.bytes, round + sent), target.port, target.host);
            }
            await timers.setTimeout(DATAGRAM_INTERVAL_MS);
        }
        socket.close();
        return { status: undefined };
    },
};

/** Plays a load; resolves when all its connections have ended or its time is over. */
export async function play(load: loads.Load): Promise<loads.LoadResult> {
    const endsAt = performance.now() + load.durationMs;
    const outcomes: Promise<Outcome>[] = [];
    for (let index = 0; index < load.count && performance.now() < endsAt; index++) {
        const remainingMs = Math.max(1, Math.round(endsAt - performance.now()));
        outcomes.push(...load.targets.map(target => {
            return PLAYERS[load.kind](load, target, AbortSignal.timeout(remainingMs), index);
        }));
        if (index % CONNECTIONS_AT_ONCE === CONNECTIONS_AT_ONCE - 1) {
            await timers.setTimeout(1);
        }
    }
    const statuses: Record<string, number> = {};
    let failedCount = 0;
    let wholeCount = 0;
    for (const { status, isComplete } of await Promise.all(outcomes)) {
        wholeCount += status === 200 && isComplete === true ? 1 : 0;
        if (status === undefined) {
            failedCount++;
        }
        else {
            statuses[status] = (statuses[status] ?? 0) + 1;
        }
    }
    return { statuses, failedCount, wholeCount };
}

function headers({ host, key, durationMs }: loads.Load): Record<string, string> {
    return {
        "Host": host,
        "Request-Id": `heavy-${process.pid}-${++callCount}`,
        "Deadline-Ms": String(Math.round(durationMs)),
        ...key === undefined ? {} : { "Authorization": `Bearer ${key}` },
    };
}

function fields(load: loads.Load): string {
    return Object.entries(headers(load)).map(([name, value]) => `${name}: ${value}\r\n`).join("");
}

/** A whole call with a body, on a connection of its own. */
function request(load: loads.Load, target: loads.Target, signal: AbortSignal): Promise<Outcome> {
    return new Promise(resolve => {
        const length = load.isChunked ? {} : { "Content-Length": String(load.bytes) };
        const sent = http.request({
            ...target,
            method: "POST",
            path: load.kind === "troubled-answers" ? load.path : `${load.path}upload`,
            agent: false,
            signal,
            headers: { ...headers(load), ...length },
        });
        sent.on("error", () => resolve({ status: undefined }));
        sent.on("response", response => {
            response.on("error", () => undefined);
            response.on("close", () => resolve({ status: response.statusCode, isComplete: response.complete }));
            response.resume();
        });
        void loadLink.send(target.host, sent, FILLER.subarray(0, load.bytes)).then(() => sent.end());
    });
}

/** Sends bytes and keeps the connection until the other side closes it or the time is over. */
function hold(
    target: loads.Target,
    signal: AbortSignal,
    parts: readonly Buffer[],
    onConnected: (socket: net.Socket) => void = socket => socket.resume(),
): Promise<Outcome> {
    return new Promise(resolve => {
        const socket = net.connect(target);
        let status: number | undefined;
        const giveUp = () => socket.destroy();
        signal.addEventListener("abort", giveUp, { once: true });
        socket.on("error", () => undefined);
        socket.once("data", (bytes: Buffer) => {
            status = Number(/^HTTP\/1\.1 (\d{3})/.exec(bytes.toString("latin1", 0, 16))?.[1] ?? 0);
        });
        socket.on("close", () => {
            signal.removeEventListener("abort", giveUp);
            resolve({ status });
        });
        void sendAll(target.host, socket, parts);
        onConnected(socket);
    });
}

async function sendAll(host: string, socket: net.Socket, parts: readonly Buffer[]): Promise<void> {
    for (const part of parts) {
        await loadLink.send(host, socket, part);
    }
}

function junk(bytes: number, seed: number): Buffer {
    const size = Math.min(MAXIMUM_DATAGRAM_BYTES, 1 + seed * 7919 % Math.max(1, bytes));
    const texts = ["", "{", `{"name":"edge-x","epoch":${seed}`, "\u0000\u0001\u00ff", "[".repeat(200)];
    return Buffer.concat([Buffer.from(texts[seed % texts.length]!), FILLER.subarray(0, size)]);
}
