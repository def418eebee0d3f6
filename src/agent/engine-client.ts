/**
 * HTTP client of the agent's engine.
 *
 * Sends only headers that it sets itself, so headers of the caller never reach the engine.
 */
import * as http from "node:http";
import type * as net from "node:net";
import * as zod from "zod";
import * as failures from "../core/failure.js";
import * as outcomes from "../core/outcome.js";
import * as chunkCosts from "../http/chunk-cost.js";
import * as interimResponses from "../http/interim-responses.js";
import * as messageHeads from "../http/message-head.js";
import * as receivedHeads from "../http/received-head.js";
import * as responseCompletions from "../http/response-completion.js";
import * as byteBlocks from "../memory/byte-blocks.js";
import type * as engineTypes from "./engine-types.js";
import * as eventStream from "./event-stream.js";

/** The engine runs on the same instance, so a connection attempt that takes longer is not expected to succeed. */
const CONNECT_TIMEOUT_MS = 1000;
/** Applies to the head of a response, and to the body of a short call. */
const RESPONSE_TIMEOUT_MS = 5000;
/** Time after which an idle connection is closed; servers commonly close theirs after 5 s. */
const IDLE_TIMEOUT_MS = 4000;
/** Limit of the body of a short call in bytes. A snapshot of the cache has less than 100 for each block. */
const MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;
/** An order ends when the weights are loaded, which takes a second or more if several servers load at once. */
const ORDER_TIMEOUT_MS = 60_000;
/** Time that the engine has to close the stream after its end event; then the connection is closed. */
const STREAM_CLOSE_TIMEOUT_MS = 1000;
/** Added to the wait time of a long poll to get its request timeout. */
const POLL_MARGIN_MS = 2000;

const JSON_HEADERS = { "content-type": "application/json" } as const;

/** Codes of errors that occur before any byte of the request is sent. */
const CONNECT_ERROR_CODES = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
]);

const wireEvent = zod.discriminatedUnion("type", [
    zod.object({ type: zod.literal("start"), cached_tokens: zod.number(), prompt_tokens: zod.number() }),
    zod.object({ type: zod.literal("token"), index: zod.int(), text: zod.string() }),
    zod.object({
        type: zod.literal("end"),
        count: zod.int(),
        reason: zod.enum(["stop", "length", "cancelled"]),
    }),
]);
const wireLoad = zod.object({
    boot: zod.string(),
    queued_tokens: zod.number(),
    running: zod.number(),
    waiting: zod.number(),
    weights: zod.array(zod.string()),
});
const wirePage = zod.object({
    boot: zod.string(),
    next: zod.int(),
    events: zod.array(zod.object({
        sequence: zod.int(),
        kind: zod.enum(["stored", "evicted", "cleared"]),
        hash: zod.string(),
    })),
});
const wireSnapshot = zod.object({ boot: zod.string(), next: zod.int(), hashes: zod.array(zod.string()) });
const wireOrder = zod.object({ weights: zod.array(zod.string()) });
const wireCancel = zod.object({ cancelled: zod.boolean() });
const wireHealth = zod.object({ boot: zod.string() });

type WireEvent = zod.infer<typeof wireEvent>;

interface Call<Value> {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly body?: object;
    readonly timeoutMs: number;
    readonly schema: zod.ZodType<Value>;
    readonly signal?: AbortSignal | undefined;
}

type Request = Pick<Call<unknown>, "method" | "path" | "body" | "timeoutMs" | "signal">;

interface Response {
    readonly message: http.IncomingMessage;
    readonly completion: responseCompletions.ResponseCompletion;
}

export class EngineClient implements AsyncDisposable {
    private readonly agent = new http.Agent({ keepAlive: true, timeout: IDLE_TIMEOUT_MS });

    /** `address` is the `host:port` of the engine. */
    constructor(readonly address: string) {}

    /**
     * Runs a generation. The iteration never throws; exactly one `end` or `failed` event is yielded, as the last one.
     *
     * Aborting the signal or leaving the iteration early cancels the request on the engine.
     */
    async *generate(
        request: engineTypes.EngineRequest,
        signal: AbortSignal,
    ): AsyncGenerator<engineTypes.EngineEvent, void, void> {
        try {
            const { message } = await this.send({
                method: "POST",
                path: "/v1/generate",
                body: generateBody(request),
                timeoutMs: RESPONSE_TIMEOUT_MS,
                signal,
            });
            if (message.statusCode !== 200) {
                yield failed(this.failureOfResponse(message));
                return;
            }
            yield* this.events(message, request.resumeTokens.length);
        }
        catch (error) {
            yield failed(this.failureOfError(error, signal));
        }
    }

    /** Returns false when the engine does not know the request. */
    async cancel(requestId: string): Promise<outcomes.Outcome<boolean>> {
        const result = await this.call({
            method: "POST",
            path: "/v1/cancel",
            body: { request_id: requestId },
            timeoutMs: RESPONSE_TIMEOUT_MS,
            schema: wireCancel,
        });
        return result.ok ? outcomes.succeed(result.value.cancelled) : result;
    }

    async load(): Promise<outcomes.Outcome<engineTypes.EngineLoad>> {
        const result = await this.get("/v1/load", wireLoad);
        if (!result.ok) {
            return result;
        }
        const { queued_tokens: queuedTokens, ...rest } = result.value;
        return outcomes.succeed({ ...rest, queuedTokens });
    }

    /** Long poll: waits up to `waitMs` for cache events with a sequence number above `after`. */
    cacheEvents(
        after: number,
        waitMs: number,
        signal?: AbortSignal,
    ): Promise<outcomes.Outcome<engineTypes.CacheEventPage>> {
        return this.call({
            method: "GET",
            path: `/v1/cache-events?after=${after}&wait_ms=${waitMs}`,
            timeoutMs: waitMs + POLL_MARGIN_MS,
            schema: wirePage,
            signal,
        });
    }

    cacheSnapshot(): Promise<outcomes.Outcome<engineTypes.CacheSnapshot>> {
        return this.get("/v1/cache-snapshot", wireSnapshot);
    }

    /**
     * Sends an order and returns the loaded weights once it is complete.
     *
     * Fails with `engine-order-rejected` on an outdated fencing number.
     */
    async order(order: engineTypes.Order): Promise<outcomes.Outcome<readonly string[]>> {
        const result = await this.call({
            method: "POST",
            path: "/v1/orders",
            body: {
                fencing_number: order.fencingNumber,
                kind: order.kind,
                model: order.model,
                weights_version: order.weightsVersion,
            },
            timeoutMs: ORDER_TIMEOUT_MS,
            schema: wireOrder,
        });
        if (!result.ok && result.failure.kind === "engine-refused") {
            return outcomes.fail("engine-order-rejected", `fencing number ${order.fencingNumber}`);
        }
        return result.ok ? outcomes.succeed(result.value.weights) : result;
    }

    /** Returns the boot identifier of the engine. */
    async health(): Promise<outcomes.Outcome<string>> {
        const result = await this.get("/healthz", wireHealth);
        return result.ok ? outcomes.succeed(result.value.boot) : result;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.agent.destroy();
    }

    private async *events(
        response: http.IncomingMessage,
        resumedTokens: number,
    ): AsyncGenerator<engineTypes.EngineEvent, void, void> {
        const boot = String(response.headers["x-engine-boot"] ?? "");
        let nextIndex = resumedTokens;
        let isComplete = false;
        try {
            // The iteration must not destroy the body: a complete one is drained and its connection reused.
            for await (const data of eventStream.dataLines(response.iterator({ destroyOnReturn: false }))) {
                const parsed = parse(wireEvent, data);
                const event = parsed.ok ? decodeEvent(parsed.value, nextIndex, boot) : failed(parsed.failure);
                isComplete = event.type === "end";
                yield event;
                if (event.type === "end" || event.type === "failed") {
                    return;
                }
                nextIndex += event.type === "token" ? 1 : 0;
            }
        }
        finally {
            this.release(response, isComplete);
        }
        yield failed({ kind: "engine-connection-lost", detail: `${this.address}: no end after token ${nextIndex}` });
    }

    /** Drains a complete body in the background so that its connection can be reused; destroys an incomplete one. */
    private release(response: http.IncomingMessage, isComplete: boolean): void {
        if (!isComplete) {
            response.destroy();
            return;
        }
        const timer = setTimeout(() => response.destroy(), STREAM_CLOSE_TIMEOUT_MS);
        response.once("close", () => clearTimeout(timer));
        response.resume();
    }

    private get<Value>(path: string, schema: zod.ZodType<Value>): Promise<outcomes.Outcome<Value>> {
        return this.call({ method: "GET", path, timeoutMs: RESPONSE_TIMEOUT_MS, schema });
    }

    private async call<Value>(call: Call<Value>): Promise<outcomes.Outcome<Value>> {
        try {
            const response = await this.send(call);
            if (response.message.statusCode !== 200) {
                return { ok: false, failure: this.failureOfResponse(response.message) };
            }
            return parse(call.schema, await this.readText(response, call.timeoutMs));
        }
        catch (error) {
            return { ok: false, failure: this.failureOfError(error, call.signal) };
        }
    }

    /** Resolves once the head of a response has arrived; rejects with `engine-protocol-error` if it is not valid. */
    private send({ method, path, body, timeoutMs, signal }: Request): Promise<Response> {
        return new Promise((resolve, reject) => {
            const [host, port] = this.address.split(":");
            const bytes = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
            const headers = bytes === undefined ? {} : { ...JSON_HEADERS, "content-length": bytes.length };
            const request = http.request({ host, port, method, path, headers, agent: this.agent, signal });
            const receivedHead = new receivedHeads.ReceivedHead(request);
            const completion = new responseCompletions.ResponseCompletion(request);
            const giveUp = (kind: failures.FailureKind, detail: string) => {
                const error = this.failure(kind, detail);
                request.destroy(error);
                reject(error);
            };
            const timer = setTimeout(() => giveUp("engine-unresponsive", "no response"), timeoutMs);
            request.on("close", () => clearTimeout(timer));
            request.on("error", reject);
            request.on("socket", socket => {
                limitConnecting(socket, () => giveUp("engine-unreachable", "connect timeout"));
            });
            interimResponses.limit(request, reason => giveUp("engine-protocol-error", reason));
            request.on("response", message => {
                clearTimeout(timer);
                const fault = receivedHead.fault(message) ?? messageHeads.contentFault(message.headers);
                if (fault === undefined) {
                    resolve({ message, completion });
                }
                else {
                    giveUp("engine-protocol-error", fault);
                }
            });
            request.end(bytes);
        });
    }

    private async readText({ message, completion }: Response, timeoutMs: number): Promise<string> {
        const timer = setTimeout(() => {
            message.destroy(this.failure("engine-unresponsive", "incomplete response"));
        }, timeoutMs);
        using _timer = { [Symbol.dispose]: () => clearTimeout(timer) };
        const body = new byteBlocks.ByteBlocks();
        let chunks = 0;
        for await (const chunk of message as AsyncIterable<Buffer>) {
            chunks++;
            body.add(chunk);
            if (body.bytes > MAXIMUM_BODY_BYTES || chunks > chunkCosts.maximumChunks(MAXIMUM_BODY_BYTES)) {
                throw this.failure("engine-protocol-error", `a body of more than ${MAXIMUM_BODY_BYTES} bytes`);
            }
        }
        if (!completion.isComplete(message)) {
            throw this.failure("engine-connection-lost", "incomplete response");
        }
        return body.takeAll().toString();
    }

    private failure(kind: failures.FailureKind, detail: string): failures.FailureError {
        return new failures.FailureError({ kind, detail: `${this.address}: ${detail}` });
    }

    private failureOfResponse(response: http.IncomingMessage): failures.Failure {
        this.release(response, true);
        // The response body is omitted because it can quote the prompt.
        const detail = `${this.address}: status ${response.statusCode}`;
        return { kind: STATUS_FAILURES[response.statusCode ?? 0] ?? "engine-failed", detail };
    }

    private failureOfError(error: unknown, signal: AbortSignal | undefined): failures.Failure {
        if (signal?.aborted) {
            return { kind: "engine-cancelled", detail: this.address };
        }
        if (error instanceof failures.FailureError) {
            return error.failure;
        }
        const code = (error as { readonly code?: string; }).code ?? "";
        const detail = `${this.address}: ${code || String(error)}`;
        return { kind: CONNECT_ERROR_CODES.has(code) ? "engine-unreachable" : "engine-connection-lost", detail };
    }
}

/** Calls `onTimeout` if the connection is not established in time. */
function limitConnecting(socket: net.Socket, onTimeout: () => void): void {
    if (!socket.connecting) {
        return;
    }
    const timer = setTimeout(onTimeout, CONNECT_TIMEOUT_MS);
    const stop = () => clearTimeout(timer);
    socket.once("connect", stop).once("close", stop);
}

const STATUS_FAILURES: Readonly<Record<number, failures.FailureKind>> = {
    400: "engine-request-invalid",
    409: "engine-refused",
    413: "engine-request-invalid",
};

function generateBody(request: engineTypes.EngineRequest): object {
    return {
        request_id: request.requestId,
        model: request.model,
        adapter: request.adapter,
        weights_version: request.weightsVersion,
        cache_scope: request.cacheScope,
        prompt: request.prompt,
        resume_tokens: request.resumeTokens,
        max_tokens: request.maxTokens,
        priority: request.priority,
        route: request.route,
    };
}

function failed(failure: failures.Failure): engineTypes.EngineEvent {
    return { type: "failed", failure };
}

function protocolError(detail: string): engineTypes.EngineEvent {
    return failed({ kind: "engine-protocol-error", detail });
}

function decodeEvent(event: WireEvent, nextIndex: number, boot: string): engineTypes.EngineEvent {
    if (event.type === "start") {
        return { type: "start", cachedTokens: event.cached_tokens, promptTokens: event.prompt_tokens, boot };
    }
    if (event.type === "token") {
        return event.index === nextIndex ? event : protocolError(`token ${event.index} instead of ${nextIndex}`);
    }
    if (event.reason === "cancelled") {
        return failed({ kind: "engine-cancelled", detail: `after ${event.count} tokens` });
    }
    return event.count === nextIndex
        ? { type: "end", count: event.count, reason: event.reason }
        : protocolError(`end after ${event.count} tokens instead of ${nextIndex}`);
}

function parse<Value>(schema: zod.ZodType<Value>, text: string): outcomes.Outcome<Value> {
    try {
        const result = schema.safeParse(JSON.parse(text));
        return result.success
            ? outcomes.succeed(result.data)
            : outcomes.fail("engine-protocol-error", result.error.issues[0].message);
    }
    catch {
        return outcomes.fail("engine-protocol-error", "the response is not valid JSON");
    }
}
