/** The HTTP server that callers reach, with a graceful end. */
import * as http from "node:http";
import type * as net from "node:net";
import * as calls from "./call.js";
import type * as types from "./types.js";

/** Largest head that is parsed; the limit of the configuration is checked on the call. */
const PARSER_HEADER_BYTES = 64 * 1024;
const DEFAULT_IDLE_MS = 15_000;
/** Connections that wait to be accepted; a restart of other entries brings many at once. */
const BACKLOG = 1024;
const BAD_REQUEST = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

export class EntryServer implements AsyncDisposable {
    private readonly server: http.Server;
    private readonly connections = new Set<net.Socket>();
    private readonly busy = new Map<net.Socket, number>();
    private calls = 0;

    constructor(private readonly ports: types.CallPorts) {
        this.server = http.createServer({
            maxHeaderSize: PARSER_HEADER_BYTES,
            requestTimeout: 0,
            keepAliveTimeout: DEFAULT_IDLE_MS,
        });
        this.server.on("request", (request, response) => void this.handle(request, response));
        this.server.on("connection", (socket: net.Socket) => {
            this.connections.add(socket);
            socket.on("close", () => void this.connections.delete(socket));
        });
        this.server.on("clientError", (_error: Error, socket: net.Socket) => {
            if (socket.writable) {
                socket.end(BAD_REQUEST);
            }
        });
    }

    /** Calls without a final answer. */
    get callsInFlight(): number {
        return this.calls;
    }

    listen(address: string): Promise<void> {
        const [host, port] = address.split(":");
        return new Promise(resolve => this.server.listen({ port: Number(port), host, backlog: BACKLOG }, resolve));
    }

    /** Time in milliseconds for which an idle connection is kept. */
    setIdleTimeout(idleMs: number): void {
        this.server.keepAliveTimeout = idleMs;
    }

    /** Takes no new connections. Those that are idle are closed; the others after their answer. */
    close(): void {
        this.server.close();
        for (const socket of this.connections) {
            if (!this.busy.has(socket)) {
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
        const { socket } = request;
        this.calls++;
        this.busy.set(socket, (this.busy.get(socket) ?? 0) + 1);
        try {
            await new calls.Call(this.ports, request, response).run();
        }
        catch (error) {
            this.ports.journal.emit("call-faulted", { reason: (error as Error).stack ?? String(error) });
            response.destroy();
        }
        this.calls--;
        const left = (this.busy.get(socket) ?? 1) - 1;
        if (left > 0) {
            this.busy.set(socket, left);
            return;
        }
        this.busy.delete(socket);
    }
}
