// Stand-in for workers of one service, as a process of its own. Argument: JSON, see `options`. It writes a line of JSON for
// each thing that happens: listening, run, end.
import http from "node:http";

const options = JSON.parse(process.argv[2]);
const { workers } = options;
const say = value => process.stdout.write(`${JSON.stringify(value)}\n`);
const pause = ms => new Promise(resolve => setTimeout(resolve, ms));
const now = () => performance.timeOrigin + performance.now();
let isTroubled = false;

/** Hash of the id to [0, 1), so that the same share of the requests is affected in each run. */
function unit(id, salt) {
    let hash = 2166136261 ^ salt;
    for (const char of id) {
        hash = Math.imul(hash ^ char.charCodeAt(0), 16777619);
    }
    hash = Math.imul(hash ^ hash >>> 15, 2246822507);
    return ((hash ^ hash >>> 13) >>> 0) / 2 ** 32;
}

/** "trouble" begins the disturbance, "calm" ends it. */
process.stdin.on("data", text => {
    const lines = text.toString();
    isTroubled = lines.includes("trouble") || isTroubled && !lines.includes("calm");
});
process.stdin.on("error", () => undefined);

const servers = workers.map(({ id, address, software = "v1" }) => {
    const [host, port] = address.split(":");
    let running = 0;
    let seq = 0;
    const version = options.version ?? 1;
    const server = http.createServer({ keepAliveTimeout: 15_000 }, async (request, response) => {
        response.on("error", () => undefined);
        request.on("error", () => undefined);
        const { headers, url, method } = request;
        if (url === "/-/report") {
            response.end(JSON.stringify({
                stage: "colocated",
                models: options.model === undefined ? [] : [{ name: options.model, version, adapters: [] }],
                busy: false, seq, waiting: 0, running, kvUsed: 0, kvTotal: 115023, handles: 0, born: options.born,
            }));
            return;
        }
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        }
        catch {
            return;
        }
        const requestId = headers["request-id"] ?? "";
        if (headers["expect-instance"] !== undefined && headers["expect-instance"] !== id) {
            response.writeHead(421, { "Instance-Id": id, "Not-Executed": "1", "Request-Id": requestId }).end();
            return;
        }
        const started = { event: "run", requestId, id, software, service: options.service, tenant: headers["tenant"],
            key: headers["authorization"], method, path: url, tokens: headers["token-count"], at: now() };
        say(started);
        running++;
        response.once("close", () => {
            running--;
        });
        const common = { "Request-Id": requestId, "Response-Seal": `${id}.${requestId}`, "Instance-Id": id };
        if (options.kind === "plain") {
            await pause(options.workMs ?? 60);
            const body = requestId.padEnd(800, ".");
            response.writeHead(200, { ...common, "Content-Length": body.length }).end(body);
            say({ event: "end", requestId, at: now() });
            return;
        }
        const share = isTroubled ? options.troubleShare ?? 0 : 0;
        response.writeHead(200, { ...common, "Content-Type": "text/event-stream", "Weight-Versions": version });
        if (unit(requestId, 1) < share) {
            say({ event: "endless", requestId, at: now() });
            await endless(response);
            return;
        }
        const pieces = options.pieces ?? 10;
        const first = Number(headers["last-event-id"] ?? 0) + 1;
        for (let piece = first; piece <= pieces && !response.destroyed; piece++) {
            await pause(options.pieceMs ?? 25);
            response.write(`id: ${piece}\ndata: ${requestId}/${piece}\n\n`);
        }
        response.end();
        say({ event: "end", requestId, at: now() });
    });
    server.listen(Number(port), host);
    return server;
});

/** Bytes that are no answer, without end, until the caller closes: one line in each chunk, and no event ever ends. */
async function endless(response) {
    const line = options.endlessLine;
    const chunk = `${line.length.toString(16)}\r\n${line}\r\n`;
    const bytes = Buffer.from(chunk.repeat(Math.ceil(16_384 / chunk.length)));
    response.flushHeaders();
    const { socket } = response;
    while (!socket.destroyed) {
        if (!socket.write(bytes)) {
            await new Promise(resolve => {
                const proceed = () => {
                    socket.off("drain", proceed);
                    socket.off("close", proceed);
                    resolve();
                };
                socket.once("drain", proceed);
                socket.once("close", proceed);
            });
        }
    }
}

say({ event: "listening", count: servers.length });
