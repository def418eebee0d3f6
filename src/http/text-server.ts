/** HTTP server for plain-text endpoints at fixed paths, such as readiness and metrics. */
import * as boundedServers from "./bounded-server.js";
import type * as listening from "./listening.js";

export interface TextResponse {
    readonly status: number;
    readonly body: string;
}

export type TextHandler = (query: URLSearchParams) => TextResponse;

export class TextServer implements AsyncDisposable {
    private readonly server: boundedServers.BoundedServer;

    constructor(private readonly handlers: Readonly<Record<string, TextHandler>>) {
        this.server = new boundedServers.BoundedServer((request, response) => {
            const [path = "/", ...query] = (request.url ?? "/").split("?");
            const content = this.handlers[path]?.(new URLSearchParams(query.join("?"))) ?? { status: 404, body: "" };
            response.writeHead(content.status, {
                "Content-Type": "text/plain; charset=utf-8",
                "Content-Length": Buffer.byteLength(content.body),
            });
            response.end(content.body);
        });
    }

    /** Resolves when the server listens on `address`, IP:PORT. */
    listen(address: string, ports: listening.ListeningPorts): Promise<void> {
        return this.server.listen(address, ports);
    }

    [Symbol.asyncDispose](): Promise<void> {
        return this.server[Symbol.asyncDispose]();
    }
}
