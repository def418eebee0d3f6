/**
 * Client of the engine beside the agent.
 *
 * Sends only the headers named here, so no header of a caller reaches the engine.
 */
import * as undici from "undici";
import * as zod from "zod";
import * as failures from "../core/failure.js";
import * as outcomes from "../core/outcome.js";
import type * as types from "./engine-types.js";
import * as eventStream from "./event-stream.js";

/** The engine runs on the same instance; a connection that takes longer will not succeed. */
const CONNECT_TIMEOUT_MS = 1000;
/** Answer to a short call, and response header of a generation. */
const ANSWER_TIMEOUT_MS = 5000;
/** Loading weights takes a second or more while several servers load at once. */
const ORDER_TIMEOUT_MS = 60_000;
/** An engine that keeps its stream open for longer after the end event loses the connection. */
const REST_TIMEOUT_MS = 1000;
/** Added to the wait of a long poll. */
const POLL_MARGIN_MS = 2000;

const JSON_HEADERS = { "content-type": "application/json" } as const;

/** System codes of errors that happen before any byte of the request is sent. */
const NOT_CONNECTED = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    "UND_ERR_CONNECT_TIMEOUT",
]);
const TIMED_OUT = new Set(["UND_ERR_HEADERS_TIMEOUT", "UND_ERR_BODY_TIMEOUT"]);

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
     * Runs a generation. The iteration never throws; its last event is the only `end` or `failed` event.
     *
     * The engine cancels the request when the signal is aborted or the iteration is left early.
     */
    async *generate(request: types.EngineRequest, signal: AbortSignal): AsyncGenerator<types.EngineEvent, void, void> {
        try {
            const response = await this.pool.request({
                method: "POST",
                path: "/v1/generate",
                headers: JSON_HEADERS,
                body: JSON.stringify(generateBody(request)),
                headersTimeout: ANSWER_TIMEOUT_MS,
                bodyTimeout: 0,
                signal,
            });
            if (response.statusCode !== 200) {
                yield failed(await this.refusal(response));
                return;
            }
            yield* this.events(response, request.resumeTokens.length);
        }
        catch (error) {
            yield failed(this.failureOf(error, signal));
        }
    }

    /** Returns false when the engine does not know the request. */
    async cancel(requestId: string): Promise<outcomes.Outcome<boolean>> {
        const answer = await this.call({
            method: "POST",
            path: "/v1/cancel",
            body: { request_id: requestId },
            timeoutMs: ANSWER_TIMEOUT_MS,
            schema: wireCancel,
        });
        return answer.ok ? outcomes.succeed(answer.value.cancelled) : answer;
    }

    async load(): Promise<outcomes.Outcome<types.EngineLoad>> {
        const answer = await this.read("/v1/load", wireLoad);
        if (!answer.ok) {
            return answer;
        }
        const { queued_tokens: queuedTokens, ...rest } = answer.value;
        return outcomes.succeed({ ...rest, queuedTokens });
    }

    /** Waits up to `waitMs` for cache events after a sequence number. */
    cacheEvents(after: number, waitMs: number, signal?: AbortSignal): Promise<outcomes.Outcome<types.CacheEventPage>> {
        return this.call({
            method: "GET",
            path: `/v1/cache-events?after=${after}&wait_ms=${waitMs}`,
            timeoutMs: waitMs + POLL_MARGIN_MS,
            schema: wirePage,
            signal,
        });
    }

    cacheSnapshot(): Promise<outcomes.Outcome<types.CacheSnapshot>> {
        return this.read("/v1/cache-snapshot", wireSnapshot);
    }

    /** Gives an order and returns the loaded weights. Fails with `engine-order-rejected` on an old fencing number. */
    async order(order: types.Order): Promise<outcomes.Outcome<readonly string[]>> {
        const answer = await this.call({
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
        if (!answer.ok && answer.failure.kind === "engine-refused") {
            return outcomes.fail("engine-order-rejected", `fencing number ${order.fencingNumber}`);
        }
        return answer.ok ? outcomes.succeed(answer.value.weights) : answer;
    }

    /** Returns the boot identifier of the engine. */
    async health(): Promise<outcomes.Outcome<string>> {
        const answer = await this.read("/healthz", wireHealth);
        return answer.ok ? outcomes.succeed(answer.value.boot) : answer;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.pool.destroy();
    }

    private async *events(
        response: undici.Dispatcher.ResponseData,
        resumedTokens: number,
    ): AsyncGenerator<types.EngineEvent, void, void> {
        const boot = String(response.headers["x-engine-boot"] ?? "");
        let nextIndex = resumedTokens;
        let isComplete = false;
        try {
            // Leaving the iteration does not destroy the body, so that a complete one returns its connection.
            for await (const data of eventStream.dataLines(response.body.iterator({ destroyOnReturn: false }))) {
                const parsed = parse(wireEvent, data);
                const event = parsed.ok ? translate(parsed.value, nextIndex, boot) : failed(parsed.failure);
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

    /** Ends with a body: reads the rest of a complete one in the background, so that its connection serves again. */
    private release(body: undici.Dispatcher.ResponseData["body"], isComplete: boolean): void {
        // An error after the last event has nobody to report to; without a listener it would end the process.
        body.on("error", () => undefined);
        if (!isComplete) {
            body.destroy();
            return;
        }
        const timer = setTimeout(() => body.destroy(), REST_TIMEOUT_MS);
        body.once("close", () => clearTimeout(timer));
        body.resume();
    }

    private read<Value>(path: string, schema: zod.ZodType<Value>): Promise<outcomes.Outcome<Value>> {
        return this.call({ method: "GET", path, timeoutMs: ANSWER_TIMEOUT_MS, schema });
    }

    private async call<Value>(call: Call<Value>): Promise<outcomes.Outcome<Value>> {
        try {
            const response = await this.pool.request({
                method: call.method,
                path: call.path,
                headers: call.body === undefined ? {} : JSON_HEADERS,
                body: call.body === undefined ? undefined : JSON.stringify(call.body),
                headersTimeout: call.timeoutMs,
                bodyTimeout: call.timeoutMs,
                signal: call.signal,
            });
            if (response.statusCode !== 200) {
                return { ok: false, failure: await this.refusal(response) };
            }
            return parse(call.schema, await response.body.text());
        }
        catch (error) {
            return { ok: false, failure: this.failureOf(error, call.signal) };
        }
    }

    private async refusal(response: undici.Dispatcher.ResponseData): Promise<failures.Failure> {
        await response.body.dump();
        // The text of the response is left out because it can quote the prompt.
        const detail = `${this.address}: status ${response.statusCode}`;
        return { kind: STATUS_FAILURES[response.statusCode] ?? "engine-failed", detail };
    }

    private failureOf(error: unknown, signal: AbortSignal | undefined): failures.Failure {
        if (signal?.aborted) {
            return { kind: "engine-cancelled", detail: this.address };
        }
        if (error instanceof failures.FailureError) {
            return error.failure;
        }
        const code = (error as { readonly code?: string; }).code ?? "";
        const detail = `${this.address}: ${code || String(error)}`;
        if (NOT_CONNECTED.has(code)) {
            return { kind: "engine-unreachable", detail };
        }
        return { kind: TIMED_OUT.has(code) ? "engine-unresponsive" : "engine-connection-lost", detail };
    }
}

const STATUS_FAILURES: Readonly<Record<number, failures.FailureKind>> = {
    400: "engine-request-invalid",
    409: "engine-refused",
    413: "engine-request-invalid",
};

function generateBody(request: types.EngineRequest): object {
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

function failed(failure: failures.Failure): types.EngineEvent {
    return { type: "failed", failure };
}

function protocolError(detail: string): types.EngineEvent {
    return failed({ kind: "engine-protocol-error", detail });
}

function translate(event: WireEvent, nextIndex: number, boot: string): types.EngineEvent {
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
        return outcomes.fail("engine-protocol-error", "found text that is not JSON");
    }
}
