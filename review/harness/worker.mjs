/** Stand-in for a worker of a service without models. */
import * as http from "node:http";

export class Worker {
    runs = [];
    #server;
    #seq = 0;
    #born = Date.now();

    /** `work` decides what a request gets; by default an answer after `workMs`. */
    constructor({ id, service, host, port, store, slots = 6, workMs = 15, cold = false, work }) {
        Object.assign(this, { id, service, host, port, store, slots, workMs, cold, work });
    }

    async listen() {
        this.#server = http.createServer({ keepAliveTimeout: 15_000 }, (request, response) => {
            const chunks = [];
            request.on("data", chunk => chunks.push(chunk));
            request.on("end", () => this.#handle(request, response, Buffer.concat(chunks)));
        });
        await new Promise(resolve => this.#server.listen(this.port, this.host, resolve));
    }

    /** Writes the entry of the worker. `coldRemainingMs` changes with each ping for as long as the worker is cold. */
    register(state = "ready") {
        const coldRemainingMs = this.cold ? Math.max(0, 30_000 - (Date.now() - this.#born)) : 0;
        this.store.put("servers", this.id, {
            service: this.service,
            address: `${this.host}:${this.port}`,
            zone: "buda-a",
            version: "v1",
            slots: this.slots,
            state,
            coldRemainingMs,
            born: this.#born,
            seq: ++this.#seq,
        });
    }

    unregister() {
        this.store.remove("servers", this.id);
    }

    close() {
        this.#server?.closeAllConnections();
        this.#server?.close();
    }

    #handle(request, response, body) {
        const id = request.headers["request-id"];
        if (request.headers["expect-instance"] !== undefined && request.headers["expect-instance"] !== this.id) {
            response.writeHead(421, { "Instance-Id": this.id }).end();
            return;
        }
        if (id === undefined) {
            response.writeHead(400, { "Not-Executed": "1" }).end();
            return;
        }
        const run = { id, at: performance.now(), worker: this.id, tenant: request.headers["tenant"], url: request.url };
        this.runs.push(run);
        if (this.work !== undefined) {
            this.work({ request, response, body, run });
            return;
        }
        setTimeout(() => this.answer(response, run), this.workMs);
    }

    answer(response, run, text = `answer to ${run.id}`) {
        run.answeredAt = performance.now();
        response.writeHead(200, {
            "Request-Id": run.id,
            "Response-Seal": "3e1b.07.5a2.600.0.c9f2a4d1",
            "Content-Length": Buffer.byteLength(text),
        });
        response.end(text);
    }
}
