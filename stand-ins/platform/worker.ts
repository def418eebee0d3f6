/** Stand-in for the workers of the platform: executes requests, loads weights as ordered, registers, and leaves. */
import type * as http from "node:http";
import type * as net from "node:net";
import * as standIns from "./http-stand-in.js";
import type * as stores from "./store.js";

const HTTP_ACCEPTED = 202;
const HTTP_BAD_REQUEST = 400;
const HTTP_CONFLICT = 409;
const HTTP_MISDIRECTED = 421;
const HTTP_UNAVAILABLE = 503;
const EVENT_INTERVAL_MS = 4;
const DEFAULT_WORK_MS = 16;
const DEFAULT_LOAD_MS = 150;
const DEFAULT_SLOTS = 32;
const KV_TOKENS = 90_000;
/** Time in milliseconds after which the store removes the record of a worker that crashed, without heartbeats. */
const CRASH_DETECTION_MS = 300;
/** Number of missed heartbeats after which the store removes a record. */
const MISSED_HEARTBEATS = 3;
/** Times in milliseconds until a request with a deadly part crashes its worker, and until the worker is back. */
const DEADLY_PREFILL_MS = 20;
const RESTART_MS = 800;
const LARGEST_BODY = Buffer.alloc(8 * 1024 * 1024, "z");
const SEAL = "3e1b.07.5a2.600.0.c9f2a4d1";

/**
 * Faults of answers: lines without end, one in each chunk; lines of one event without end; a part of an answer without a length,
 * sent before the request has been read, after which the connection is reset.
 */
export const TROUBLES = ["lines", "fields", "early-reset"] as const;
/** Flaws of answers that are complete otherwise, and that no caller may get. */
export const MALFORMATIONS = ["protocol", "status", "name", "coding", "blank", "lengths", "chunk-size"] as const;
export type Malformation = (typeof MALFORMATIONS)[number];
export type Trouble = (typeof TROUBLES)[number] | Malformation;
const ENDLESS_LINES: Readonly<Partial<Record<Trouble, string>>> = { lines: "x\n", fields: "data: x\n" };
const CHUNKS = "5\r\nwhole\r\n0\r\n\r\n";
/** First line and field of the malformed answers, and what follows their heads. */
const MALFORMED_ANSWERS: Readonly<Partial<Record<Trouble, readonly [string, string, string]>>> = {
    "protocol": ["RTSP/1.0 200 OK", "Content-Length: 5", "whole"],
    "status": ["HTTP/1.1 000 OK", "Content-Length: 5", "whole"],
    "name": ["HTTP/1.1 200 OK", "Content Length: 5", "whole"],
    "coding": ["HTTP/1.1 200 OK", "Transfer-Encoding: x", "whole"],
    "blank": ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked\xa0", CHUNKS],
    "lengths": ["HTTP/1.1 200 OK", "Content-Length: 5\r\nContent-Length: 3", "whole"],
    "chunk-size": ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked", CHUNKS.replace("5", "0x5")],
};
/** Most bytes of an answer without end, for an entry that reads it to its deadline. */
const MAXIMUM_ENDLESS_BYTES = 64 * 1024 * 1024;
const ENDLESS_WRITE_BYTES = 16 * 1024;
/** Longest time in milliseconds between the part of an answer and the reset. */
const EARLY_RESET_MS = 150;

/** One execution of a request by a worker. */
export interface Run {
    readonly requestId: string;
    readonly tenant: string | undefined;
    readonly authorization: string | undefined;
    readonly path: string;
    /** Version of the worker's software. */
    readonly software: string;
    /** Id and service of the worker. */
    readonly worker: string;
    readonly service: string;
    /** Version of the model's weights; undefined for a service without models. */
    readonly weights: number | undefined;
    /** Time in milliseconds of the monotonic clock. */
    readonly arrivedAt: number;
    /** The response says that the worker leaves. */
    readonly isLeavingTold: boolean;
    /** End of the response in milliseconds; undefined while the request runs and if it was broken off. */
    endedAt: number | undefined;
}

/** A request that a worker did not execute because it was full or loading weights. */
export interface Rejection {
    readonly requestId: string;
    readonly worker: string;
    readonly arrivedAt: number;
}

export interface Order {
    readonly worker: string;
    readonly holder: string;
    readonly fence: number;
    readonly model: string;
    readonly version: number;
    readonly expected: number | undefined;
    readonly arrivedAt: number;
}

/** Executed requests and accepted orders of all workers of a test. */
export interface WorkerLog {
    readonly runs: Run[];
    readonly rejections: Rejection[];
    readonly orders: Order[];
    /** Prompt parts that crash each worker which begins to answer on them. */
    readonly deadlyParts: Set<string>;
    /** Times in milliseconds at which requests with such a part arrived, and at which workers crashed of them. */
    readonly deadlyArrivals: number[];
    readonly deadlyCrashes: number[];
    /** Requests a second that workers name as their limit, by address. */
    readonly limits: Map<string, number>;
    /** Times in milliseconds at which requests arrived at workers that name a limit, by address. */
    readonly limitedArrivals: Map<string, number[]>;
}

export function createWorkerLog(): WorkerLog {
    return {
        runs: [],
        rejections: [],
        orders: [],
        deadlyParts: new Set(),
        deadlyArrivals: [],
        deadlyCrashes: [],
        limits: new Map(),
        limitedArrivals: new Map(),
    };
}

export interface WorkerOptions {
    readonly service: string;
    readonly zone: string;
    /** Model that the worker serves; undefined for a service without models. */
    readonly model: string | undefined;
    /** Further models that it serves. */
    readonly furtherModels?: readonly string[];
    /** Version of its software, and factor by which it is slower than others. */
    readonly software?: string;
    readonly slowness?: number;
    readonly slots?: number;
    /** Least size of its bodies, for a service without models. */
    readonly bodyBytes?: number;
    /** Size and form of the answer to a request without a model; undefined for the usual one. */
    readonly largeAnswer?: (path: string) => { readonly bytes: number; readonly isChunked: boolean; } | undefined;
    /** Trouble of the answer that a path asks for; undefined for none. */
    readonly trouble?: (path: string) => Trouble | undefined;
    /** Time in milliseconds that a request without a model takes, before `slowness` applies. */
    readonly workMs?: (request: http.IncomingMessage) => number;
    /** Time in milliseconds that loading weights takes. */
    readonly loadMs?: number;
    /** Interval in milliseconds at which the record is written again; without it, only changes are written. */
    readonly heartbeatMs?: number;
    /** Time in milliseconds for which the worker reports to be slow after its start; it changes with each heartbeat. */
    readonly coldMs?: number;
}

interface OrderBody extends Order {
    readonly op: string;
}

export class Worker extends standIns.HttpStandIn {
    /** Whether responses say that the worker leaves. */
    tellsLeaving = false;
    private id = "";
    private startedAt = 0;
    private startCount = 0;
    private readonly versions: Map<string, number>;
    private orderCount = 0;
    private heartbeatCount = 0;
    private loading: string | undefined;
    private readonly running = new Map<string, number>();
    private state: "ready" | "draining" = "ready";
    private isRegistered = false;
    private heartbeat: NodeJS.Timeout | undefined;

    constructor(
        address: string,
        readonly options: WorkerOptions,
        private readonly store: stores.Store,
        private readonly log: WorkerLog,
    ) {
        super(address);
        const models = [...options.model === undefined ? [] : [options.model], ...options.furtherModels ?? []];
        this.versions = new Map(models.map(model => [model, 1]));
    }

    /** Id of the present run, or of the last one. */
    get currentId(): string {
        return this.id;
    }

    /** Starts, with a new id unless one is given; the weights versions survive a restart. */
    async start(id?: string): Promise<void> {
        this.startedAt = Date.now();
        this.id = id ?? `${this.options.service}-${this.address}-${this.startCount}`;
        this.startCount++;
        this.orderCount = 0;
        this.loading = undefined;
        this.running.clear();
        this.tellsLeaving = false;
        this.state = "ready";
        await this.listen();
        this.register();
        const { heartbeatMs } = this.options;
        this.heartbeat = heartbeatMs === undefined ? undefined : setInterval(() => this.beat(), heartbeatMs);
    }

    get instanceId(): string {
        return this.id;
    }

    get weights(): ReadonlyMap<string, number> {
        return this.versions;
    }

    override async close(): Promise<void> {
        clearInterval(this.heartbeat);
        this.isRegistered = false;
        await super.close();
    }

    /** Stops at once; its record is removed after a delay, as the platform detects the crash later. */
    async crash(): Promise<void> {
        const { id, startCount } = this;
        const { heartbeatMs } = this.options;
        const delayMs = heartbeatMs === undefined ? CRASH_DETECTION_MS : heartbeatMs * MISSED_HEARTBEATS;
        await this.close();
        setTimeout(() => {
            if (this.id !== id || this.startCount === startCount) {
                this.store.remove("servers", id);
            }
        }, delayMs).unref();
    }

    /** Reports that it leaves, and serves on. */
    drain(): void {
        this.state = "draining";
        this.register();
    }

    /** Removes its record, and serves on. */
    withdraw(): void {
        this.isRegistered = false;
        this.store.remove("servers", this.id);
    }

    /** Writes its record again, as a worker does that finds it lost. */
    registerAgain(): void {
        if (this.isListening && this.isRegistered) {
            this.register();
        }
    }

    /** Writes its record; `seq` counts the writes. */
    register(): void {
        const { service, zone, slots = DEFAULT_SLOTS, coldMs = 0, heartbeatMs } = this.options;
        const { address, startedAt, state } = this;
        this.isRegistered = true;
        this.heartbeatCount++;
        this.store.put("servers", this.id, {
            service,
            address,
            zone,
            version: this.software,
            slots,
            state,
            coldRemainingMs: Math.max(0, startedAt + coldMs - Date.now()),
            born: startedAt,
            ...heartbeatMs === undefined ? {} : { seq: this.heartbeatCount },
            ...this.versions.size === 0 ? {} : { stage: "colocated", models: this.models },
        });
    }

    protected override answerEarly(
        { url = "/", headers }: http.IncomingMessage,
        { socket }: http.ServerResponse,
    ): boolean {
        if (this.options.trouble?.(url) !== "early-reset" || !socket) {
            return false;
        }
        const type = this.versions.size > 0 ? "Content-Type: text/event-stream\r\n" : "";
        const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${String(headers["request-id"])}\r\nResponse-Seal: ${SEAL}\r\n`;
        socket.pause();
        socket.write(`${head}${type}Connection: close\r\n\r\nid: 1\ndata: 1\n\n`);
        setTimeout(() => socket.resetAndDestroy(), Math.random() * EARLY_RESET_MS);
        return true;
    }

    protected async handle(exchange: standIns.StandInRequest): Promise<void> {
        const { request, response } = exchange;
        const { url = "/", headers } = request;
        if (url === "/-/report") {
            this.report(response);
            return;
        }
        if (url === "/-/order") {
            this.order(JSON.parse(exchange.body) as OrderBody, response);
            return;
        }
        const arrivedAt = performance.now();
        const requestId = String(headers["request-id"]);
        if (this.tellsLeaving) {
            response.setHeader("Server-Leaving", "1");
        }
        const limit = this.log.limits.get(this.address);
        if (limit !== undefined) {
            response.setHeader("Server-Limit", String(limit));
            const arrivals = this.log.limitedArrivals.get(this.address) ?? [];
            this.log.limitedArrivals.set(this.address, [...arrivals, arrivedAt]);
        }
        const model = headers["model"] === undefined ? undefined : String(headers["model"]);
        const weights = model === undefined ? undefined : this.versions.get(model);
        const expectedVersion = headers["expect-version"];
        const isMisdirected = headers["expect-instance"] !== this.id
            || expectedVersion !== undefined && Number(expectedVersion) !== weights;
        const isUnable = model !== undefined && this.loading === model || this.isTooLarge(headers);
        if (isMisdirected || isUnable) {
            const status = isMisdirected ? HTTP_MISDIRECTED : HTTP_UNAVAILABLE;
            if (!isMisdirected) {
                this.log.rejections.push({ requestId, worker: this.id, arrivedAt });
            }
            response.writeHead(status, { "Request-Id": requestId, "Not-Executed": "1" }).end();
            return;
        }
        const run: Run = {
            requestId,
            tenant: headers["tenant"] as string | undefined,
            authorization: headers.authorization,
            path: url,
            software: this.software,
            worker: this.id,
            service: this.options.service,
            weights,
            arrivedAt,
            isLeavingTold: this.tellsLeaving,
            endedAt: undefined,
        };
        this.log.runs.push(run);
        this.count(model, 1);
        try {
            if (this.hasDeadlyPart(headers)) {
                await this.crashOfRequest();
                return;
            }
            await this.run(request, response, run);
        }
        finally {
            this.count(model, -1);
        }
    }

    private async run(request: http.IncomingMessage, response: http.ServerResponse, run: Run): Promise<void> {
        const { requestId } = run;
        const common = { "Request-Id": requestId, "Response-Seal": SEAL };
        const output = Number(String(request.headers["token-count"] ?? "").split(",")[1] ?? 0);
        const trouble = this.options.trouble?.(run.path);
        const malformed = trouble && MALFORMED_ANSWERS[trouble];
        if (malformed !== undefined) {
            const [statusLine, field, rest] = malformed;
            const fields = Object.entries(common).map(([name, value]) => `${name}: ${value}`);
            response.socket!.end([statusLine, ...fields, field, "", rest].join("\r\n"), "latin1");
            return;
        }
        const endlessLine = trouble && ENDLESS_LINES[trouble];
        if (endlessLine !== undefined) {
            const type = this.versions.size > 0 ? { "Content-Type": "text/event-stream" } : {};
            response.writeHead(200, { ...common, ...type }).flushHeaders();
            await writeWithoutEnd(response.socket!, endlessLine);
            return;
        }
        if (this.versions.size === 0) {
            const { workMs, slowness = 1, bodyBytes = 0 } = this.options;
            await standIns.pause((workMs?.(request) ?? DEFAULT_WORK_MS) * slowness);
            const large = this.options.largeAnswer?.(run.path);
            if (large !== undefined) {
                response.writeHead(200, { ...common, ...large.isChunked ? {} : { "Content-Length": large.bytes } });
                response.end(largeBody(large.bytes), () => run.endedAt = performance.now());
                return;
            }
            const body = requestId.padEnd(bodyBytes);
            response.writeHead(200, { ...common, "Content-Length": Buffer.byteLength(body) });
            response.end(body, () => run.endedAt = performance.now());
            return;
        }
        response.writeHead(200, {
            ...common,
            "Content-Type": "text/event-stream",
            "Weight-Versions": run.weights ?? 1,
        });
        const first = Number(request.headers["last-event-id"] ?? 0) + 1;
        for (let event = first; event <= output && !response.destroyed; event++) {
            await standIns.pause(EVENT_INTERVAL_MS * (this.options.slowness ?? 1));
            response.write(`id: ${event}\ndata: ${requestId}/${event}\n\n`);
        }
        response.end(() => run.endedAt = performance.now());
    }

    private count(model: string | undefined, difference: number): void {
        const name = model ?? "";
        this.running.set(name, Math.max(0, (this.running.get(name) ?? 0) + difference));
    }

    private isTooLarge(headers: http.IncomingHttpHeaders): boolean {
        return this.versions.size > 0 && Number(String(headers["token-count"] ?? "").split(",")[0]) > KV_TOKENS;
    }

    /** The last part of a prompt belongs to the request alone and crashes nothing. */
    private hasDeadlyPart(headers: http.IncomingHttpHeaders): boolean {
        const parts = String(headers["prompt-prefix"] ?? "").split(",").slice(0, -1).map(part => part.split(":")[0]!);
        return parts.some(part => this.log.deadlyParts.has(part));
    }

    /** Crashes as it begins to answer, and starts again under another id. */
    private async crashOfRequest(): Promise<void> {
        this.log.deadlyArrivals.push(performance.now());
        const { id } = this;
        await standIns.pause(DEADLY_PREFILL_MS);
        if (this.id !== id || !this.isListening) {
            return;
        }
        this.log.deadlyCrashes.push(performance.now());
        await this.crash();
        await standIns.pause(RESTART_MS);
        if (!this.isDisposed) {
            await this.start();
        }
    }

    private report(response: http.ServerResponse): void {
        const { startedAt, orderCount, models } = this;
        const running = [...this.running.values()].reduce((sum, count) => sum + count, 0);
        const busy = this.loading !== undefined;
        response.end(JSON.stringify({
            stage: "colocated",
            models,
            busy,
            seq: orderCount,
            running,
            waiting: 0,
            kvUsed: running * 1000,
            kvTotal: KV_TOKENS,
            handles: 0,
            born: startedAt,
        }));
    }

    private order(order: OrderBody, response: http.ServerResponse): void {
        const { model, version, holder, fence, expected } = order;
        const isKnown = order.op === "version" && this.versions.has(model) && holder !== undefined
            && fence !== undefined;
        const isConflict = this.loading !== undefined || expected !== undefined && expected !== this.orderCount;
        const isDone = this.versions.get(model) === version;
        if (!isKnown || isConflict || isDone) {
            const status = !isKnown ? HTTP_BAD_REQUEST : isConflict ? HTTP_CONFLICT : 200;
            response.writeHead(status).end("{}");
            return;
        }
        const arrivedAt = performance.now();
        this.log.orders.push({ worker: this.id, holder, fence, model, version, expected, arrivedAt });
        this.orderCount++;
        this.loading = model;
        response.writeHead(HTTP_ACCEPTED).end("{}");
        void this.load(model, version, this.id);
    }

    /** The runs of the model end first. */
    private async load(model: string, version: number, id: string): Promise<void> {
        while ((this.running.get(model) ?? 0) > 0 && this.id === id) {
            await standIns.pause(EVENT_INTERVAL_MS);
        }
        await standIns.pause(this.options.loadMs ?? DEFAULT_LOAD_MS);
        if (this.id === id) {
            this.versions.set(model, version);
            this.loading = undefined;
            this.registerAgain();
        }
    }

    /** A worker whose record was removed while it could not reach the store writes it again. */
    private beat(): void {
        if (this.isRegistered && this.store.mode === "healthy") {
            this.register();
        }
    }

    private get software(): string {
        return this.options.software ?? "v1";
    }

    private get models(): readonly object[] {
        return [...this.versions].map(([name, version]) => ({ name, version, adapters: [] }));
    }
}

/** Writes a line in each chunk until the connection is closed. */
async function writeWithoutEnd(socket: net.Socket, line: string): Promise<void> {
    const chunk = `${line.length.toString(16)}\r\n${line}\r\n`;
    const bytes = Buffer.from(chunk.repeat(Math.ceil(ENDLESS_WRITE_BYTES / chunk.length)));
    while (!socket.destroyed && socket.bytesWritten < MAXIMUM_ENDLESS_BYTES) {
        if (!socket.write(bytes)) {
            await new Promise<void>(resolve => {
                socket.once("drain", resolve).once("close", resolve);
            });
        }
    }
}

/** All large bodies share their bytes, so that many at once take no memory of the stand-in. */
function largeBody(bytes: number): Buffer {
    return LARGEST_BODY.subarray(0, bytes);
}
