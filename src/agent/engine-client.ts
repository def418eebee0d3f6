/**
 * HTTP client of the agent's engine.
 *
 * Sends only headers that it sets itself, so headers of the caller never reach the engine.
 */
import * as undici from "undici";
import * as zod from "zod";
import * as failures from "../core/failure.js";
import * as outcomes from "../core/outcome.js";
import * as messageHeads from "../http/message-head.js";
import type * as engineTypes from "./engine-types.js";
import * as eventStream from "./event-stream.js";

/** The engine runs on the same instance, so a connection attempt that takes longer is not expected to succeed. */
const CONNECT_TIMEOUT_MS = 1000;
/** Applies to the whole response of a short call and to the response headers of a generation. */
const RESPONSE_TIMEOUT_MS = 5000;
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
    "UND_ERR_CONNECT_TIMEOUT",
]);
const TIMEOUT_ERROR_CODES = new Set(["UND_ERR_HEADERS_TIMEOUT", "UND_ERR_BODY_TIMEOUT"]);

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
    readonly signal?: AbortSignal;
}

export class EngineClient implements AsyncDisposable {
    private readonly pool: undici.Pool;

    /** `address` is the `host:port` of the engine. */
    constructor(readonly address: string) {
        this.pool = new undici.Pool(`http://${address}`, {
            connect: { timeout: CONNECT_TIMEOUT_MS },
            pipelining: 1,
        });
    }

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
            const response = await this.send({
                method: "POST",
                path: "/v1/generate",
                headers: JSON_HEADERS,
                body: JSON.stringify(generateBody(request)),
                headersTimeout: RESPONSE_TIMEOUT_MS,
                bodyTimeout: 0,
                signal,
            });
            if (response.statusCode !== 200) {
                yield failed(await this.failureOfResponse(response));
                return;
            }
            yield* this.events(response, request.resumeTokens.length);
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
        await this.pool.destroy();
    }

    private async *events(
        response: undici.Dispatcher.ResponseData,
        resumedTokens: number,
    ): AsyncGenerator<engineTypes.EngineEvent, void, void> {
        const boot = String(response.headers["x-engine-boot"] ?? "");
        let nextIndex = resumedTokens;
        let isComplete = false;
        try {
            // The iteration must not destroy the body: a complete one is drained and its connection reused.
            for await (const data of eventStream.dataLines(response.body.iterator({ destroyOnReturn: false }))) {
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
            this.release(response.body, isComplete);
        }
        yield failed({ kind: "engine-connection-lost", detail: `${this.address}: no end after token ${nextIndex}` });
    }

    /** Drains a complete body in the background so that its connection can be reused; destroys an incomplete one. */
    private release(body: undici.Dispatcher.ResponseData["body"], isComplete: boolean): void {
        // An error after the last event does not affect the result, but without a listener it would end the process.
        body.on("error", () => undefined);
        if (!isComplete) {
            body.destroy();
            return;
        }
        const timer = setTimeout(() => body.destroy(), STREAM_CLOSE_TIMEOUT_MS);
        body.once("close", () => clearTimeout(timer));
        body.resume();
    }

    private get<Value>(path: string, schema: zod.ZodType<Value>): Promise<outcomes.Outcome<Value>> {
        return this.call({ method: "GET", path, timeoutMs: RESPONSE_TIMEOUT_MS, schema });
    }

    private async call<Value>(call: Call<Value>): Promise<outcomes.Outcome<Value>> {
        try {
            const response = await this.send({
                method: call.method,
                path: call.path,
                headers: call.body === undefined ? {} : JSON_HEADERS,
                body: call.body === undefined ? undefined : JSON.stringify(call.body),
                headersTimeout: call.timeoutMs,
                bodyTimeout: call.timeoutMs,
                signal: call.signal,
            });
            if (response.statusCode !== 200) {
                return { ok: false, failure: await this.failureOfResponse(response) };
            }
            return parse(call.schema, await response.body.text());
        }
        catch (error) {
            return { ok: false, failure: this.failureOfError(error, call.signal) };
        }
    }

    /** Throws `engine-protocol-error` if the head of the response is not valid. */
    private async send(request: undici.Dispatcher.RequestOptions): Promise<undici.Dispatcher.ResponseData> {
        const response = await this.pool.request(request);
        const fault = messageHeads.responseFault(response.statusCode, response.headers);
        if (fault !== undefined) {
            this.release(response.body, false);
            throw new failures.FailureError({ kind: "engine-protocol-error", detail: `${this.address}: ${fault}` });
        }
        return response;
    }

    private async failureOfResponse(response: undici.Dispatcher.ResponseData): Promise<failures.Failure> {
        await response.body.dump();
        // The response body is omitted because it can quote the prompt.
        const detail = `${this.address}: status ${response.statusCode}`;
        return { kind: STATUS_FAILURES[response.statusCode] ?? "engine-failed", detail };
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
        if (CONNECT_ERROR_CODES.has(code)) {
            return { kind: "engine-unreachable", detail };
        }
        return { kind: TIMEOUT_ERROR_CODES.has(code) ? "engine-unresponsive" : "engine-connection-lost", detail };
    }
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
