/** HTTP calls whose result tells whether the request may have reached the server. */
import type * as http from "node:http";
import * as undici from "undici";
import type * as clocks from "../clock/clock.js";
import * as chunkCosts from "../http/chunk-cost.js";
import * as messageHeads from "../http/message-head.js";
import * as byteBlocks from "../memory/byte-blocks.js";

const CONNECT_TIMEOUT_MS = 2000;
const MAXIMUM_CONNECTIONS = 64;

export interface HttpRequest {
    readonly method: "GET" | "POST" | "PUT" | "PATCH" | "DELETE";
    /** Path and query string. */
    readonly target: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string | Uint8Array;
    /** Timeout in milliseconds of the whole call, from connection setup to the end of the response. */
    readonly timeoutMs: number;
    /** Maximum size of the response body in bytes. */
    readonly maximumBytes: number;
    /**
     * Opens a connection for this call only. If the server closes a keep-alive connection while a request is being
     * written to it, the outcome of the call is unknown although the server never read the request.
     */
    readonly dedicatedConnection?: boolean;
    /** Called immediately before the first byte is written; false ends the call as `not-sent`. */
    readonly mayStart?: () => boolean;
}

export interface HttpResponse {
    readonly status: number;
    /** Keys are in lower case. Values of a repeated header are joined by commas; `set-cookie` is dropped. */
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
}

/**
 * How a call ended. `not-sent`: no byte of the request left this process. `lost`: there is no complete response, and
 * the server may have processed the request. `oversized`: the response body exceeded the limit and was not read
 * completely.
 */
export type HttpResult =
    | { readonly kind: "answered"; readonly response: HttpResponse; }
    | { readonly kind: "oversized"; readonly response: Omit<HttpResponse, "body">; }
    | { readonly kind: "not-sent"; readonly detail: string; }
    | { readonly kind: "lost"; readonly detail: string; };

/** Sends HTTP requests to one origin. */
export class HttpClient implements AsyncDisposable {
    /** Keep-alive connections that calls share. */
    private readonly sharedPool: undici.Pool;
    /** Connections that close after one call. */
    private readonly dedicatedPool: undici.Pool;

    /** `origin` has the form `http://HOST:PORT`. */
    constructor(origin: string, private readonly clock: clocks.Clock) {
        const options = { connections: MAXIMUM_CONNECTIONS, connect: { timeout: CONNECT_TIMEOUT_MS } };
        this.sharedPool = new undici.Pool(origin, options);
        this.dedicatedPool = new undici.Pool(origin, options);
    }

    /** Never rejects; errors are reported in the result. */
    async send(request: HttpRequest): Promise<HttpResult> {
        const timer = new AbortController();
        const exchange = new Exchange(request.maximumBytes, request.mayStart ?? (() => true));
        void this.clock.sleep(request.timeoutMs, timer.signal).then(() => {
            exchange.expire(`no response within ${Math.round(request.timeoutMs)} ms`);
        });
        try {
            const isDedicated = request.dedicatedConnection ?? false;
            (isDedicated ? this.dedicatedPool : this.sharedPool).dispatch({
                method: request.method,
                path: request.target,
                headers: { ...request.headers },
                body: request.body,
                headersTimeout: 0,
                bodyTimeout: 0,
                reset: isDedicated,
            }, exchange);
            return await exchange.result;
        }
        catch (error) {
            return { kind: exchange.wasSent ? "lost" : "not-sent", detail: describeError(error) };
        }
        finally {
            timer.abort();
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await Promise.all([this.sharedPool.destroy(), this.dedicatedPool.destroy()]);
    }
}

/** Dispatch handler of one request. Undici calls `onRequestStart` before the first byte is written. */
class Exchange implements undici.Dispatcher.DispatchHandler {
    readonly result: Promise<HttpResult>;
    wasSent = false;
    private hasEnded = false;
    private settle: (result: HttpResult) => void = () => undefined;
    private controller: undici.Dispatcher.DispatchController | undefined;
    private head: Omit<HttpResponse, "body"> = { status: 0, headers: {} };
    private readonly body = new byteBlocks.ByteBlocks();
    private chunks = 0;

    constructor(private readonly maximumBytes: number, private readonly mayStart: () => boolean) {
        this.result = new Promise(resolve => {
            this.settle = resolve;
        });
    }

    onRequestStart(controller: undici.Dispatcher.DispatchController): void {
        // A request that timed out may still be in the queue of the pool; the abort prevents it from being written.
        if (this.hasEnded) {
            controller.abort(new undici.errors.RequestAbortedError());
            return;
        }
        if (!this.mayStart()) {
            this.end({ kind: "not-sent", detail: "the latest start time has passed" });
            controller.abort(new undici.errors.RequestAbortedError());
            return;
        }
        this.controller = controller;
        this.wasSent = true;
    }

    onResponseStart(
        _controller: undici.Dispatcher.DispatchController,
        status: number,
        headers: http.IncomingHttpHeaders,
    ): void {
        const fault = messageHeads.responseFault(headers);
        if (fault !== undefined) {
            this.end({ kind: "lost", detail: fault });
            return;
        }
        this.head = { status, headers: flattenHeaders(headers) };
    }

    onResponseData(_controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
        this.chunks++;
        const isTooLarge = this.body.bytes + chunk.length > this.maximumBytes;
        if (isTooLarge || this.chunks > chunkCosts.maximumChunks(this.maximumBytes)) {
            this.end({ kind: "oversized", response: this.head });
            return;
        }
        this.body.add(chunk);
    }

    onResponseEnd(): void {
        this.end({ kind: "answered", response: { ...this.head, body: this.body.takeAll() } });
    }

    onResponseError(_controller: undici.Dispatcher.DispatchController, error: Error): void {
        this.end({ kind: this.wasSent ? "lost" : "not-sent", detail: describeError(error) });
    }

    /** Ends a call that exceeds its timeout. */
    expire(detail: string): void {
        this.end({ kind: this.wasSent ? "lost" : "not-sent", detail });
    }

    private end(result: HttpResult): void {
        if (this.hasEnded) {
            return;
        }
        this.hasEnded = true;
        this.settle(result);
        if (result.kind !== "answered") {
            this.controller?.abort(new undici.errors.RequestAbortedError());
        }
    }
}

function flattenHeaders(headers: http.IncomingHttpHeaders): Readonly<Record<string, string>> {
    const flat: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && name !== "set-cookie") {
            flat[name.toLowerCase()] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    return flat;
}

function describeError(error: unknown): string {
    const code = (error as { readonly code?: string; }).code;
    return code ?? (error instanceof Error ? error.message : String(error));
}
