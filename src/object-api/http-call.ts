/** HTTP calls whose end says whether the request can have reached the server. */
import type * as http from "node:http";
import * as undici from "undici";
import type * as clock from "../clock/clock.js";

const CONNECT_TIMEOUT_MS = 2000;
const MAXIMUM_CONNECTIONS = 64;

export interface HttpRequest {
    readonly method: "GET" | "POST" | "PUT" | "PATCH" | "DELETE";
    /** Path and query. */
    readonly target: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string | Uint8Array;
    /** Milliseconds for the whole call, including the connection and the response body. */
    readonly timeoutMs: number;
    /** Largest accepted response body in bytes. */
    readonly maximumBytes: number;
    /**
     * Opens a connection for this call only. A kept connection that the server closes at the same moment loses the
     * response of a request that was never read, which makes the outcome of the call unknown without need.
     */
    readonly ownConnection?: boolean;
    /** Asked directly before the first byte is written; false ends the call as `not-sent`. */
    readonly mayStart?: () => boolean;
}

export interface HttpResponse {
    readonly status: number;
    /** Lower-case names. A repeated header is joined with a comma, except `set-cookie`, which is dropped. */
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
}

/**
 * How a call ended. `not-sent` proves that no byte of the request left this process; `lost` means that the server may
 * have processed it. `oversized` is a response whose body exceeded the limit and was not read to its end.
 */
export type HttpResult =
    | { readonly kind: "answered"; readonly response: HttpResponse; }
    | { readonly kind: "oversized"; readonly response: Omit<HttpResponse, "body">; }
    | { readonly kind: "not-sent"; readonly detail: string; }
    | { readonly kind: "lost"; readonly detail: string; };

/** Sends HTTP requests to one origin. */
export class HttpCaller implements AsyncDisposable {
    /** Connections that later calls use again. */
    private readonly kept: undici.Pool;
    /** Connections that end with their call. */
    private readonly own: undici.Pool;

    /** `origin` has the form `http://HOST:PORT`. */
    constructor(origin: string, private readonly time: clock.Clock) {
        const options = { connections: MAXIMUM_CONNECTIONS, connect: { timeout: CONNECT_TIMEOUT_MS } };
        this.kept = new undici.Pool(origin, options);
        this.own = new undici.Pool(origin, options);
    }

    /** Never rejects: each way in which a call can end is a result. */
    async send(request: HttpRequest): Promise<HttpResult> {
        const timer = new AbortController();
        const exchange = new Exchange(request.maximumBytes, request.mayStart ?? (() => true));
        void this.time.sleep(request.timeoutMs, timer.signal).then(() => {
            exchange.expire(`no response within ${Math.round(request.timeoutMs)} ms`);
        });
        try {
            const hasOwn = request.ownConnection ?? false;
            (hasOwn ? this.own : this.kept).dispatch({
                method: request.method,
                path: request.target,
                headers: { ...request.headers },
                body: request.body,
                headersTimeout: 0,
                bodyTimeout: 0,
                reset: hasOwn,
            }, exchange);
            return await exchange.result;
        }
        catch (error) {
            return { kind: exchange.sent ? "lost" : "not-sent", detail: describe(error) };
        }
        finally {
            timer.abort();
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await Promise.all([this.kept.destroy(), this.own.destroy()]);
    }
}

/** Follows one request through the dispatcher. `onRequestStart` is called before the first byte is written. */
class Exchange implements undici.Dispatcher.DispatchHandler {
    readonly result: Promise<HttpResult>;
    sent = false;
    private ended = false;
    private settle: (result: HttpResult) => void = () => undefined;
    private controller: undici.Dispatcher.DispatchController | undefined;
    private head: Omit<HttpResponse, "body"> = { status: 0, headers: {} };
    private readonly chunks: Buffer[] = [];
    private bytes = 0;

    constructor(private readonly maximumBytes: number, private readonly mayStart: () => boolean) {
        this.result = new Promise(resolve => {
            this.settle = resolve;
        });
    }

    onRequestStart(controller: undici.Dispatcher.DispatchController): void {
        // An expired request still waits in the queue of the pool; the abort keeps it from being written.
        if (this.ended) {
            controller.abort(new undici.errors.RequestAbortedError());
            return;
        }
        if (!this.mayStart()) {
            this.end({ kind: "not-sent", detail: "the deadline of the start has passed" });
            controller.abort(new undici.errors.RequestAbortedError());
            return;
        }
        this.controller = controller;
        this.sent = true;
    }

    onResponseStart(
        _controller: undici.Dispatcher.DispatchController,
        status: number,
        headers: http.IncomingHttpHeaders,
    ): void {
        this.head = { status, headers: flatten(headers) };
    }

    onResponseData(_controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
        this.bytes += chunk.length;
        if (this.bytes > this.maximumBytes) {
            this.end({ kind: "oversized", response: this.head });
            return;
        }
        this.chunks.push(chunk);
    }

    onResponseEnd(): void {
        this.end({ kind: "answered", response: { ...this.head, body: Buffer.concat(this.chunks) } });
    }

    onResponseError(_controller: undici.Dispatcher.DispatchController, error: Error): void {
        this.end({ kind: this.sent ? "lost" : "not-sent", detail: describe(error) });
    }

    /** Ends a call that takes too long. */
    expire(detail: string): void {
        this.end({ kind: this.sent ? "lost" : "not-sent", detail });
    }

    private end(result: HttpResult): void {
        if (this.ended) {
            return;
        }
        this.ended = true;
        this.settle(result);
        if (result.kind !== "answered") {
            this.controller?.abort(new undici.errors.RequestAbortedError());
        }
    }
}

function flatten(headers: http.IncomingHttpHeaders): Readonly<Record<string, string>> {
    const flat: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && name !== "set-cookie") {
            flat[name.toLowerCase()] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    return flat;
}

function describe(error: unknown): string {
    const code = (error as { readonly code?: string; }).code;
    return code ?? (error instanceof Error ? error.message : String(error));
}
