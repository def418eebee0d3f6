// Stand-in for the platform's metadata store: objects by kind, listings, watches, conditional writes. See PROTOCOL.md.
import http from "node:http";

const HISTORY_MS = 20_000;

export class Store {
    constructor(address) {
        [this.host, this.port] = address.split(":");
        this.revision = 10;
        this.kinds = new Map();
        this.changes = [];
        this.waiting = new Set();
        this.calls = 0;
        this.server = http.createServer({ keepAliveTimeout: 60_000 }, (request, response) => this.serve(request, response));
        this.sockets = new Set();
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
            socket.on("error", () => undefined);
        });
    }

    listen() {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(Number(this.port), this.host, resolve);
        });
    }

    /** Stops serving: open connections are closed, new ones are refused. */
    close() {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    objects(kind) {
        if (!this.kinds.has(kind)) {
            this.kinds.set(kind, new Map());
        }
        return this.kinds.get(kind);
    }

    /** Writes as the operator or a worker does. The return is the acknowledgement. */
    put(kind, name, spec) {
        const known = this.objects(kind).get(name);
        if (known !== undefined && JSON.stringify(known.spec) === JSON.stringify(spec)) {
            return known;
        }
        return this.replace(kind, name, spec, known?.status ?? null, known);
    }

    replace(kind, name, spec, status, known) {
        const revision = ++this.revision;
        const created = known?.metadata.created ?? revision;
        const object = { metadata: { name, revision, created, finalizers: [], deleting: false }, spec, status };
        this.objects(kind).set(name, object);
        this.publish(kind, object, false);
        return object;
    }

    remove(kind, name) {
        const known = this.objects(kind).get(name);
        if (known !== undefined) {
            this.objects(kind).delete(name);
            this.revision++;
            this.publish(kind, known, true);
        }
    }

    publish(kind, object, deleted) {
        const now = performance.now();
        this.changes.push({ at: now, revision: this.revision, kind, event: { object, deleted } });
        this.changes = this.changes.filter(change => now - change.at < HISTORY_MS);
        [...this.waiting].filter(wait => wait.kind === kind).forEach(wait => wait.finish());
    }

    async serve(request, response) {
        this.calls++;
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString());
        const url = new URL(request.url, "http://store");
        const [kind, name, part] = url.pathname.split("/").slice(3).map(decodeURIComponent);
        const answer = (status, value) => {
            const text = JSON.stringify(value ?? {});
            response.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text), "Store-Era": "1" });
            response.end(text);
        };
        if (request.method === "GET" && url.searchParams.has("watch")) {
            this.watch(kind, url.searchParams, response, answer);
        }
        else if (request.method === "GET" && name === undefined) {
            const after = url.searchParams.get("after") ?? "";
            const rest = [...this.objects(kind).values()].filter(object => object.metadata.name > after)
                .sort((left, right) => left.metadata.name < right.metadata.name ? -1 : 1);
            answer(200, { items: rest.slice(0, 500), hasMore: rest.length > 500, storeRevision: this.revision });
        }
        else if (request.method === "GET") {
            const object = this.objects(kind).get(name);
            answer(object === undefined ? 404 : 200, object);
        }
        else {
            this.write(request.method, kind, name, part, body, answer);
        }
    }

    write(method, kind, name, part, body, answer) {
        const objectName = name ?? body.metadata?.name;
        const known = this.objects(kind).get(objectName);
        if (method === "POST") {
            if (known === undefined) {
                answer(201, this.put(kind, objectName, body.spec));
            }
            else {
                answer(409, known);
            }
            return;
        }
        if (known === undefined) {
            answer(404);
            return;
        }
        const condition = body.metadata?.revision;
        if (condition !== undefined && condition !== known.metadata.revision) {
            answer(409, known);
        }
        else if (method === "DELETE") {
            this.remove(kind, objectName);
            answer(200, known);
        }
        else if (part === "status") {
            answer(200, this.replace(kind, objectName, known.spec, body.status, known));
        }
        else {
            answer(200, this.put(kind, objectName, body.spec));
        }
    }

    watch(kind, query, response, answer) {
        const after = Number(query.get("watch"));
        const oldest = this.changes[0]?.revision ?? this.revision + 1;
        if (after > this.revision || after < this.revision && after < oldest - 1) {
            answer(410);
            return;
        }
        const pending = () => this.changes.filter(change => change.kind === kind && change.revision > after).map(change => change.event);
        const wait = {
            kind,
            finish: () => {
                if (this.waiting.delete(wait)) {
                    clearTimeout(timer);
                    answer(200, { events: pending(), storeRevision: this.revision });
                }
            },
        };
        this.waiting.add(wait);
        const waitMs = pending().length > 0 ? 0 : Math.min(30_000, Number(query.get("waitMs") ?? 0));
        const timer = setTimeout(wait.finish, waitMs);
        response.once("close", () => {
            clearTimeout(timer);
            this.waiting.delete(wait);
        });
    }
}
