/** Base of the stand-ins of the platform: an HTTP server that can be closed and started again. */
import * as http from "node:http";
import type * as net from "node:net";

const KEEP_ALIVE_TIMEOUT_MS = 60_000;

export interface StandInRequest {
    readonly request: http.IncomingMessage;
    readonly response: http.ServerResponse;
    /** Decoded at each use, so that large bodies that nobody looks at cost no time. */
    readonly body: string;
}

export abstract class HttpStandIn implements AsyncDisposable {
    protected isDisposed = false;
    private server: http.Server | undefined;
    private readonly connections = new Set<net.Socket>();

    /** `address` is IP:PORT. */
    constructor(readonly address: string) {}

    /** Open connections carry nothing any more, in either direction, and are not closed. New ones work. */
    silenceConnections(): void {
        for (const connection of this.connections) {
            connection.pause();
            connection.write = () => true;
        }
    }

    async listen(): Promise<void> {
        const [host, port] = this.address.split(":");
        const server = http.createServer({ keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS }, (request, response) => {
            if (this.answerEarly(request, response)) {
                return;
            }
            const chunks: Buffer[] = [];
            request.on("data", (chunk: Buffer) => chunks.push(chunk));
            request.on("end", () => {
                void this.handle({
                    request,
                    response,
                    get body() {
                        return Buffer.concat(chunks).toString("utf8");
                    },
                });
            });
        });
        server.on("connection", connection => {
            this.connections.add(connection);
            connection.on("close", () => void this.connections.delete(connection));
        });
        this.server = server;
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(Number(port), host, resolve);
        });
    }

    /** Closes all connections; new ones are refused until `listen`. */
    async close(): Promise<void> {
        const { server } = this;
        this.server = undefined;
        server?.closeAllConnections();
        await new Promise<void>(resolve => server === undefined ? resolve() : server.close(() => resolve()));
    }

    [Symbol.asyncDispose](): Promise<void> {
        this.isDisposed = true;
        return this.close();
    }

    protected get isListening(): boolean {
        return this.server !== undefined;
    }

    /** Whether the request is answered before its body has been read; `handle` does not get it then. */
    protected answerEarly(_request: http.IncomingMessage, _response: http.ServerResponse): boolean {
        return false;
    }

    protected abstract handle(exchange: StandInRequest): Promise<void> | void;
}

export function pause(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}
