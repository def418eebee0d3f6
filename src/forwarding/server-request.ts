/** One exchange with a backend server over HTTP/1.1. */
import * as http from "node:http";
import * as controlCalls from "../http/control-call.js";
import type * as connections from "./connection-pool.js";

/** Time in milliseconds for a connection; a server in the same region answers within two round trips of it. */
const CONNECT_TIMEOUT_MS = 400;

export interface AttemptRequest {
    readonly address: string;
    readonly method: string;
    readonly path: string;
    /** Names and values in turn. */
    readonly headers: readonly string[];
    readonly body: Buffer;
    /** A connection that was used before may be closing just now; only calls that can be repeated take one. */
    readonly mayReuseConnection: boolean;
}

/** `wasSent` is false when no connection was established. */
export interface AttemptFailure {
    readonly wasSent: boolean;
    readonly reason: string;
}

/** Is told what happens, in the order of the methods; ends with `end` or `failed`. */
export interface AttemptListener {
    head(response: http.IncomingMessage): void;
    data(chunk: Buffer): void;
    /** The answer is complete. */
    end(): void;
    failed(failure: AttemptFailure): void;
}

export interface Attempt {
    /** Breaks the exchange off; the listener is told nothing more. */
    abort(): void;
    /** Stops and continues reading, for a caller that reads slowly. */
    pause(): void;
    resume(): void;
}

export function start(
    request: AttemptRequest,
    pool: connections.ConnectionPool,
    listener: AttemptListener,
): Attempt {
    const [host, port] = request.address.split(":");
    let isOver = false;
    let wasConnected = false;
    let wasReset = false;
    let response: http.IncomingMessage | undefined;
    const fail = (reason: string) => {
        if (!isOver) {
            isOver = true;
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
        agent: request.mayReuseConnection ? pool.shared(request.address) : pool.single(request.address),
        setHost: false,
    });
    const connectTimer = setTimeout(() => fail("connect timeout"), CONNECT_TIMEOUT_MS);
    outgoing.on("socket", socket => {
        const connected = () => {
            wasConnected = true;
            clearTimeout(connectTimer);
        };
        // Bytes and a reset that arrive together are reported as a normal end. A reset connection has no peer any more.
        const noteReset = () => {
            wasReset = socket.remoteAddress === undefined;
        };
        socket.prependOnceListener("end", noteReset);
        outgoing.once("close", () => void socket.off("end", noteReset));
        if (socket.connecting) {
            socket.once("connect", connected);
        }
        else {
            connected();
        }
    });
    outgoing.on("error", error => fail(controlCalls.errorCode(error)));
    outgoing.on("response", incoming => {
        if (isOver) {
            return;
        }
        response = incoming;
        incoming.on("data", (chunk: Buffer) => {
            if (!isOver) {
                listener.data(chunk);
            }
        });
        incoming.on("error", error => fail(controlCalls.errorCode(error)));
        incoming.on("end", () => {
            if (!incoming.complete || wasReset && !hasEndMark(incoming)) {
                fail("incomplete answer");
            }
            else if (!isOver) {
                isOver = true;
                listener.end();
            }
        });
        incoming.on("close", () => fail("closed"));
        listener.head(incoming);
    });
    outgoing.end(request.body);
    return {
        abort: () => {
            isOver = true;
            clearTimeout(connectTimer);
            outgoing.destroy();
        },
        pause: () => void response?.pause(),
        resume: () => void response?.resume(),
    };
}

/** Whether the head says where the answer ends; otherwise it ends with its connection. */
function hasEndMark(response: http.IncomingMessage): boolean {
    return response.headers["content-length"] !== undefined || response.headers["transfer-encoding"] !== undefined;
}
