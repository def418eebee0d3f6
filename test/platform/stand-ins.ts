/** In-process stand-ins for the store and the workers of the platform; workers log the requests and orders for checks. */
import * as http from "node:http";

const HTTP_CONFLICT = 409;
const HTTP_GONE = 410;
/** Limits of a page of a listing; a larger object has a page of its own. */
const MAXIMUM_PAGE_ITEMS = 500;
const MAXIMUM_PAGE_BYTES = 1024 * 1024;
/** Number of earlier states of the store from which it can come back. */
const MAXIMUM_BACKUPS = 256;
const HTTP_MISDIRECTED = 421;
const HTTP_UNAVAILABLE = 503;
const EVENT_INTERVAL_MS = 4;
const WEIGHTS_LOAD_MS = 150;
/** Times in milliseconds until a request with a deadly part crashes its worker, and until the worker is back. */
const DEADLY_PREFILL_MS = 20;
const RESTART_MS = 800;

interface StoredObject {
    readonly revision: number;
    readonly spec: unknown;
    readonly status: unknown;
}

/** A spec as the bytes of another writer, which need not be JSON; `isObject` if they are the whole object. */
export interface RawSpec {
    readonly raw: Buffer;
    readonly isObject: boolean;
}

interface StatusUpdate {
    readonly metadata: { readonly revision: number; };
    readonly status: unknown;
}

interface StoreEvent {
    readonly kind: string;
    readonly revision: number;
    readonly name: string;
    readonly object: StoredObject;
    readonly deleted: boolean;
}

/** State of the store at a time in milliseconds. */
interface Backup {
    readonly takenAt: number;
    readonly revision: number;
    readonly kinds: ReadonlyMap<string, ReadonlyMap<string, StoredObject>>;
}

abstract class StandIn implements AsyncDisposable {
    protected isDisposed = false;
    private server: http.Server | undefined;

    constructor(readonly address: string) {}

    async listen(): Promise<void> {
        const [host, port] = this.address.split(":");
        const server = http.createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
            const chunks: Buffer[] = [];
            request.on("data", (chunk: Buffer) => chunks.push(chunk));
            request.on("end", () => void this.handle(request, response, Buffer.concat(chunks).toString("utf8")));
        });
        this.server = server;
        await new Promise<void>(resolve => server.listen(Number(port), host, resolve));
    }

    /** Closes all connections; new ones are refused until `listen`. */
    async close(): Promise<void> {
        const { server } = this;
        this.server = undefined;
        server?.closeAllConnections();
        await new Promise<void>(resolve => server === undefined ? resolve() : server.close(() => resolve()));
    }

    [Symbol.asyncDispose](): Promise<void> {
        this.isDisposed = true;
        return this.close();
    }

    protected get isListening(): boolean {
        return this.server !== undefined;
    }

    protected abstract handle(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        body: string,
    ): Promise<void> | void;
}

export class Store extends StandIn {
    /** `unavailable` responds with status 503; `unresponsive` never responds. */
    mode: "healthy" | "unavailable" | "unresponsive" = "healthy";
    private revision = 1;
    private era = 1;
    private kinds = new Map<string, Map<string, StoredObject>>();
    private events: readonly StoreEvent[] = [];
    private readonly backups: Backup[] = [];
    private readonly watchers = new Set<() => void>();

    put(kind: string, name: string, spec: unknown): void {
        this.replace(kind, name, spec, this.objects(kind).get(name)?.status);
    }

    /** Comes back from a copy of this age in milliseconds: later changes are lost, and their revisions are given out again. */
    restore(ageMs: number): void {
        const takenBy = performance.now() - ageMs;
        const backup = this.backups.findLast(candidate => candidate.takenAt <= takenBy) ?? this.backups[0]!;
        this.era++;
        this.revision = backup.revision;
        this.kinds = new Map([...backup.kinds].map(([kind, objects]) => [kind, new Map(objects)]));
        this.events = this.events.filter(event => event.revision <= backup.revision);
        this.watchers.forEach(wake => wake());
    }

    /** Status of an object; undefined if none was written. */
    status(kind: string, name: string): unknown {
        return this.objects(kind).get(name)?.status;
    }

    private replace(kind: string, name: string, spec: unknown, status: unknown): void {
        const revision = ++this.revision;
        this.objects(kind).set(name, { revision, spec, status });
        this.publish({ kind, revision, name, object: { revision, spec, status }, deleted: false });
    }

    remove(kind: string, name: string): void {
        const revision = ++this.revision;
        const spec = this.objects(kind).get(name)?.spec;
        this.objects(kind).delete(name);
        this.publish({ kind, revision, name, object: { revision, spec, status: undefined }, deleted: true });
    }

    protected async handle(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        body: string,
    ): Promise<void> {
        if (this.mode === "unresponsive") {
            return;
        }
        if (this.mode === "unavailable") {
            response.writeHead(HTTP_UNAVAILABLE).end();
            return;
        }
        response.setHeader("Store-Era", String(this.era));
        const url = new URL(request.url ?? "/", "http://store");
        const [kind, name, part] = url.pathname.split("/").slice(3);
        if (part === "status") {
            this.replaceStatus(kind!, decodeURIComponent(name!), JSON.parse(body) as StatusUpdate, response);
            return;
        }
        if (request.method !== "GET") {
            const payload = JSON.parse(body) as { metadata: { name: string; }; spec: unknown; };
            const target = name === undefined ? payload.metadata.name : decodeURIComponent(name);
            if (request.method === "POST" && this.objects(kind!).has(target)) {
                response.writeHead(HTTP_CONFLICT).end("{}");
                return;
            }
            this.put(kind!, target, payload.spec);
            response.end("{}");
            return;
        }
        if (url.searchParams.has("watch")) {
            const after = Number(url.searchParams.get("watch"));
            if (after > this.revision) {
                response.writeHead(HTTP_GONE).end("{}");
                return;
            }
            await this.waitForEvent(kind!, after, Number(url.searchParams.get("waitMs")));
            const events = this.events.filter(event => event.kind === kind && event.revision > after);
            response.setHeader("Store-Era", String(this.era));
            const encoded = events.map(event => {
                return bytes`{"object":${encode(event.name, event.object)},"deleted":${String(event.deleted)}}`;
            });
            response.end(bytes`{"events":[${join(encoded)}],"storeRevision":${String(this.revision)}}`);
            return;
        }
        this.list(kind!, url.searchParams.get("after") ?? "", response);
    }

    private list(kind: string, after: string, response: http.ServerResponse): void {
        const objects = [...this.objects(kind)].filter(([name]) => name > after)
            .sort(([left], [right]) => left < right ? -1 : 1);
        const items: Buffer[] = [];
        let pageBytes = 0;
        for (const [name, object] of objects) {
            const item = encode(name, object);
            pageBytes += item.length;
            if (items.length > 0 && (pageBytes > MAXIMUM_PAGE_BYTES || items.length === MAXIMUM_PAGE_ITEMS)) {
                break;
            }
            items.push(item);
        }
        const hasMore = String(items.length < objects.length);
        const revision = String(this.revision);
        response.end(bytes`{"items":[${join(items)}],"hasMore":${hasMore},"storeRevision":${revision}}`);
    }

    private replaceStatus(kind: string, name: string, update: StatusUpdate, response: http.ServerResponse): void {
        const known = this.objects(kind).get(name);
        if (known === undefined || known.revision !== update.metadata.revision) {
            response.writeHead(HTTP_CONFLICT).end("{}");
            return;
        }
        this.replace(kind, name, known.spec, update.status);
        response.end("{}");
    }

    private objects(kind: string): Map<string, StoredObject> {
        const objects = this.kinds.get(kind) ?? new Map<string, StoredObject>();
        this.kinds.set(kind, objects);
        return objects;
    }

    private publish(event: StoreEvent): void {
        this.events = [...this.events, event];
        this.backups.push({
            takenAt: performance.now(),
            revision: this.revision,
            kinds: new Map([...this.kinds].map(([kind, objects]) => [kind, new Map(objects)])),
        });
        this.backups.splice(0, this.backups.length - MAXIMUM_BACKUPS);
        this.watchers.forEach(wake => wake());
    }

    private async waitForEvent(kind: string, revision: number, waitMs: number): Promise<void> {
        const endsAt = performance.now() + waitMs;
        while (
            performance.now() < endsAt
            && !this.events.some(event => event.kind === kind && event.revision > revision)
        ) {
            await new Promise<void>(resolve => {
                const wake = () => {
                    clearTimeout(timer);
                    this.watchers.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, Math.max(1, endsAt - performance.now()));
                this.watchers.add(wake);
            });
        }
    }
}

function encode(name: string, { revision, spec, status }: StoredObject): Buffer {
    if (isRaw(spec) && spec.isObject) {
        return spec.raw;
    }
    const metadata = JSON.stringify({ name, revision });
    const raw = isRaw(spec) ? spec.raw : JSON.stringify(spec) ?? "null";
    return bytes`{"metadata":${metadata},"spec":${raw},"status":${JSON.stringify(status) ?? "null"}}`;
}

function isRaw(spec: unknown): spec is RawSpec {
    return (spec as Partial<RawSpec> | undefined)?.raw instanceof Buffer;
}

function bytes(texts: TemplateStringsArray, ...values: readonly (string | Buffer)[]): Buffer {
    return Buffer.concat(texts.flatMap((text, index) => [text, values[index] ?? ""]).map(part => Buffer.from(part)));
}

function join(values: readonly Buffer[]): Buffer {
    return Buffer.concat(values.flatMap((value, index) => index === 0 ? [value] : [Buffer.from(","), value]));
}

/** One execution of a request by a worker. */
export interface Run {
    readonly requestId: string;
    readonly tenant: string | undefined;
    readonly authorization: string | undefined;
    readonly path: string;
    /** Version of the worker's software. */
    readonly software: string;
}

export interface Order {
    readonly worker: string;
    readonly holder: string;
    readonly fence: number;
}

/** Executed requests and accepted orders of all workers of a test. */
export interface WorkerLog {
    readonly runs: Run[];
    readonly orders: Order[];
    /** Prompt parts that crash each worker which begins to answer on them. */
    readonly deadlyParts: Set<string>;
    /** Times in milliseconds at which requests with such a part arrived, and at which workers crashed of them. */
    readonly deadlyArrivals: number[];
    readonly deadlyCrashes: number[];
    /** Requests a second that workers name as their limit, by address. */
    readonly limits: Map<string, number>;
    /** Times in milliseconds at which requests arrived at workers that name a limit, by address. */
    readonly limitedArrivals: Map<string, number[]>;
}

export function createWorkerLog(): WorkerLog {
    return {
        runs: [],
        orders: [],
        deadlyParts: new Set(),
        deadlyArrivals: [],
        deadlyCrashes: [],
        limits: new Map(),
        limitedArrivals: new Map(),
    };
}

export interface WorkerOptions {
    readonly service: string;
    readonly zone: string;
    /** Model that the worker serves; undefined for a service without models. */
    readonly model: string | undefined;
    /** Version of its software, and factor by which it is slower than others. */
    readonly software?: string;
    readonly slowness?: number;
    /** Least size of its bodies, for a service without models. */
    readonly bodyBytes?: number;
}

export class Worker extends StandIn {
    private id = "";
    private startedAt = 0;
    private startCount = 0;
    private version = 1;
    private orderCount = 0;
    private isBusy = false;
    private running = 0;

    constructor(
        address: string,
        private readonly options: WorkerOptions,
        private readonly store: Store,
        private readonly log: WorkerLog,
    ) {
        super(address);
    }

    /** Starts with a new id; the weights version survives a restart. */
    async start(): Promise<void> {
        this.startedAt = Date.now();
        this.id = `${this.options.service}-${this.address}-${this.startCount++}`;
        this.orderCount = 0;
        this.isBusy = false;
        this.running = 0;
        await this.listen();
        this.register("ready");
    }

    /** Stops at once; its record is removed after a delay, as the platform detects the crash later. */
    async crash(): Promise<void> {
        const { id } = this;
        await this.close();
        setTimeout(() => this.store.remove("servers", id), 300);
    }

    drain(): void {
        this.register("draining");
    }

    /** Writes its record again, as a worker does that finds it lost. */
    registerAgain(): void {
        if (this.isListening) {
            this.register("ready");
        }
    }

    protected async handle(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        body: string,
    ): Promise<void> {
        const { url = "/", headers } = request;
        if (url === "/-/report") {
            const { startedAt, orderCount, isBusy: busy, running } = this;
            response.end(
                JSON.stringify({ models: this.models, busy, seq: orderCount, running, waiting: 0, born: startedAt }),
            );
            return;
        }
        if (url === "/-/order") {
            this.order(JSON.parse(body) as Order & { readonly version: number; readonly expected?: number; }, response);
            return;
        }
        const requestId = String(headers["request-id"]);
        const limit = this.log.limits.get(this.address);
        if (limit !== undefined) {
            response.setHeader("Server-Limit", String(limit));
            const arrivals = this.log.limitedArrivals.get(this.address) ?? [];
            this.log.limitedArrivals.set(this.address, [...arrivals, performance.now()]);
        }
        const expectedVersion = headers["expect-version"];
        const isMisdirected = headers["expect-instance"] !== this.id
            || expectedVersion !== undefined && Number(expectedVersion) !== this.version;
        if (isMisdirected || this.isBusy) {
            const status = isMisdirected ? HTTP_MISDIRECTED : HTTP_UNAVAILABLE;
            response.writeHead(status, { "Request-Id": requestId, "Not-Executed": "1" }).end();
            return;
        }
        const tenant = headers["tenant"] as string | undefined;
        this.log.runs.push({
            requestId,
            tenant,
            authorization: headers.authorization,
            path: url,
            software: this.software,
        });
        this.running++;
        try {
            if (this.hasDeadlyPart(headers)) {
                await this.crashOfRequest();
                return;
            }
            await this.run(request, response, requestId);
        }
        finally {
            this.running--;
        }
    }

    private async run(request: http.IncomingMessage, response: http.ServerResponse, requestId: string): Promise<void> {
        const common = { "Request-Id": requestId, "Response-Seal": "seal" };
        const output = Number(String(request.headers["token-count"] ?? "").split(",")[1] ?? 0);
        if (this.options.model === undefined) {
            await pause(EVENT_INTERVAL_MS * 4 * (this.options.slowness ?? 1));
            response.writeHead(200, common).end(requestId.padEnd(this.options.bodyBytes ?? 0));
            return;
        }
        response.writeHead(200, {
            ...common,
            "Content-Type": "text/event-stream",
            "Weight-Versions": this.version,
        });
        const first = Number(request.headers["last-event-id"] ?? 0) + 1;
        for (let event = first; event <= output && !response.destroyed; event++) {
            await pause(EVENT_INTERVAL_MS * (this.options.slowness ?? 1));
            response.write(`id: ${event}\ndata: ${requestId}/${event}\n\n`);
        }
        response.end();
    }

    /** The last part of a prompt belongs to the request alone and crashes nothing. */
    private hasDeadlyPart(headers: http.IncomingHttpHeaders): boolean {
        const parts = String(headers["prompt-prefix"] ?? "").split(",").slice(0, -1).map(part => part.split(":")[0]!);
        return parts.some(part => this.log.deadlyParts.has(part));
    }

    /** Crashes as it begins to answer, and starts again under another id. */
    private async crashOfRequest(): Promise<void> {
        this.log.deadlyArrivals.push(performance.now());
        const { id } = this;
        await pause(DEADLY_PREFILL_MS);
        if (this.id !== id || !this.isListening) {
            return;
        }
        this.log.deadlyCrashes.push(performance.now());
        await this.crash();
        await pause(RESTART_MS);
        if (!this.isDisposed) {
            await this.start();
        }
    }

    private order(
        order: Order & { readonly version: number; readonly expected?: number; },
        response: http.ServerResponse,
    ): void {
        const isConflict = this.isBusy || order.expected !== undefined && order.expected !== this.orderCount;
        if (isConflict || order.version === this.version) {
            response.writeHead(isConflict ? HTTP_CONFLICT : 200).end("{}");
            return;
        }
        this.log.orders.push({ worker: this.id, holder: order.holder, fence: order.fence });
        this.orderCount++;
        this.isBusy = true;
        response.writeHead(202).end("{}");
        void this.load(order.version, this.id);
    }

    private async load(version: number, id: string): Promise<void> {
        while (this.running > 0 && this.id === id) {
            await pause(EVENT_INTERVAL_MS);
        }
        await pause(WEIGHTS_LOAD_MS);
        if (this.id === id) {
            this.version = version;
            this.isBusy = false;
            this.register("ready");
        }
    }

    private get software(): string {
        return this.options.software ?? "v1";
    }

    private get models(): readonly object[] {
        const { model } = this.options;
        return model === undefined ? [] : [{ name: model, version: this.version, adapters: [] }];
    }

    private register(state: "ready" | "draining"): void {
        const { service, zone } = this.options;
        const { address, startedAt, models } = this;
        this.store.put("servers", this.id, {
            service,
            address,
            zone,
            version: this.software,
            slots: 32,
            state,
            born: startedAt,
            models,
        });
    }
}

export function pause(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}
