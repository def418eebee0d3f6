/** Client for small JSON requests over HTTP to other processes, the store and backend servers, with a timeout. */
import * as http from "node:http";
import type * as readMemory from "../memory/read-memory.js";
import * as bodyReaders from "./body-reader.js";
import * as interimResponses from "./interim-responses.js";
import * as jsonParsing from "./json-parsing.js";
import * as messageHeads from "./message-head.js";
import * as receivedHeads from "./received-head.js";
import * as responseCompletions from "./response-completion.js";

export interface JsonRequest {
    readonly method: string;
    /** IP:PORT. */
    readonly address: string;
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: unknown;
    readonly timeoutMs: number;
    /** Gives the request up when it is aborted. */
    readonly signal?: AbortSignal;
    /** Connection pool; without it each request opens its own connection. */
    readonly agent?: http.Agent;
    /** Depth of the values of the response that are left out if they cannot be read; without it, the whole body is. */
    readonly partsDepth?: number;
    /** Reads what it can of a body that is no JSON. */
    readonly salvage?: (text: string) => unknown;
    /** Memory that the response takes while it is read; without it, nothing is counted. */
    readonly memory?: readMemory.ReadMemory | undefined;
    /** Limit of the response body in bytes, if it is lower than the general one. */
    readonly maximumBodyBytes?: number;
}

/**
 * - `response`: a complete response arrived; `body` is undefined when the body is empty or not JSON.
 * - `no-response`: no complete response arrived; the request may still have taken effect.
 * - `too-large`: there is no room for the body of the response.
 */
export type JsonResult =
    | {
        readonly kind: "response";
        readonly status: number;
        readonly headers: http.IncomingHttpHeaders;
        readonly body: unknown;
    }
    | { readonly kind: "no-response"; readonly reason: string; }
    | { readonly kind: "too-large"; readonly reason: string; };

/** Limit of a response body in bytes. The largest one is a page of a listing, about 1 MB. */
const MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;

const TIMEOUT = "timeout";

/** Sends a request. The promise never rejects. */
export function send(options: JsonRequest): Promise<JsonResult> {
    return new Promise(resolve => {
        try {
            start(options, resolve);
        }
        catch (error) {
            // Such as an address whose port is out of range.
            resolve({ kind: "no-response", reason: errorCode(error as Error) });
        }
    });
}

function start(options: JsonRequest, resolve: (result: JsonResult) => void): void {
    const [host, port] = options.address.split(":");
    const body = options.body === undefined ? undefined : Buffer.from(JSON.stringify(options.body));
    const headers = {
        ...options.headers,
        ...body === undefined ? {} : { "Content-Type": "application/json", "Content-Length": String(body.length) },
    };
    const request = http.request({
        host,
        port,
        method: options.method,
        path: options.path,
        headers,
        agent: options.agent ?? false,
    });
    const receivedHead = new receivedHeads.ReceivedHead(request);
    const completion = new responseCompletions.ResponseCompletion(request);
    const reservation = options.memory?.begin(`${options.address} ${options.path.split("?")[0]}`);
    const giveUp = (reason: string) => {
        request.destroy();
        finish({ kind: "no-response", reason });
    };
    // A process that could not run for a while first reads what has arrived meanwhile.
    const timer = setTimeout(() => setImmediate(() => giveUp(TIMEOUT)), options.timeoutMs);
    const abort = () => giveUp("aborted");
    options.signal?.addEventListener("abort", abort);
    const finish = (result: JsonResult) => {
        clearTimeout(timer);
        options.signal?.removeEventListener("abort", abort);
        resolve(result);
        // The receiver first counts what it keeps of the response.
        setImmediate(() => reservation?.[Symbol.dispose]());
    };
    request.on("error", error => finish({ kind: "no-response", reason: errorCode(error) }));
    interimResponses.limit(request, giveUp);
    request.on("response", response => {
        const fault = receivedHead.fault(response) ?? messageHeads.contentFault(response.headers);
        if (fault !== undefined) {
            giveUp(fault);
            return;
        }
        const { maximumBodyBytes: maximumBytes = MAXIMUM_BODY_BYTES, timeoutMs } = options;
        const bodyOptions = { completion, reservation, maximumBytes, timeoutMs };
        void bodyReaders.readBody(response, bodyOptions).then(body => {
            if (body.kind !== "complete") {
                request.destroy();
                finish({ kind: body.kind, reason: body.reason });
                return;
            }
            finish(decode(response, body.text, options));
        });
    });
    request.end(body);
}

/** Code of a system error, or its message when it has no code. */
export function errorCode(error: Error): string {
    return (error as NodeJS.ErrnoException).code ?? error.message;
}

function decode(
    { statusCode: status = 0, headers }: http.IncomingMessage,
    text: string,
    { partsDepth = 0, salvage }: Pick<JsonRequest, "partsDepth" | "salvage">,
): JsonResult {
    // The status is still meaningful when the body is not JSON, so the response is returned without a body.
    const value = text.length === 0 ? undefined : jsonParsing.parse(text, { partsDepth });
    return { kind: "response", status, headers, body: value === jsonParsing.UNREADABLE ? salvage?.(text) : value };
}
