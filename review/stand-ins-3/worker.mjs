/** Stand-in for a worker of the platform: a model worker that streams events, or a worker of a plain service. */
import * as http from "node:http";

const SEAL = "3e1b.07.5a2.600.0.c9f2a4d1";
const HEARTBEAT_MS = 1200;
/** Heartbeats after whose absence the store removes a record. */
const MISSED_HEARTBEATS = 3;
const EVENT_INTERVAL_MS = 8;

export class Worker {
    /**
     * `options`: address, service, zone, slots; `model` for a model worker; `workMs` for a plain service; `onRequest` may
     * answer a request in another way and returns true then.
     */
    constructor(deployment, options) {
        this.deployment = deployment;
        this.options = { slots: 24, zone: "noe-1", workMs: 60, prefillMs: 30, ...options };
        this.starts = 0;
        this.version = options.version ?? 1;
        this.arrivals = [];
        this.sockets = new Set();
        deployment.closers.push(() => this.stop());
    }

    get address() {
        return this.options.address;
    }

    async start() {
        this.starts++;
        this.id = `i-${this.options.service}-${this.address.split(".")[3].split(":")[0]}-${this.starts}`;
        this.born = Date.now();
        this.orders = 0;
        this.isLoading = false;
        this.running = 0;
        const server = http.createServer({ keepAliveTimeout: 15_000 }, (request, response) => {
            const chunks = [];
            request.on("data", chunk => chunks.push(chunk));
            request.on("end", () => void this.handle(request, response, Buffer.concat(chunks)));
        });
        server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("close", () => this.sockets.delete(socket));
        });
        this.server = server;
        const [host, port] = this.address.split(":");
        await new Promise((resolve, reject) => server.once("error", reject).listen(Number(port), host, resolve));
        this.sequence = 0;
        this.register();
        this.heartbeat = setInterval(() => this.register(), HEARTBEAT_MS);
    }

    /** Crashes: all channels are reset, new ones are refused. It is back after a time, under another id. */
    async crash(downMs) {
        const { id } = this;
        this.deployment.record(`worker ${id} crashes`);
        const isBack = new Promise(resolve => {
            setTimeout(() => void this.start().then(() => {
                this.deployment.record(`worker ${this.id} is back`);
                resolve();
            }), downMs);
        });
        this.end();
        setTimeout(() => this.deployment.store.remove("servers", id), MISSED_HEARTBEATS * HEARTBEAT_MS);
        await isBack;
    }

    end() {
        clearInterval(this.heartbeat);
        const { server } = this;
        this.server = undefined;
        server?.close();
        [...this.sockets].forEach(socket => socket.resetAndDestroy());
    }

    async stop() {
        this.end();
    }

    register() {
        const { service, zone, slots, model } = this.options;
        this.deployment.store.put("servers", this.id, {
            service,
            address: this.address,
            zone,
            version: "v1",
            slots,
            state: "ready",
            coldRemainingMs: 0,
            born: this.born,
            seq: this.sequence++,
            ...model === undefined ? {} : { stage: "colocated", models: this.models() },
        });
    }

    models() {
        return [{ name: this.options.model, version: this.version, adapters: [] }];
    }

    async handle(request, response, body) {
        const { url, headers } = request;
        if (url === "/-/report") {
            response.end(JSON.stringify({
                stage: "colocated",
                models: this.models(),
                busy: this.isLoading,
                seq: this.orders,
                waiting: 0,
                running: this.running,
                kvUsed: this.running * 1000,
                kvTotal: 115_023,
                handles: 0,
                born: this.born,
            }));
            return;
        }
        if (url === "/-/order") {
            this.order(JSON.parse(body.toString()), response);
            return;
        }
        const id = headers["request-id"];
        const common = { "Request-Id": id };
        const version = headers["expect-version"];
        if (headers["expect-instance"] !== this.id || version !== undefined && Number(version) !== this.version) {
            response.writeHead(421, { ...common, "Instance-Id": this.id, "Not-Executed": "1" }).end();
            return;
        }
        if (this.isLoading) {
            response.writeHead(503, { ...common, "Not-Executed": "1" }).end();
            return;
        }
        const arrival = { id, at: performance.now(), worker: this.id, version: this.version, url };
        this.arrivals.push(arrival);
        this.running++;
        const { id: run } = this;
        try {
            const isHandled = await this.options.onRequest?.({ worker: this, request, response, body, arrival });
            if (isHandled !== true) {
                await this.answer(request, response, common);
            }
        }
        finally {
            if (this.id === run) {
                this.running--;
            }
        }
    }

    async answer(request, response, common) {
        const { model, workMs, prefillMs } = this.options;
        const sealed = { ...common, "Response-Seal": SEAL };
        if (model === undefined) {
            await pause(workMs);
            const body = String(common["Request-Id"]).padEnd(800, ".");
            response.writeHead(200, { ...sealed, "Content-Length": body.length }).end(body);
            return;
        }
        await pause(prefillMs);
        this.beginStream(response, sealed);
        const events = Number(request.headers["token-count"]?.split(",")[1] ?? 1);
        for (let event = 1; event <= events && !response.destroyed; event++) {
            response.write(streamEvent(event));
            await pause(EVENT_INTERVAL_MS);
        }
        response.end();
    }

    beginStream(response, headers) {
        response.writeHead(200, {
            "Response-Seal": SEAL,
            ...headers,
            "Content-Type": "text/event-stream",
            "Weight-Versions": this.version,
        });
    }

    order({ op, model, version, holder, fence, expected }, response) {
        const isWrong = op !== "version" || model !== this.options.model || holder === undefined || fence === undefined;
        const status = isWrong
            ? 400
            : this.isLoading || expected !== undefined && expected !== this.orders
            ? 409
            : version === this.version
            ? 200
            : 202;
        response.writeHead(status).end("{}");
        if (status === 202) {
            this.orders++;
            this.isLoading = true;
            void this.load(version, this.id);
        }
    }

    async load(version, id) {
        while (this.running > 0 && this.id === id) {
            await pause(EVENT_INTERVAL_MS);
        }
        await pause(540);
        if (this.id === id) {
            this.version = version;
            this.isLoading = false;
            this.register();
        }
    }
}

export function streamEvent(number) {
    return `id: ${number}\ndata: token ${number}\n\n`;
}

function pause(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}
