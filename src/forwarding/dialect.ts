/** HTTP headers of calls and responses in a deployment. Implemented by the adapter of the deployment. */
import type * as http from "node:http";
import type * as fleet from "../fleet/types.js";

/** Values that the router adds to the headers of an attempt at a backend server. */
export interface AttemptHead {
    readonly server: fleet.BackendServer;
    /** Name of the customer that owns the key of the call; undefined for calls without a key on open routes. */
    readonly customer: string | undefined;
    /** Time in milliseconds until the deadline of the call. */
    readonly remainingMs: number;
    /** From 0 to 9; 0 is the most urgent. */
    readonly priority: number;
    /** Namespace of the cached prompt parts; calls share them only within the same scope. */
    readonly cacheScope: string | undefined;
    /** The server must have loaded this version of the weights. */
    readonly weightsVersion: number | undefined;
    /** IP:PORT of a server or store from which cached parts are fetched. */
    readonly fetchFrom: string | undefined;
    /** IP:PORT of a store to which parts are saved. */
    readonly saveTo: string | undefined;
    /** Id of the event after which the stream resumes. */
    readonly resumeAfter: number | undefined;
}

/** Values from the headers of a server's response, without its status. */
export interface ResponseHead {
    readonly callId: string | undefined;
    /** The server guarantees that it has not run the call and will not run it. */
    readonly isNotExecuted: boolean;
    /** Id of the server that responded, if the response contains it. */
    readonly serverId: string | undefined;
    /** The response carries the seal with which a server confirms it as its own. */
    readonly isSealed: boolean;
    readonly weightsVersion: number | undefined;
    /** The server is leaving and takes no further calls. */
    readonly isLeaving: boolean;
    /** Time in milliseconds for which a server that does not take the call wants no others either. */
    readonly retryAfterMs: number | undefined;
    /** Requests a second that the server takes from all entries together; undefined while it names no limit. */
    readonly requestsPerSecond: number | undefined;
    /** Time in milliseconds for which the server stays cold; undefined if the response does not tell. */
    readonly coldMs?: number | undefined;
    /** Load of the server at the time of the response, if it states it. */
    readonly load: fleet.StatedLoad | undefined;
}

export interface Dialect {
    /** Decodes the headers of a call. Undefined when they have no valid id. */
    decodeCall(headers: http.IncomingHttpHeaders): fleet.CallHead | undefined;
    /** Caller headers that are forwarded to the server, as alternating names and values. */
    forwardedHeaders(rawHeaders: readonly string[]): readonly string[];
    /** Headers that the router adds to an attempt, as alternating names and values. */
    attemptHeaders(attempt: AttemptHead): readonly string[];
    decodeResponse(headers: http.IncomingHttpHeaders): ResponseHead;
    /** Server headers that are forwarded to the caller, as alternating names and values. */
    responseHeaders(rawHeaders: readonly string[]): readonly string[];
    /** Headers of an error response of the router itself, as alternating names and values. */
    refusalHeaders(callId: string | undefined, retryAfterMs: number | undefined): readonly string[];
}
