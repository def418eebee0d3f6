/** HTTP calls whose result tells whether the request may have reached the server. */
import * as http from "node:http";
import * as https from "node:https";
import type * as net from "node:net";
import type * as clocks from "../clock/clock.js";
import * as chunkCosts from "../http/chunk-cost.js";
import * as interimResponses from "../http/interim-responses.js";
import * as jsonClient from "../http/json-client.js";
import * as messageHeads from "../http/message-head.js";
import * as receivedHeads from "../http/received-head.js";
import * as responseCompletions from "../http/response-completion.js";
import * as byteBlocks from "../memory/byte-blocks.js";

const CONNECT_TIMEOUT_MS = 2000;
const MAXIMUM_CONNECTIONS = 64;
/** Time in milliseconds after which an idle connection is closed; servers commonly close theirs after 5 s. */
const IDLE_TIMEOUT_MS = 4000;

interface Scheme {
    readonly request: typeof http.request;
    readonly createAgent: (options: http.AgentOptions) => http.Agent;
    /** Event of a socket from which on bytes of a request can leave this process. */
    readonly connectedEvent: "connect" | "secureConnect";
}

const HTTP: Scheme = {
    request: http.request,
    createAgent: options => new http.Agent(options),
    connectedEvent: "connect",
};
/** By the protocol of a URL. */
const SCHEMES: Readonly<Record<string, Scheme>> = {
    "http:": HTTP,
    "https:": {
        request: https.request,
        createAgent: options => new https.Agent(options),
        connectedEvent: "secureConnect",
    },
};

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
    /** The body may be in a content coding, such as one that the caller of a service has offered. */
    readonly takesContentCodings?: boolean;
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
    private readonly scheme: Scheme;
    /** Keep-alive connections that calls share. */
    private readonly sharedAgent: http.Agent;
    /** Connections that close after one call. */
    private readonly dedicatedAgent: http.Agent;
    private readonly exchanges = new Set<Exchange>();

    /** `origin` has the form `http://HOST:PORT` or `https://HOST:PORT`. */
    constructor(private readonly origin: string, private readonly clock: clocks.Clock) {
        this.scheme = SCHEMES[new URL(origin).protocol] ?? HTTP;
        this.sharedAgent = this.scheme.createAgent({
            keepAlive: true,
            maxSockets: MAXIMUM_CONNECTIONS,
            timeout: IDLE_TIMEOUT_MS,
        });
        // With `maxSockets`, Node keeps a connection open for the next call.
        this.dedicatedAgent = this.scheme.createAgent({ maxTotalSockets: MAXIMUM_CONNECTIONS });
    }

    /** Never rejects; errors are reported in the result. */
    async send(request: HttpRequest): Promise<HttpResult> {
        const timer = new AbortController();
        const exchange = new Exchange(request);
        this.exchanges.add(exchange);
        void this.clock.sleep(request.timeoutMs, timer.signal).then(() => {
            exchange.abandon(`no response within ${Math.round(request.timeoutMs)} ms`);
        });
        const isDedicated = request.dedicatedConnection ?? false;
        exchange.start(this.origin, this.scheme, isDedicated ? this.dedicatedAgent : this.sharedAgent);
        const result = await exchange.result;
        this.exchanges.delete(exchange);
        timer.abort();
        return result;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.exchanges.forEach(exchange => exchange.abandon("the client was closed"));
        this.sharedAgent.destroy();
        this.dedicatedAgent.destroy();
    }
}

/** One request and its response. */
class Exchange {
    readonly result: Promise<HttpResult>;
    private settle: (result: HttpResult) => void = () => undefined;
    private outgoing: http.ClientRequest | undefined;
    private connectTimer: NodeJS.Timeout | undefined;
    private wasSent = false;
    private hasEnded = false;

    constructor(private readonly request: HttpRequest) {
        this.result = new Promise(resolve => {
            this.settle = resolve;
        });
    }

    start(origin: string, scheme: Scheme, agent: http.Agent): void {
        const { method, target: path, headers } = this.request;
        try {
            const outgoing = scheme.request(origin, {
                method,
                path,
                agent,
                headers: { ...headers, ...this.bodyHeaders() },
            });
            this.outgoing = outgoing;
            const receivedHead = new receivedHeads.ReceivedHead(outgoing);
            const completion = new responseCompletions.ResponseCompletion(outgoing);
            outgoing.on("error", error => this.abandon(jsonClient.errorCode(error)));
            outgoing.on("socket", socket => this.awaitConnection(socket, scheme.connectedEvent));
            interimResponses.limit(outgoing, reason => this.abandon(reason));
            outgoing.on("response", response => this.receive(response, receivedHead, completion));
        }
        catch (error) {
            // Such as a header that no request can hold.
            this.abandon(jsonClient.errorCode(error as Error));
        }
    }

    /** Ends the call without a response. */
    abandon(detail: string): void {
        this.end({ kind: this.wasSent ? "lost" : "not-sent", detail });
    }

    private bodyHeaders(): Readonly<Record<string, string>> {
        const { body } = this.request;
        return body === undefined ? {} : { "content-length": String(Buffer.byteLength(body)) };
    }

    private awaitConnection(socket: net.Socket, connectedEvent: Scheme["connectedEvent"]): void {
        if (!socket.connecting) {
            this.write();
            return;
        }
        this.connectTimer = setTimeout(() => this.abandon("connect timeout"), CONNECT_TIMEOUT_MS);
        socket.once(connectedEvent, () => {
            clearTimeout(this.connectTimer);
            this.write();
        });
    }

    private write(): void {
        if (this.hasEnded) {
            return;
        }
        if (this.request.mayStart?.() === false) {
            this.abandon("the latest start time has passed");
            return;
        }
        this.wasSent = true;
        this.outgoing!.end(this.request.body);
    }

    private receive(
        response: http.IncomingMessage,
        receivedHead: receivedHeads.ReceivedHead,
        completion: responseCompletions.ResponseCompletion,
    ): void {
        const { statusCode: status = 0 } = response;
        const contentFault = this.request.takesContentCodings === true
            ? undefined
            : messageHeads.contentFault(response.headers);
        const fault = receivedHead.fault(response) ?? contentFault;
        if (fault !== undefined) {
            this.abandon(fault);
            return;
        }
        const head = { status, headers: flattenHeaders(response.headersDistinct) };
        const { maximumBytes } = this.request;
        const body = new byteBlocks.ByteBlocks();
        let chunks = 0;
        response.on("data", (chunk: Buffer) => {
            chunks++;
            const isTooLarge = body.bytes + chunk.length > maximumBytes;
            if (isTooLarge || chunks > chunkCosts.maximumChunks(maximumBytes)) {
                this.end({ kind: "oversized", response: head });
                return;
            }
            body.add(chunk);
        });
        response.on("error", error => this.abandon(jsonClient.errorCode(error)));
        response.on("end", () => {
            if (completion.isComplete(response)) {
                this.end({ kind: "answered", response: { ...head, body: body.takeAll() } });
            }
            else {
                this.abandon("incomplete response");
            }
        });
    }

    private end(result: HttpResult): void {
        if (this.hasEnded) {
            return;
        }
        this.hasEnded = true;
        clearTimeout(this.connectTimer);
        // Nobody waits for the rest of a request that is answered before it has been written.
        if (result.kind !== "answered" || !this.outgoing!.writableFinished) {
            this.outgoing?.destroy();
        }
        this.settle(result);
    }
}

function flattenHeaders(headers: NodeJS.Dict<string[]>): Readonly<Record<string, string>> {
    const kept = Object.entries(headers).filter(([name]) => name !== "set-cookie");
    return Object.fromEntries(kept.map(([name, values = []]) => [name, values.join(", ")]));
}
