/** One HTTP/1.1 request to a backend server. */
import * as http from "node:http";
import type * as eventLoop from "../event-loop/types.js";
import * as interimResponses from "../http/interim-responses.js";
import * as jsonClient from "../http/json-client.js";
import * as receivedHeads from "../http/received-head.js";
import * as responseCompletions from "../http/response-completion.js";
import type * as connectionPools from "./connection-pool.js";

/** Connect timeout in milliseconds. A server in the same region accepts a connection within two round trips. */
const CONNECT_TIMEOUT_MS = 400;
/** Limit of a response head in bytes; a server in trouble may send one without end. */
const MAXIMUM_HEAD_BYTES = 16 * 1024;
/** Limits of a body that nobody needs. A longer one is not worth the connection, which is closed. */
const DISCARD_TIMEOUT_MS = 500;
const MAXIMUM_DISCARDED_BYTES = 64 * 1024;

export interface RequestOptions {
    readonly address: string;
    readonly method: string;
    readonly path: string;
    /** Alternating names and values. */
    readonly headers: readonly string[];
    readonly body: Buffer;
    /**
     * Use a keep-alive connection. The server may be closing an idle connection at this moment, so only calls that can
     * be repeated use one.
     */
    readonly mayReuseConnection: boolean;
    /** The reading of the answer. */
    readonly work: eventLoop.Work;
}

export interface RequestFailure {
    /** False when no connection was established. */
    readonly wasSent: boolean;
    readonly reason: string;
}

/** Receives the response: `head`, `data` for each chunk, then `end`; or `failed` at any point, as the last call. */
export interface ResponseListener {
    /** `isReused` is set when the connection has carried another call before. */
    head(response: http.IncomingMessage, isReused: boolean): void;
    data(chunk: Buffer): void;
    /** The response is complete. */
    end(): void;
    failed(failure: RequestFailure): void;
}

export interface InFlightRequest {
    /** Closes the connection. The listener is not called any more. */
    abort(): void;
    /** Ignores the rest of the response, and keeps the connection if that is short. The listener is not called any more. */
    discard(): void;
    /** Stops reading the response, for backpressure when the caller reads slowly. */
    pause(): void;
    /** Continues reading the response. */
    resume(): void;
}

/** Sends the request on a connection of the pool. */
export function send(
    request: RequestOptions,
    pool: connectionPools.ConnectionPool,
    listener: ResponseListener,
): InFlightRequest {
    const [host, port] = request.address.split(":");
    let isDone = false;
    let wasConnected = false;
    let response: http.IncomingMessage | undefined;
    const fail = (reason: string) => {
        if (!isDone) {
            isDone = true;
            clearTimeout(connectTimer);
            outgoing.destroy();
            listener.failed({ wasSent: wasConnected, reason });
        }
    };
    const outgoing = http.request({
        host,
        port,
        method: request.method,
        path: request.path,
        headers: [...request.headers] as unknown as http.OutgoingHttpHeaders,
        agent: request.mayReuseConnection ? pool.keepAliveAgent(request.address) : pool.singleUseAgent(request.address),
        setHost: false,
        maxHeaderSize: MAXIMUM_HEAD_BYTES,
    });
    /** An error in the listener ends this request, not the process. */
    const notify = (action: () => void) => {
        try {
            action();
        }
        catch (error) {
            fail(`internal error: ${(error as Error).message}`);
        }
    };
    const connectTimer = setTimeout(() => fail("connect timeout"), CONNECT_TIMEOUT_MS);
    const receivedHead = new receivedHeads.ReceivedHead(outgoing);
    const completion = new responseCompletions.ResponseCompletion(outgoing);
    outgoing.on("socket", socket => {
        pool.assign(socket, request.work);
        const onConnected = () => {
            wasConnected = true;
            clearTimeout(connectTimer);
        };
        if (socket.connecting) {
            socket.once("connect", onConnected);
        }
        else {
            onConnected();
        }
    });
    outgoing.on("error", error => fail(jsonClient.errorCode(error)));
    interimResponses.limit(outgoing, fail);
    outgoing.on("response", incoming => {
        if (isDone) {
            return;
        }
        const fault = receivedHead.fault(incoming);
        if (fault !== undefined) {
            fail(fault);
            return;
        }
        response = incoming;
        incoming.on("data", (chunk: Buffer) => {
            if (!isDone) {
                notify(() => listener.data(chunk));
            }
        });
        incoming.on("error", error => fail(jsonClient.errorCode(error)));
        incoming.on("end", () => {
            if (!completion.isComplete(incoming)) {
                fail("incomplete response");
            }
            else if (!isDone) {
                notify(() => listener.end());
                isDone = true;
            }
        });
        incoming.on("close", () => fail("closed"));
        notify(() => listener.head(incoming, outgoing.reusedSocket));
    });
    outgoing.end(request.body);
    return {
        abort: () => {
            isDone = true;
            clearTimeout(connectTimer);
            outgoing.destroy();
        },
        discard: () => {
            isDone = true;
            discardRest(outgoing, response);
        },
        pause: () => void response?.pause(),
        resume: () => void response?.resume(),
    };
}

function discardRest(outgoing: http.ClientRequest, response: http.IncomingMessage | undefined): void {
    let discardedBytes = 0;
    const timer = setTimeout(() => outgoing.destroy(), DISCARD_TIMEOUT_MS);
    outgoing.once("close", () => clearTimeout(timer));
    response?.on("data", (chunk: Buffer) => {
        discardedBytes += chunk.length;
        if (discardedBytes > MAXIMUM_DISCARDED_BYTES) {
            outgoing.destroy();
        }
    });
}
