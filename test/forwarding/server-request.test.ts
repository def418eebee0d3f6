/** Guards against answers of backend servers that are taken as whole though the server broke off. */
import * as assert from "node:assert/strict";
import type * as http from "node:http";
import * as net from "node:net";
import * as testing from "node:test";
import * as connections from "../../src/forwarding/connection-pool.js";
import * as attempts from "../../src/forwarding/server-request.js";

type Script = (socket: net.Socket) => void;

interface Result {
    readonly kind: "end" | "failed";
    readonly wasSent: boolean | undefined;
    readonly body: string;
}

/** Sends one call to a server that follows the script once it has received the head of a call. */
async function exchange(script: Script, mayReuseConnection: boolean): Promise<Result> {
    const server = net.createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => script(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as net.AddressInfo;
    using pool = new connections.ConnectionPool();
    const result = await run(`127.0.0.1:${port}`, pool, mayReuseConnection);
    await new Promise<void>(resolve => server.close(() => resolve()));
    return result;
}

function run(address: string, pool: connections.ConnectionPool, mayReuseConnection: boolean): Promise<Result> {
    return new Promise(resolve => {
        let body = "";
        const request = {
            address,
            method: "POST",
            path: "/",
            headers: ["Host", "example", "Content-Length", "0"],
            body: Buffer.alloc(0),
            mayReuseConnection,
        };
        attempts.start(request, pool, {
            head: (_response: http.IncomingMessage) => undefined,
            data: chunk => {
                body += chunk.toString();
            },
            end: () => resolve({ kind: "end", wasSent: undefined, body }),
            failed: failure => resolve({ kind: "failed", wasSent: failure.wasSent, body }),
        });
    });
}

const HEAD_WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

for (const mayReuseConnection of [false, true]) {
    const kind = mayReuseConnection ? "shared" : "single";

    testing.test(`${kind} connection: guards against a reset that ends an answer without length`, async () => {
        const result = await exchange(socket => {
            socket.write(`${HEAD_WITHOUT_LENGTH}half an answer`);
            setTimeout(() => socket.resetAndDestroy(), 30);
        }, mayReuseConnection);
        assert.equal(result.kind, "failed");
        assert.equal(result.wasSent, true);
    });

    testing.test(`${kind} connection: guards against a reset that arrives together with the bytes`, async () => {
        const result = await exchange(socket => {
            socket.write(`${HEAD_WITHOUT_LENGTH}half an answer`, () => socket.resetAndDestroy());
        }, mayReuseConnection);
        assert.equal(result.kind, "failed");
    });

    testing.test(`${kind} connection: an answer without length that ends with its connection is whole`, async () => {
        const result = await exchange(socket => socket.end(`${HEAD_WITHOUT_LENGTH}whole`), mayReuseConnection);
        assert.deepEqual(result, { kind: "end", wasSent: undefined, body: "whole" });
    });

    testing.test(`${kind} connection: guards against an answer that is shorter than its length`, async () => {
        const head = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n";
        const result = await exchange(socket => socket.end(`${head}short`), mayReuseConnection);
        assert.equal(result.kind, "failed");
    });
}

testing.test("guards against a refused connection that is taken as a call that may have run", async () => {
    using pool = new connections.ConnectionPool();
    const closed = net.createServer();
    await new Promise<void>(resolve => closed.listen(0, "127.0.0.1", resolve));
    const { port } = closed.address() as net.AddressInfo;
    await new Promise<void>(resolve => closed.close(() => resolve()));
    const result = await run(`127.0.0.1:${port}`, pool, true);
    assert.deepEqual(result, { kind: "failed", wasSent: false, body: "" });
});
