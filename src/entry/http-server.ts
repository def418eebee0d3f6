/** HTTP server of an entry. */
import * as fastify from "fastify";
import * as http from "node:http";
import type * as net from "node:net";
import type * as stream from "node:stream";
import type * as failure from "../core/failure.js";
import type * as outcomes from "../core/outcome.js";
import * as health from "../daemon/health-server.js";
import * as messageHeads from "../http/message-head.js";
import type * as budgets from "../memory/budget.js";
import type * as settings from "../settings/schema.js";
import * as errors from "./error-response.js";
import * as requestMemories from "./request-memory.js";
import type * as types from "./types.js";

const CHAT_PATH = "/v1/chat/completions";
const MODELS_PATH = "/v1/models";
const REQUEST_ID_HEADER = "x-request-id";
const HEALTH_PATHS = ["/healthz", "/readyz"];

/** Handlers and hooks of the HTTP server. */
export interface FrontEnd {
    readonly ready: health.Readiness;
    /** Checks whether requests can be served; runs before the body is read. */
    readonly checkAvailability: () => outcomes.Outcome<void>;
    /** Names the owner of the request's memory; fails if its head is not acceptable. Runs before the body is read. */
    readonly authorize: (head: types.RequestHead) => outcomes.Outcome<string>;
    readonly memory: budgets.MemoryBudget;
    readonly models: (request: types.InboundRequest) => outcomes.Outcome<unknown>;
    readonly chat: types.Handler;
    readonly call: types.Handler;
    readonly createRequestId: () => string;
}

export interface HttpServer extends AsyncDisposable {
    readonly address: string;
}

/** Starts the HTTP server. Rejects when the address is in use. */
export async function listen(processSettings: settings.Settings, frontEnd: FrontEnd): Promise<HttpServer> {
    const server = fastify.fastify({
        bodyLimit: processSettings.limits.body_bytes,
        http: { maxHeaderSize: processSettings.limits.header_bytes },
        genReqId: () => frontEnd.createRequestId(),
        forceCloseConnections: true,
        logger: false,
        clientErrorHandler: (error, socket) =>
            respondToParserError(error, socket, processSettings.limits.header_bytes, frontEnd.createRequestId()),
    });
    health.addHealthRoutes(server, frontEnd.ready);
    server.removeAllContentTypeParsers();
    server.addContentTypeParser("*", { parseAs: "buffer" }, async (_request: unknown, body: unknown) => body);
    server.setErrorHandler((error: fastify.FastifyError, request, reply) => {
        sendFailure(reply, request.id, parseFailure(error, processSettings.limits.body_bytes));
    });
    const memories = new WeakMap<http.IncomingMessage, requestMemories.RequestMemory>();
    server.addHook("onRequest", async (request, reply) => {
        if (HEALTH_PATHS.some(path => request.url.startsWith(path))) {
            return undefined;
        }
        const availability = frontEnd.checkAvailability();
        const owner = availability.ok ? frontEnd.authorize(headOf(request)) : availability;
        if (!owner.ok) {
            return sendFailure(reply, request.id, owner.failure);
        }
        const memory = await reserveMemory(request, owner.value, processSettings.limits.body_bytes, frontEnd.memory);
        if (!memory.ok) {
            return sendFailure(reply, request.id, memory.failure);
        }
        memories.set(request.raw, memory.value);
        const release = () => memory.value[Symbol.dispose]();
        reply.raw.once("close", release);
        if (reply.raw.destroyed) {
            release();
        }
        return undefined;
    });
    server.addHook("preParsing", async (request, _reply, payload) => {
        const memory = memories.get(request.raw);
        const isMetered = memory !== undefined && messageHeads.requestBytes(request.headers) === undefined;
        return isMetered ? memory.meter(payload as stream.Readable) : payload;
    });
    const handle = (handler: types.Handler) => (request: fastify.FastifyRequest, reply: fastify.FastifyReply) =>
        handleRequest(handler, request, reply, memories.get(request.raw));
    server.get(MODELS_PATH, async (request, reply) => {
        const models = frontEnd.models(inbound(request));
        return models.ok ? reply.send(models.value) : sendFailure(reply, request.id, models.failure);
    });
    server.post(CHAT_PATH, handle(frontEnd.chat));
    server.all("/*", handle(frontEnd.call));
    const [host, port] = (processSettings.http_address ?? "127.0.0.1:0").split(":");
    await server.listen({ host, port: Number(port) });
    const bound = server.server.address() as { readonly port: number; };
    return { address: `${host}:${bound.port}`, [Symbol.asyncDispose]: () => server.close() };
}

function headOf(request: fastify.FastifyRequest): types.RequestHead {
    const { method, url: target, headers } = request;
    return { method, target, headers, remoteAddress: request.raw.socket.remoteAddress ?? "" };
}

async function reserveMemory(
    request: fastify.FastifyRequest,
    owner: string,
    limitBytes: number,
    budget: budgets.MemoryBudget,
): Promise<outcomes.Outcome<requestMemories.RequestMemory>> {
    const bytes = messageHeads.requestBytes(request.headers);
    return bytes !== undefined && bytes > limitBytes
        ? { ok: false, failure: { kind: "body-too-large", detail: `allowed are ${limitBytes} bytes` } }
        : requestMemories.RequestMemory.reserve(budget, owner, bytes);
}

function inbound(request: fastify.FastifyRequest): types.InboundRequest {
    return {
        id: request.id,
        method: request.method,
        target: request.url,
        headers: request.headers,
        body: Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0),
    };
}

async function handleRequest(
    handler: types.Handler,
    request: fastify.FastifyRequest,
    reply: fastify.FastifyReply,
    memory: requestMemories.RequestMemory | undefined,
): Promise<void> {
    const disconnected = new AbortController();
    reply.raw.on("close", () => {
        if (!reply.raw.writableFinished) {
            disconnected.abort();
        }
    });
    reply.hijack();
    const responder = new RawResponder(reply.raw, request.id, memory);
    try {
        await handler(inbound(request), responder, disconnected.signal);
    }
    catch (error) {
        responder.fail({ kind: "internal-error", detail: String(error) });
    }
}

/** Writes a response to the raw stream, so that SSE events are sent as they arrive. */
class RawResponder implements types.Responder {
    private isCorked = false;

    constructor(
        private readonly raw: fastify.FastifyReply["raw"],
        private readonly requestId: string,
        private readonly memory: requestMemories.RequestMemory | undefined,
    ) {}

    get started(): boolean {
        return this.raw.headersSent;
    }

    begin(status: number, headers: Readonly<Record<string, string | readonly string[]>>): void {
        this.raw.writeHead(status, { [REQUEST_ID_HEADER]: this.requestId, ...headers } as never);
    }

    async write(chunk: string | Uint8Array): Promise<void> {
        this.cork();
        if (this.raw.destroyed || this.raw.write(chunk)) {
            return;
        }
        await new Promise<void>(resolve => {
            const finish = () => {
                this.raw.off("drain", finish);
                this.raw.off("close", finish);
                resolve();
            };
            this.raw.on("drain", finish);
            this.raw.on("close", finish);
        });
    }

    /** Batches the writes of one event loop iteration into one system call. */
    private cork(): void {
        if (!this.isCorked) {
            this.isCorked = true;
            this.raw.cork();
            setImmediate(() => {
                this.isCorked = false;
                this.raw.uncork();
            });
        }
    }

    end(chunk?: string | Uint8Array): void {
        this.memory?.recordResponse(chunk?.length ?? 0);
        this.raw.end(chunk);
    }

    fail(reason: failure.Failure, execution?: failure.Execution): void {
        if (this.started) {
            this.raw.destroy();
            return;
        }
        const response = errors.errorResponse(reason, this.requestId, execution);
        this.begin(response.status, { "content-type": "application/json", ...response.headers });
        this.end(JSON.stringify(response.body));
    }
}

function sendFailure(reply: fastify.FastifyReply, requestId: string, reason: failure.Failure): fastify.FastifyReply {
    const response = errors.errorResponse(reason, requestId);
    return reply.status(response.status).headers(response.headers).send(response.body);
}

/** Responds to a request that the HTTP parser rejected, directly on the socket since there is no reply object. */
function respondToParserError(
    error: ConnectionError,
    socket: net.Socket,
    headerBytes: number,
    requestId: string,
): void {
    if (!socket.writable) {
        return;
    }
    const isOverflow = error.code === "HPE_HEADER_OVERFLOW";
    const reason: failure.Failure = isOverflow
        ? { kind: "headers-too-large", detail: `allowed are ${headerBytes} bytes` }
        : { kind: "request-malformed", detail: error.code ?? "invalid HTTP" };
    const response = errors.errorResponse(reason, requestId);
    const body = JSON.stringify(response.body);
    const head = [
        `HTTP/1.1 ${response.status} ${http.STATUS_CODES[response.status]}`,
        "content-type: application/json",
        `content-length: ${Buffer.byteLength(body)}`,
        "connection: close",
        ...Object.entries(response.headers).map(([name, value]) => `${name}: ${value}`),
    ];
    socket.end(`${head.join("\r\n")}\r\n\r\n${body}`);
}

interface ConnectionError {
    readonly code?: string;
}

function parseFailure(error: fastify.FastifyError, bodyBytes: number): failure.Failure {
    if (error.code === "FST_ERR_CTP_BODY_TOO_LARGE") {
        return { kind: "body-too-large", detail: `allowed are ${bodyBytes} bytes` };
    }
    if (error.code === requestMemories.EXHAUSTED_CODE) {
        return requestMemories.bodyExhausted;
    }
    return { kind: "request-malformed", detail: error.message };
}
