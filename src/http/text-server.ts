/** A small server of fixed GET paths, for readiness and metrics. */
import * as http from "node:http";

export interface TextAnswer {
    readonly status: number;
    readonly body: string;
}

export class TextServer implements AsyncDisposable {
    private readonly server: http.Server;

    constructor(private readonly paths: Readonly<Record<string, () => TextAnswer>>) {
        this.server = http.createServer((request, response) => {
            const path = request.url?.split("?")[0] ?? "/";
            const answer = this.paths[path]?.() ?? { status: 404, body: "" };
            response.writeHead(answer.status, {
                "Content-Type": "text/plain; charset=utf-8",
                "Content-Length": Buffer.byteLength(answer.body),
            });
            response.end(answer.body);
        });
    }

    listen(address: string): Promise<void> {
        const [host, port] = address.split(":");
        return new Promise(resolve => this.server.listen(Number(port), host, resolve));
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.server.closeAllConnections();
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }
}
