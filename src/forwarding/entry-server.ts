/** The HTTP server for callers, with graceful shutdown. */
import * as http from "node:http";
import type * as net from "node:net";
import * as listening from "../http/listening.js";
import * as calls from "./call.js";
import type * as types from "./types.js";

/** Maximum size of the headers that the parser accepts; the configured limit is checked per call. */
const MAXIMUM_PARSED_HEADER_BYTES = 64 * 1024;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/** Length of the accept queue. When other entries restart, many connections arrive at once. */
const ACCEPT_BACKLOG = 1024;
const BAD_REQUEST_RESPONSE = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/** Time in milliseconds from the opening of a connection within which its first request arrives. */
const FIRST_REQUEST_MS = 300;

interface Connection {
    readonly openedAt: number;
    /** Calls that have not ended. */
    calls: number;
    /** A call on it has ended. */
    hasServed: boolean;
    /** This side has ended it; requests that arrive later cannot be answered. */
    isClosing: boolean;
}

export class EntryServer implements AsyncDisposable {
    private readonly server: http.Server;
    private readonly connections = new Map<net.Socket, Connection>();
    private inFlight = 0;

    constructor(private readonly ports: types.CallPorts) {
        this.server = http.createServer({
            maxHeaderSize: MAXIMUM_PARSED_HEADER_BYTES,
            requestTimeout: 0,
            keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
        });
        this.server.on("request", (request, response) => void this.handle(request, response));
        this.server.on("connection", (socket: net.Socket) => {
            this.connections.set(socket, { openedAt: ports.clock.now(), calls: 0, hasServed: false, isClosing: false });
            socket.on("close", () => void this.connections.delete(socket));
        });
        this.server.on("clientError", (_error: Error, socket: net.Socket) => {
            if (socket.writable) {
                socket.end(BAD_REQUEST_RESPONSE);
            }
        });
    }

    /** Number of calls that have not ended. */
    get callsInFlight(): number {
        return this.inFlight;
    }

    listen(address: string): Promise<void> {
        return listening.listen(this.server, address, this.ports, { backlog: ACCEPT_BACKLOG });
    }

    /** Sets the keep-alive timeout of idle connections. */
    setIdleTimeout(idleMs: number): void {
        this.server.keepAliveTimeout = idleMs;
    }

    /** A connection was opened a moment ago, and its first request is probably on the way. */
    awaitsFirstRequest(now: number): boolean {
        return [...this.connections.values()].some(connection => isFresh(connection, now));
    }

    /** Stops accepting connections and closes idle ones. The others are closed after their response. */
    close(now: number): void {
        this.server.close();
        for (const [socket, connection] of this.connections) {
            if (connection.calls === 0 && !isFresh(connection, now)) {
                connection.isClosing = true;
                socket.end();
            }
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.server.close();
        this.server.closeAllConnections();
        return Promise.resolve();
    }

    private async handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const connection = this.connections.get(request.socket);
        if (connection === undefined || connection.isClosing) {
            // The request crossed the end of the connection. It could not be answered, so it must not run.
            request.socket.destroy();
            return;
        }
        this.inFlight++;
        connection.calls++;
        try {
            await new calls.Call(this.ports, request, response).run();
        }
        catch (error) {
            if (!response.writableEnded) {
                response.destroy();
            }
            this.ports.journal.emit("call-faulted", { reason: (error as Error).stack ?? String(error) });
        }
        finally {
            this.inFlight--;
            connection.calls--;
            connection.hasServed = true;
        }
    }
}

function isFresh(connection: Connection, now: number): boolean {
    return !connection.hasServed && connection.calls === 0 && !connection.isClosing
        && now - connection.openedAt < FIRST_REQUEST_MS;
}
