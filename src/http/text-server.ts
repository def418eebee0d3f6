/** HTTP server for plain-text endpoints at fixed paths, such as readiness and metrics. */
import * as http from "node:http";
import * as listening from "./listening.js";

export interface TextResponse {
    readonly status: number;
    readonly body: string;
}

export class TextServer implements AsyncDisposable {
    private readonly server: http.Server;

    constructor(private readonly handlers: Readonly<Record<string, () => TextResponse>>) {
        this.server = http.createServer((request, response) => {
            const path = request.url?.split("?")[0] ?? "/";
            const content = this.handlers[path]?.() ?? { status: 404, body: "" };
            response.writeHead(content.status, {
                "Content-Type": "text/plain; charset=utf-8",
                "Content-Length": Buffer.byteLength(content.body),
            });
            response.end(content.body);
        });
    }

    /** Resolves when the server listens on `address`, IP:PORT. */
    listen(address: string, ports: listening.ListeningPorts): Promise<void> {
        return listening.listen(this.server, address, ports);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.server.closeAllConnections();
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }
}
