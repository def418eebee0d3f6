/**
 * HTTP server for other processes of the deployment and the platform, such as readiness and metrics. Its connections are
 * bounded in number, time and in what they hold, whatever the other side does.
 */
import * as http from "node:http";
import type * as net from "node:net";
import * as listening from "./listening.js";

/** Connections that are open at once; with a further one the oldest is closed. */
const MAXIMUM_CONNECTIONS = 192;
/** Size in bytes of the head of a request. */
const MAXIMUM_HEAD_BYTES = 8192;
/** Time in milliseconds within which a request arrives completely, and within which its answer is read completely. */
const REQUEST_LIMIT_MS = 4000;
const ANSWER_LIMIT_MS = 4000;
/** Interval in milliseconds at which the time of requests is checked. */
const CHECK_INTERVAL_MS = 1000;
/** Answers of one connection that wait to be read; a connection that asks for more is closed. */
const MAXIMUM_WAITING_ANSWERS = 4;

export type Handler = (request: http.IncomingMessage, response: http.ServerResponse) => void;

export class BoundedServer implements AsyncDisposable {
    private readonly server: http.Server;
    /** Number of answers that wait to be read, by connection, the oldest connection first. */
    private readonly connections = new Map<net.Socket, number>();

    constructor(private readonly handle: Handler) {
        const options = {
            maxHeaderSize: MAXIMUM_HEAD_BYTES,
            headersTimeout: REQUEST_LIMIT_MS,
            requestTimeout: REQUEST_LIMIT_MS,
            connectionsCheckingInterval: CHECK_INTERVAL_MS,
        };
        this.server = http.createServer(options, (request, response) => this.serve(request, response));
        this.server.on("connection", (connection: net.Socket) => this.accept(connection));
    }

    /** Resolves when the server listens on `address`, IP:PORT. */
    listen(address: string, ports: listening.ListeningPorts): Promise<void> {
        return listening.listen(this.server, address, ports);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.server.closeAllConnections();
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }

    private accept(connection: net.Socket): void {
        if (this.connections.size >= MAXIMUM_CONNECTIONS) {
            const [oldest] = this.connections.keys();
            this.connections.delete(oldest!);
            oldest!.destroy();
        }
        this.connections.set(connection, 0);
        connection.on("close", () => void this.connections.delete(connection));
    }

    private serve(request: http.IncomingMessage, response: http.ServerResponse): void {
        const { socket: connection } = request;
        const waiting = this.connections.get(connection);
        if (waiting === undefined || waiting >= MAXIMUM_WAITING_ANSWERS) {
            connection.destroy();
            return;
        }
        this.connections.set(connection, waiting + 1);
        const timer = setTimeout(() => connection.destroy(), ANSWER_LIMIT_MS);
        response.on("close", () => {
            clearTimeout(timer);
            const count = this.connections.get(connection);
            if (count !== undefined) {
                this.connections.set(connection, count - 1);
            }
        });
        this.handle(request, response);
    }
}
