/** The HTTP server for callers, with graceful shutdown. */
import * as http from "node:http";
import * as net from "node:net";
import * as listening from "../http/listening.js";
import * as calls from "./call.js";
import * as callerConnection from "./caller-connection.js";
import * as callerConnections from "./caller-connections.js";
import type * as types from "./types.js";

/** Maximum size of the headers that the parser accepts; the configured limit is checked per call. */
const MAXIMUM_PARSED_HEADER_BYTES = 64 * 1024;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/** Length of the accept queue. When other entries restart, many connections arrive at once. */
const ACCEPT_BACKLOG = 4096;
/** Status lines for requests that cannot be parsed, by the code of the error. */
const STATUS_LINES: Readonly<Record<string, string>> = {
    HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
    ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};
const DEFAULT_STATUS_LINE = "400 Bad Request";

export class EntryServer implements AsyncDisposable {
    private readonly server: http.Server;
    private readonly connections: callerConnections.CallerConnections;
    private readonly callPorts: calls.CallContext;
    private readonly inFlight = new Set<calls.Call>();

    constructor(private readonly ports: types.CallPorts) {
        this.connections = new callerConnections.CallerConnections({
            ...ports,
            limits: () => ports.view.routingTable?.configuration.limits,
        });
        this.callPorts = { ...ports, keepsConnection: response => this.keepsConnection(response) };
        this.server = http.createServer({
            maxHeaderSize: MAXIMUM_PARSED_HEADER_BYTES,
            requestTimeout: 0,
            keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
        });
        this.server.on("request", (request, response) => void this.handle(request, response, () => undefined));
        this.server.on("checkContinue", (request, response) => {
            // The caller may or may not send the body after another answer, so that nothing can follow on the connection.
            const { shouldKeepAlive } = response;
            response.shouldKeepAlive = false;
            void this.handle(request, response, () => {
                response.shouldKeepAlive = shouldKeepAlive;
                response.writeContinue();
            });
        });
        this.server.on("connection", (socket: net.Socket) => this.connections.add(socket));
        this.server.on("clientError", (error: NodeJS.ErrnoException, socket: net.Socket) => {
            const statusLine = STATUS_LINES[error.code ?? ""] ?? DEFAULT_STATUS_LINE;
            const response = `HTTP/1.1 ${statusLine}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
            callerConnection.endConnection(socket, response);
        });
    }

    /** Number of calls that have not ended. */
    get callsInFlight(): number {
        return this.inFlight.size;
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
        return this.connections.awaitsFirstRequest(now);
    }

    /** Renders the connections of callers in the Prometheus text format. */
    renderMetrics(): string {
        return this.connections.renderMetrics();
    }

    /** Stops accepting connections and closes idle ones. The others are closed after their response. */
    close(now: number): void {
        // The method of the HTTP server also destroys connections whose response is complete but not yet sent.
        net.Server.prototype.close.call(this.server);
        this.connections.closeIdle(now);
    }

    /** Bytes of responses wait for a caller that reads slowly. */
    get isSending(): boolean {
        return this.waitingAnswers > 0;
    }

    /** Number of connections on which answers wait for a caller that reads slowly. */
    get waitingAnswers(): number {
        return this.connections.waitingAnswers;
    }

    /** Answers calls that no server runs now: they are not run, or not again. */
    endWaitingCalls(): void {
        this.inFlight.forEach(call => void call.endWaiting());
    }

    /** Answers all calls; the outcome of those that a server runs now is unknown. */
    endCalls(): void {
        this.inFlight.forEach(call => void call.end());
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.connections[Symbol.dispose]();
        this.server.close();
        this.server.closeAllConnections();
        return Promise.resolve();
    }

    /** `onAccept` is called when the body of the request is wanted. */
    private async handle(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        onAccept: () => void,
    ): Promise<void> {
        const connection = this.connections.of(request.socket);
        if (connection === undefined || connection.isClosing) {
            // The request crossed the end of the connection. It could not be answered, so it must not run.
            if (connection === undefined || connection.calls === 0 && !connection.isAnswered) {
                request.socket.destroy();
            }
            request.resume();
            return;
        }
        const call = new calls.Call(this.callPorts, response, onAccept);
        this.inFlight.add(call);
        this.connections.beginCall(connection, response);
        try {
            await call.run();
        }
        catch (error) {
            if (!response.writableEnded) {
                response.destroy();
            }
            this.ports.journal.emit("call-faulted", { reason: (error as Error).stack ?? String(error) });
        }
        finally {
            this.inFlight.delete(call);
            this.connections.endCall(connection, response);
        }
    }

    /** During the shutdown the response to the latest request is the last one: a response before it does not end its call. */
    private keepsConnection(response: http.ServerResponse): boolean {
        const connection = this.connections.of(response.req.socket);
        if (connection === undefined || connection.latest !== response) {
            return true;
        }
        connection.isClosing ||= this.ports.isDraining() || !response.shouldKeepAlive;
        return !connection.isClosing;
    }
}
