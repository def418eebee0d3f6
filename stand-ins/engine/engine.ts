/** Model engine with the protocol of section 16 of the design, and control endpoints for tests under `/control`. */
import * as fastify from "fastify";
import * as crypto from "node:crypto";
import type * as net from "node:net";
import * as zod from "zod";
import * as batches from "./batch.js";
import * as prefixCache from "./prefix-cache.js";
import * as settings from "./settings.js";
import * as weightsModule from "./weights.js";

const BODY_LIMIT = 32 * 1024 * 1024;

export interface EngineOptions {
    /** 0 takes a free port. */
    readonly port?: number;
    readonly settings?: settings.PartialSettings;
    /** Called on a crash after all connections are cut; `main.ts` ends the process. */
    readonly onCrash?: () => void;
}

export interface Engine extends AsyncDisposable {
    /** `host:port`. */
    readonly address: string;
    readonly boot: string;
    readonly crashed: boolean;
    /** Cuts all connections and refuses new ones; another engine on the same port is a cold start. */
    crash(): void;
}

const generateRequest = zod.object({
    request_id: zod.string().min(1),
    model: zod.string(),
    adapter: zod.string().default(""),
    weights_version: zod.string(),
    cache_scope: zod.string(),
    prompt: zod.string(),
    resume_tokens: zod.array(zod.string()).default([]),
    max_tokens: zod.int().min(1),
    priority: zod.enum(["interactive", "batch"]).default("interactive"),
    route: zod.string().default(""),
});

const order = zod.object({
    fencing_number: zod.int(),
    kind: zod.enum(["load-weights", "unload-weights"]),
    model: zod.string(),
    weights_version: zod.string(),
});

const eventsQuery = zod.object({
    after: zod.coerce.number().int().default(0),
    wait_ms: zod.coerce.number().min(0).default(0),
});

const transfer = zod.object({ model: zod.string(), weights_version: zod.string(), hashes: zod.array(zod.string()) });

type GenerateRequest = zod.infer<typeof generateRequest>;

/** Starts an engine on 127.0.0.1 with an empty cache and a new boot identifier. */
export async function createEngine(options: EngineOptions = {}): Promise<Engine> {
    const state = new State(settings.schema.parse(options.settings ?? {}), () => crash());
    const server = fastify.fastify({ bodyLimit: BODY_LIMIT, forceCloseConnections: true });
    const sockets = new Set<net.Socket>();
    server.server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
    });
    server.addHook("onRequest", async (request, reply) => {
        state.recordHeaders(request.headers);
        reply.header("x-engine-boot", state.boot);
    });
    server.setErrorHandler((error, _request, reply) => {
        const status = error instanceof zod.ZodError ? 400 : 500;
        void reply.code(status).send({ error: String(error) });
    });
    addEngineRoutes(server, state);
    addControlRoutes(server, state);
    await server.listen({ host: "127.0.0.1", port: options.port ?? 0 });
    const bound = server.server.address() as net.AddressInfo;
    const crash = () => {
        if (state.crashed) {
            return;
        }
        state.crashed = true;
        state.batch.stop();
        server.server.close();
        sockets.forEach(socket => socket.resetAndDestroy());
        options.onCrash?.();
    };
    return {
        address: `127.0.0.1:${bound.port}`,
        boot: state.boot,
        get crashed() {
            return state.crashed;
        },
        crash,
        [Symbol.asyncDispose]: async () => {
            state.batch.stop();
            clearInterval(state.sampling);
            await server.close();
        },
    };
}

class State {
    readonly boot = crypto.randomBytes(8).toString("hex");
    readonly cache: prefixCache.PrefixCache;
    readonly batch: batches.Batch;
    readonly weights: weightsModule.Weights;
    readonly headers = new Map<string, Set<string>>();
    readonly requestsByVersion = new Map<string, number>();
    crashed = false;
    sampling: NodeJS.Timeout | undefined;
    private sample: object | undefined;

    constructor(public current: settings.Settings, readonly crash: () => void) {
        this.cache = new prefixCache.PrefixCache(() => this.current);
        this.batch = new batches.Batch(() => this.current, this.cache, crash);
        this.weights = new weightsModule.Weights(() => this.current);
        this.restartSampling();
    }

    change(changes: object): void {
        this.current = settings.schema.parse({ ...this.current, ...changes });
        this.restartSampling();
    }

    recordHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): void {
        for (const [name, value] of Object.entries(headers)) {
            const values = this.headers.get(name) ?? new Set();
            this.headers.set(name, values);
            [value ?? []].flat().forEach(text => values.add(text));
        }
    }

    load(): object {
        return this.sample ?? this.measure();
    }

    private restartSampling(): void {
        clearInterval(this.sampling);
        this.sample = undefined;
        if (this.current.load_lag_ms > 0) {
            this.sample = this.measure();
            this.sampling = setInterval(() => this.sample = this.measure(), this.current.load_lag_ms);
            this.sampling.unref();
        }
    }

    private measure(): object {
        return { boot: this.boot, ...this.batch.load(), weights: this.weights.list() };
    }
}

function addEngineRoutes(server: fastify.FastifyInstance, state: State): void {
    server.post("/v1/generate", (request, reply) => generate(state, generateRequest.parse(request.body), reply));
    server.post("/v1/cancel", async request => {
        const { request_id: id } = zod.object({ request_id: zod.string() }).parse(request.body);
        return { cancelled: state.batch.cancel(id) };
    });
    server.get("/v1/load", async () => state.load());
    server.get("/v1/cache-events", async request => {
        const query = eventsQuery.parse(request.query);
        return { boot: state.boot, ...await state.cache.events(query.after, query.wait_ms) };
    });
    server.get("/v1/cache-snapshot", async () => ({ boot: state.boot, ...state.cache.snapshot() }));
    server.post("/v1/orders", async (request, reply) => {
        const accepted = await state.weights.order(order.parse(request.body));
        return reply.code(accepted ? 200 : 409).send({ accepted, weights: state.weights.list() });
    });
    server.get("/healthz", async () => ({ boot: state.boot }));
    server.post("/v1/kv/export", async request => {
        const wanted = transfer.parse(request.body);
        const weights = weightsModule.name(wanted.model, wanted.weights_version);
        return { ...wanted, hashes: state.cache.export(wanted.hashes, weights) };
    });
    server.post("/v1/kv/import", async (request, reply) => {
        const offered = transfer.parse(request.body);
        const weights = weightsModule.name(offered.model, offered.weights_version);
        if (!state.weights.has(weights)) {
            return reply.code(409).send({ error: `weights ${weights} are not loaded` });
        }
        state.cache.store(offered.hashes, weights);
        return { imported: offered.hashes.length };
    });
}

function addControlRoutes(server: fastify.FastifyInstance, state: State): void {
    server.post("/control/settings", async request => {
        state.change(request.body as object);
        return state.current;
    });
    server.post("/control/crash", async () => {
        setImmediate(state.crash);
        return {};
    });
    server.post("/control/clear-cache", async () => {
        state.cache.clear();
        return {};
    });
    server.get(
        "/control/headers",
        async () => Object.fromEntries([...state.headers].map(([name, values]) => [name, [...values]])),
    );
    server.get("/control/statistics", async () => ({
        boot: state.boot,
        ...state.batch.counters,
        requests: Object.fromEntries(state.requestsByVersion),
    }));
}

async function generate(state: State, request: GenerateRequest, reply: fastify.FastifyReply): Promise<void> {
    const weights = weightsModule.name(request.model, request.weights_version);
    if (!state.weights.has(weights)) {
        return reply.code(409).send({ error: `weights ${weights} are not loaded` });
    }
    if (state.batch.has(request.request_id)) {
        return reply.code(409).send({ error: `request ${request.request_id} is in flight` });
    }
    const earlier = state.requestsByVersion.get(request.weights_version) ?? 0;
    state.requestsByVersion.set(request.weights_version, earlier + 1);
    const effects = state.current.faults
        .filter(fault => shows(fault, request, earlier, state.batch.load().running))
        .map(fault => fault.effect);
    if (effects.includes("fail")) {
        return reply.code(500).send({ error: `weights ${weights} failed` });
    }
    reply.hijack();
    stream(state, request, weights, effects.includes("slow") ? state.current.slow_factor : 1, reply);
}

function shows(fault: settings.Fault, request: GenerateRequest, earlier: number, running: number): boolean {
    return fault.weights_version === request.weights_version
        && earlier >= fault.after_requests
        && running >= fault.minimum_running
        && (fault.route === undefined || fault.route === request.route);
}

function stream(
    state: State,
    request: GenerateRequest,
    weights: string,
    slowness: number,
    reply: fastify.FastifyReply,
): void {
    const output = reply.raw;
    output.writeHead(200, { "content-type": "text/event-stream", "x-engine-boot": state.boot });
    output.flushHeaders();
    output.on("close", () => {
        if (!output.writableEnded) {
            state.batch.cancel(request.request_id);
        }
    });
    state.batch.submit({
        id: request.request_id,
        prompt: request.prompt,
        resumedTokens: request.resume_tokens.length,
        maxTokens: request.max_tokens,
        batchPriority: request.priority === "batch",
        chain: prefixCache.chain(request.cache_scope, request.prompt, state.current.piece_tokens),
        weights,
        slowness,
        emit: event => {
            output.write(`data: ${JSON.stringify(event)}\n\n`);
            if (event.type === "end") {
                output.end();
            }
        },
    });
}
