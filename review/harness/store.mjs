/** Stand-in for the platform's metadata store: objects by kind and name, listings, watches, and the calls of PROTOCOL.md. */
import * as http from "node:http";

/** Time in milliseconds that an answer takes. */
const ANSWER_MS = 4;
/** Time in milliseconds for which changes are kept for watches. */
const HISTORY_MS = 20_000;
const LONGEST_WAIT_MS = 30_000;

export class Store {
    #kinds = new Map();
    #events = [];
    #revision = 10;
    #oldestRevision = 10;
    #waiting = new Set();
    #server;

    async listen(host, port) {
        this.#server = http.createServer({ keepAliveTimeout: 0 }, (request, response) => {
            const chunks = [];
            request.on("data", chunk => chunks.push(chunk));
            request.on("end", () => {
                const body = chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString("utf8"));
                setTimeout(() => void this.#answer(request, response, body), ANSWER_MS);
            });
        });
        await new Promise(resolve => this.#server.listen(port, host, resolve));
    }

    close() {
        this.#server?.closeAllConnections();
        this.#server?.close();
    }

    /** Writes an object as the operator or a worker does. The return is the store's acknowledgement. */
    put(kind, name, spec) {
        const known = this.#objects(kind).get(name);
        if (known !== undefined && JSON.stringify(known.spec) === JSON.stringify(spec)) {
            return known.metadata.revision;
        }
        return this.#write(kind, name, spec, known?.status);
    }

    remove(kind, name) {
        const known = this.#objects(kind).get(name);
        if (known === undefined) {
            return;
        }
        this.#objects(kind).delete(name);
        this.#publish(kind, { ...known, metadata: { ...known.metadata, revision: ++this.#revision } }, true);
    }

    #write(kind, name, spec, status) {
        const revision = ++this.#revision;
        const created = this.#objects(kind).get(name)?.metadata.created ?? Date.now();
        const object = { metadata: { name, revision, created, finalizers: [], deleting: false }, spec, status };
        this.#objects(kind).set(name, object);
        this.#publish(kind, object, false);
        return revision;
    }

    #objects(kind) {
        if (!this.#kinds.has(kind)) {
            this.#kinds.set(kind, new Map());
        }
        return this.#kinds.get(kind);
    }

    #publish(kind, object, deleted) {
        const now = performance.now();
        this.#events.push({ kind, object, deleted, revision: this.#revision, at: now });
        while (this.#events[0].at < now - HISTORY_MS) {
            this.#oldestRevision = this.#events.shift().revision;
        }
        [...this.#waiting].forEach(wake => wake());
    }

    async #answer(request, response, body) {
        const url = new URL(request.url, "http://store");
        const [kind, name, part] = url.pathname.split("/").slice(3).map(decodeURIComponent);
        const send = (status, content) => {
            const text = JSON.stringify(content);
            response.writeHead(status, {
                "Content-Type": "application/json",
                "Content-Length": Buffer.byteLength(text),
                "Store-Era": "1",
            });
            response.end(text);
        };
        if (request.method === "GET" && url.searchParams.has("watch")) {
            await this.#watch(kind, url.searchParams, response, send);
            return;
        }
        if (request.method === "GET" && name === undefined) {
            send(200, { items: [...this.#objects(kind).values()], hasMore: false, storeRevision: this.#revision });
            return;
        }
        const target = name ?? body?.metadata?.name;
        const known = this.#objects(kind).get(target);
        if (request.method === "POST") {
            send(known === undefined ? 201 : 409, known ?? this.#created(kind, target, body.spec));
            return;
        }
        if (known === undefined) {
            send(404, {});
            return;
        }
        const condition = body?.metadata?.revision ?? url.searchParams.get("revision");
        if (condition !== undefined && condition !== null && Number(condition) !== known.metadata.revision) {
            send(409, known);
            return;
        }
        if (request.method === "PUT") {
            const isStatus = part === "status";
            this.#write(kind, target, isStatus ? known.spec : body.spec, isStatus ? body.status : known.status);
        }
        if (request.method === "DELETE") {
            this.remove(kind, target);
        }
        send(200, this.#objects(kind).get(target) ?? known);
    }

    #created(kind, name, spec) {
        this.#write(kind, name, spec, undefined);
        return this.#objects(kind).get(name);
    }

    async #watch(kind, query, response, send) {
        const after = Number(query.get("watch"));
        const endsAt = performance.now() + Math.min(LONGEST_WAIT_MS, Number(query.get("waitMs") ?? 0));
        if (after > this.#revision || after < this.#oldestRevision) {
            send(410, {});
            return;
        }
        const found = () => this.#events.filter(event => event.kind === kind && event.revision > after);
        while (found().length === 0 && performance.now() < endsAt && !response.destroyed) {
            await new Promise(resolve => {
                const wake = () => {
                    clearTimeout(timer);
                    this.#waiting.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, Math.max(1, endsAt - performance.now()));
                this.#waiting.add(wake);
            });
        }
        const events = found().map(({ object, deleted }) => ({ object, deleted }));
        send(200, { events, storeRevision: this.#revision });
    }
}
