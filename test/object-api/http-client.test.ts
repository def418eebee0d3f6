/** Guards against answers of HTTP servers that take more memory or work than their bytes, and against lost or shared connections. */
import * as assert from "node:assert/strict";
import * as http from "node:http";
import * as net from "node:net";
import * as testing from "node:test";
import * as clocks from "../../src/clock/clock.js";
import * as httpClients from "../../src/object-api/http-client.js";

const MAXIMUM_BYTES = 4 * 1024 * 1024;
const CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

async function get(answer: string): Promise<httpClients.HttpResult> {
    const server = net.createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => void socket.write(answer));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address() as net.AddressInfo;
    await using client = new httpClients.HttpClient(`http://127.0.0.1:${address.port}`, clocks.systemClock);
    const result = await client.send({ method: "GET", target: "/", timeoutMs: 10_000, maximumBytes: MAXIMUM_BYTES });
    server.close();
    return result;
}

testing.test("a body in small chunks is whole", async () => {
    const result = await get(`${CHUNKED}${"1\r\nx\r\n3\r\nyyy\r\n".repeat(5000)}0\r\n\r\n`);
    assert.equal(result.kind === "answered" && result.response.body.toString(), "xyyy".repeat(5000));
});

testing.test("guards against a body without end in chunks of one byte, far below its limit in bytes", async () => {
    const result = await get(CHUNKED + "1\r\nx\r\n".repeat(200_000));
    assert.equal(result.kind, "oversized");
});

testing.test("dedicated connections carry one call each, and calls above their limit wait", async () => {
    let connections = 0;
    let open = 0;
    let mostOpen = 0;
    const server = http.createServer((_request, response) => {
        setTimeout(() => void response.end("answer"), 20);
    });
    server.on("connection", (socket: net.Socket) => {
        connections++;
        open++;
        mostOpen = Math.max(mostOpen, open);
        socket.on("close", () => void open--);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as net.AddressInfo;
    await using client = new httpClients.HttpClient(`http://127.0.0.1:${port}`, clocks.systemClock);
    const results = await Promise.all(Array.from({ length: 200 }, () =>
        client.send({
            method: "POST",
            target: "/",
            body: "call",
            timeoutMs: 20_000,
            maximumBytes: MAXIMUM_BYTES,
            dedicatedConnection: true,
        })));
    assert.ok(results.every(result => result.kind === "answered" && result.response.body.toString() === "answer"));
    assert.equal(connections, 200);
    assert.ok(mostOpen <= 64, `${mostOpen} connections at once`);
    server.close();
});

testing.test("a request that is answered before it has been written is answered, and its connection closes", async () => {
    let hasClosed: Promise<unknown> | undefined;
    const server = net.createServer(socket => {
        hasClosed = new Promise(resolve => socket.on("close", resolve));
        socket.on("error", () => undefined);
        socket.once("data", () => {
            socket.pause();
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
            setTimeout(() => socket.resume(), 100);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as net.AddressInfo;
    await using client = new httpClients.HttpClient(`http://127.0.0.1:${port}`, clocks.systemClock);
    const body = Buffer.alloc(8 * 1024 * 1024, "x");
    const call = { method: "POST", target: "/", body, timeoutMs: 10_000, maximumBytes: MAXIMUM_BYTES } as const;
    const result = await client.send(call);
    assert.equal(result.kind === "answered" && result.response.body.toString(), "whole");
    await hasClosed;
    server.close();
});

testing.test("disposal ends the calls that are in progress or wait for a connection", async () => {
    const server = net.createServer(socket => void socket.on("error", () => undefined));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as net.AddressInfo;
    const client = new httpClients.HttpClient(`http://127.0.0.1:${port}`, clocks.systemClock);
    const call = { method: "GET", target: "/", timeoutMs: 60_000, maximumBytes: MAXIMUM_BYTES } as const;
    const calls = Array.from({ length: 80 }, () => client.send(call));
    await new Promise(resolve => setTimeout(resolve, 100));
    await client[Symbol.asyncDispose]();
    const kinds = (await Promise.all(calls)).map(result => result.kind);
    assert.equal(kinds.filter(kind => kind === "lost").length, 64);
    assert.equal(kinds.filter(kind => kind === "not-sent").length, 16);
    server.close();
});
