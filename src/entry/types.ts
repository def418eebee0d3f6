/** Requests and responses of the HTTP server, independent of the HTTP library. */
import type * as http from "node:http";
import type * as failure from "../core/failure.js";

/** What a request tells before its body. */
export interface RequestHead {
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    readonly headers: http.IncomingHttpHeaders;
    readonly remoteAddress: string;
}

export interface InboundRequest {
    readonly id: string;
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: Uint8Array;
}

/** Writes one response. */
export interface Responder {
    /** The status line has been sent; a failure can then only close the connection. */
    readonly started: boolean;
    begin(status: number, headers: Readonly<Record<string, string | readonly string[]>>): void;
    /** Resolves when the connection accepts more data. */
    write(chunk: string | Uint8Array): Promise<void>;
    end(chunk?: string | Uint8Array): void;
    /** Sends an error response, or closes the connection if the response has started. `execution` overrides the catalogue. */
    fail(reason: failure.Failure, execution?: failure.Execution): void;
}

/** Handles one request. `disconnected` is aborted when the caller closes the connection. */
export type Handler = (
    request: InboundRequest,
    responder: Responder,
    disconnected: AbortSignal,
) => Promise<void>;
