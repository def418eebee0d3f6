/** Requests and responses at the front end, independent of the HTTP library. */
import type * as http from "node:http";
import type * as failure from "../core/failure.js";

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
    /** The status line was sent; a failure can then only break the response off. */
    readonly started: boolean;
    begin(status: number, headers: Readonly<Record<string, string | readonly string[]>>): void;
    /** Resolves when the connection accepts more data. */
    write(chunk: string | Uint8Array): Promise<void>;
    end(chunk?: string | Uint8Array): void;
    /** Sends an error response, or breaks the connection when the response has started. `execution` overrides the catalogue. */
    fail(reason: failure.Failure, execution?: failure.Execution): void;
}

/** Serves one request. `disconnected` is aborted when the caller closes the connection. */
export type Handler = (
    request: InboundRequest,
    responder: Responder,
    disconnected: AbortSignal,
) => Promise<void>;
