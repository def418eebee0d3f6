/** How calls and answers are written on the wire of a deployment. Implemented by the adapter of the deployment. */
import type * as http from "node:http";
import type * as fleet from "../fleet/types.js";

/** What the system tells a backend server with an attempt. */
export interface AttemptHead {
    readonly server: fleet.BackendServer;
    /** Name of the customer whose key came with the call; undefined on open routes without a key. */
    readonly customer: string | undefined;
    /** Time in milliseconds that is left for the call. */
    readonly remainingMs: number;
    /** 0 to 9, 0 first. */
    readonly priority: number;
    /** Cached parts are found only under the same text. */
    readonly cacheScope: string | undefined;
    /** The server has to have this version of the weights. */
    readonly weightsVersion: number | undefined;
    /** IP:PORT of a server or store to fetch cached parts from. */
    readonly fetchFrom: string | undefined;
    /** IP:PORT of a store to save parts to. */
    readonly saveTo: string | undefined;
    /** The stream goes on after this event. */
    readonly resumeAfter: number | undefined;
}

/** What the head of a server's answer says, apart from its status. */
export interface AnswerHead {
    readonly callId: string | undefined;
    /** The server states that it has not run the call and will not. */
    readonly isNotExecuted: boolean;
    /** Identity of the answering server, where it states it. */
    readonly server: string | undefined;
    /** The server vouches for this answer. */
    readonly isSealed: boolean;
    readonly weightsVersion: number | undefined;
}

export interface Dialect {
    /** Reads the head of a call. Undefined when it has no usable id. */
    decodeCall(headers: http.IncomingHttpHeaders): fleet.CallHead | undefined;
    /** Headers of the caller that are passed on, as name and value in turn. */
    passedHeaders(rawHeaders: readonly string[]): readonly string[];
    attemptHeaders(attempt: AttemptHead): readonly string[];
    decodeAnswer(headers: http.IncomingHttpHeaders): AnswerHead;
    /** Headers of the server that are passed on to the caller, as name and value in turn. */
    answerHeaders(rawHeaders: readonly string[]): readonly string[];
    /** Headers of an answer of the system itself. */
    refusalHeaders(callId: string | undefined, retryAfterMs: number | undefined): readonly string[];
}
