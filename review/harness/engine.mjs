/** Stand-in for a model worker: streams for several models, reports, and orders for new weights. */
import * as http from "node:http";

/** Time in milliseconds of an engine step, and of loading weights (falikep-prod: 4.63 and 380). */
const STEP_MS = 4.63;
const LOAD_MS = 380;
/** Memory in tokens; a larger request is rejected as if the worker were full. */
const KV_CAPACITY = 84_089;

export class Engine {
    runs = [];
    orders = [];
    #server;
    #seq = 0;
    #pings = 0;
    #isBusy = false;
    #born = Date.now();
    #running = new Map();

    constructor({ id, service, host, port, store, slots = 48, models }) {
        Object.assign(this, { id, service, host, port, store, slots });
        this.versions = new Map(models.map(name => [name, 1]));
    }

    get address() {
        return `${this.host}:${this.port}`;
    }

    async listen() {
        this.#server = http.createServer({ keepAliveTimeout: 15_000 }, (request, response) => {
            const chunks = [];
            request.on("data", chunk => chunks.push(chunk));
            request.on("end", () => this.#handle(request, response, Buffer.concat(chunks)));
        });
        await new Promise(resolve => this.#server.listen(this.port, this.host, resolve));
    }

    register() {
        this.store.put("servers", this.id, {
            service: this.service,
            address: this.address,
            zone: "buda-a",
            version: "v1",
            slots: this.slots,
            state: "ready",
            coldRemainingMs: 0,
            stage: "colocated",
            models: this.#models(),
            born: this.#born,
            seq: ++this.#pings,
        });
    }

    close() {
        this.#server?.closeAllConnections();
        this.#server?.close();
    }

    #models() {
        return [...this.versions].map(([name, version]) => ({ name, version, adapters: [] }));
    }

    #runningOf(model) {
        return this.#running.get(model) ?? 0;
    }

    #handle(request, response, body) {
        if (request.url === "/-/report") {
            const running = [...this.#running.values()].reduce((sum, count) => sum + count, 0);
            this.#json(response, 200, {
                stage: "colocated",
                models: this.#models(),
                busy: this.#isBusy,
                seq: this.#seq,
                waiting: 0,
                running,
                kvUsed: running * 1000,
                kvTotal: KV_CAPACITY,
                handles: 0,
                state: "ready",
                born: this.#born,
            });
            return;
        }
        if (request.url === "/-/order") {
            this.#order(JSON.parse(body.toString("utf8")), response);
            return;
        }
        const { headers } = request;
        const model = headers["model"];
        const version = this.versions.get(model);
        const isOther = headers["expect-instance"] !== undefined && headers["expect-instance"] !== this.id
            || headers["expect-version"] !== undefined && Number(headers["expect-version"]) !== version;
        if (isOther) {
            response.writeHead(421, { "Instance-Id": this.id }).end();
            return;
        }
        const id = headers["request-id"];
        const isTooLarge = Number(headers["token-count"].split(",")[0]) > KV_CAPACITY;
        const isFull = isTooLarge || [...this.#running.values()].reduce((sum, count) => sum + count, 0) >= this.slots;
        if (id === undefined || version === undefined || isFull || this.#isBusy && this.loading === model) {
            response.writeHead(503, { "Not-Executed": "1", ...id === undefined ? {} : { "Request-Id": id } }).end();
            return;
        }
        void this.#run(request, response, { id, model, version, worker: this.id, at: performance.now() });
    }

    async #run(request, response, run) {
        this.runs.push(run);
        this.#running.set(run.model, this.#runningOf(run.model) + 1);
        const tokens = Number(request.headers["token-count"].split(",")[1]);
        response.writeHead(200, {
            "Request-Id": run.id,
            "Response-Seal": "3e1b.07.5a2.600.0.c9f2a4d1",
            "Content-Type": "text/event-stream",
            "Weight-Versions": String(run.version),
        });
        for (let event = 1; event <= tokens && !response.destroyed; event++) {
            await new Promise(resolve => setTimeout(resolve, STEP_MS));
            response.write(`id: ${event}\ndata: ${run.id}/${event}\n\n`);
        }
        response.end();
        this.#running.set(run.model, this.#runningOf(run.model) - 1);
    }

    #order({ op, model, version, holder, fence, expected }, response) {
        const order = { op, model, version, holder, fence, expected, at: performance.now(), worker: this.id };
        this.orders.push(order);
        const isKnown = op === "version" && this.versions.has(model) && holder !== undefined && fence !== undefined;
        if (!isKnown) {
            this.#json(response, 400, {});
            return;
        }
        if (this.#isBusy || expected !== undefined && expected !== this.#seq) {
            this.#json(response, 409, {});
            return;
        }
        if (this.versions.get(model) === version) {
            this.#json(response, 200, {});
            return;
        }
        this.#seq++;
        this.#isBusy = true;
        this.loading = model;
        this.#json(response, 202, {});
        void this.#load(model, version);
    }

    /** Mode `wait`: the runs of the model finish first. */
    async #load(model, version) {
        while (this.#runningOf(model) > 0) {
            await new Promise(resolve => setTimeout(resolve, STEP_MS));
        }
        await new Promise(resolve => setTimeout(resolve, LOAD_MS));
        this.versions.set(model, version);
        this.#isBusy = false;
        this.loading = undefined;
        this.register();
    }

    #json(response, status, content) {
        const text = JSON.stringify(content);
        response.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) });
        response.end(text);
    }
}
