/** Stand-in for a model engine: the engine protocol of section 16 of the design, and `/control` endpoints for tests. */
import * as fastify from "fastify";
import * as crypto from "node:crypto";
import type * as net from "node:net";
import * as zod from "zod";
import * as batches from "./batch.js";
import * as prefixCache from "./prefix-cache.js";
import * as settings from "./settings.js";
import * as engineWeights from "./weights.js";

const BODY_LIMIT_BYTES = 32 * 1024 * 1024;

export interface EngineOptions {
    /** 0, the default, selects a free port. */
    readonly port?: number;
    readonly settings?: settings.PartialSettings;
    /** Called on a crash after all connections are reset; `main.ts` ends the process. */
    readonly onCrash?: () => void;
}

export interface Engine extends AsyncDisposable {
    /** `host:port`. */
    readonly address: string;
    /** Identifier of this run of the engine. */
    readonly boot: string;
    readonly crashed: boolean;
    /** Resets all connections and refuses new ones. A new engine on the same port starts with an empty cache. */
    crash(): void;
}

const generateSchema = zod.object({
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

const orderSchema = zod.object({
    fencing_number: zod.int(),
    kind: zod.enum(["load-weights", "unload-weights"]),
    model: zod.string(),
    weights_version: zod.string(),
});

const eventsQuerySchema = zod.object({
    after: zod.coerce.number().int().default(0),
    wait_ms: zod.coerce.number().min(0).default(0),
});

const kvTransferSchema = zod.object({
    model: zod.string(),
    weights_version: zod.string(),
    hashes: zod.array(zod.string()),
});

type GenerateRequest = zod.infer<typeof generateSchema>;

/** Starts an engine on 127.0.0.1 with an empty cache and a new boot identifier. */
export async function createEngine(options: EngineOptions = {}): Promise<Engine> {
    const state = new EngineState(settings.schema.parse(options.settings ?? {}), () => crash());
    const server = fastify.fastify({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: true });
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
            clearInterval(state.loadSampler);
            await server.close();
        },
    };
}

class EngineState {
    readonly boot = crypto.randomBytes(8).toString("hex");
    readonly cache: prefixCache.PrefixCache;
    readonly batch: batches.Batch;
    readonly weights: engineWeights.LoadedWeights;
    readonly headerValues = new Map<string, Set<string>>();
    readonly requestsByVersion = new Map<string, number>();
    crashed = false;
    loadSampler: NodeJS.Timeout | undefined;
    private sampledLoad: object | undefined;

    constructor(public settings: settings.Settings, readonly crash: () => void) {
        this.cache = new prefixCache.PrefixCache(() => this.settings);
        this.batch = new batches.Batch(() => this.settings, this.cache, crash);
        this.weights = new engineWeights.LoadedWeights(() => this.settings);
        this.restartSampling();
    }

    changeSettings(changes: object): void {
        this.settings = settings.schema.parse({ ...this.settings, ...changes });
        this.restartSampling();
    }

    recordHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): void {
        for (const [name, value] of Object.entries(headers)) {
            const values = this.headerValues.get(name) ?? new Set();
            this.headerValues.set(name, values);
            [value ?? []].flat().forEach(text => values.add(text));
        }
    }

    load(): object {
        return this.sampledLoad ?? this.measureLoad();
    }

    private restartSampling(): void {
        clearInterval(this.loadSampler);
        this.sampledLoad = undefined;
        if (this.settings.load_lag_ms > 0) {
            this.sampledLoad = this.measureLoad();
            this.loadSampler = setInterval(() => this.sampledLoad = this.measureLoad(), this.settings.load_lag_ms);
            this.loadSampler.unref();
        }
    }

    private measureLoad(): object {
        return { boot: this.boot, ...this.batch.load(), weights: this.weights.list() };
    }
}

function addEngineRoutes(server: fastify.FastifyInstance, state: EngineState): void {
    server.post("/v1/generate", (request, reply) => generate(state, generateSchema.parse(request.body), reply));
    server.post("/v1/cancel", async request => {
        const { request_id: id } = zod.object({ request_id: zod.string() }).parse(request.body);
        return { cancelled: state.batch.cancel(id) };
    });
    server.get("/v1/load", async () => state.load());
    server.get("/v1/cache-events", async request => {
        const query = eventsQuerySchema.parse(request.query);
        return { boot: state.boot, ...await state.cache.events(query.after, query.wait_ms) };
    });
    server.get("/v1/cache-snapshot", async () => ({ boot: state.boot, ...state.cache.snapshot() }));
    server.post("/v1/orders", async (request, reply) => {
        const accepted = await state.weights.execute(orderSchema.parse(request.body));
        return reply.code(accepted ? 200 : 409).send({ accepted, weights: state.weights.list() });
    });
    server.get("/healthz", async () => ({ boot: state.boot }));
    server.post("/v1/kv/export", async request => {
        const requested = kvTransferSchema.parse(request.body);
        const weights = engineWeights.weightsName(requested.model, requested.weights_version);
        return { ...requested, hashes: state.cache.exportable(requested.hashes, weights) };
    });
    server.post("/v1/kv/import", async (request, reply) => {
        const offered = kvTransferSchema.parse(request.body);
        const weights = engineWeights.weightsName(offered.model, offered.weights_version);
        if (!state.weights.has(weights)) {
            return reply.code(409).send({ error: `weights ${weights} are not loaded` });
        }
        state.cache.store(offered.hashes, weights);
        return { imported: offered.hashes.length };
    });
}

function addControlRoutes(server: fastify.FastifyInstance, state: EngineState): void {
    server.post("/control/settings", async request => {
        state.changeSettings(request.body as object);
        return state.settings;
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
        async () => Object.fromEntries([...state.headerValues].map(([name, values]) => [name, [...values]])),
    );
    server.get("/control/statistics", async () => ({
        boot: state.boot,
        ...state.batch.counters,
        requests: Object.fromEntries(state.requestsByVersion),
    }));
}

async function generate(state: EngineState, request: GenerateRequest, reply: fastify.FastifyReply): Promise<void> {
    const weights = engineWeights.weightsName(request.model, request.weights_version);
    if (!state.weights.has(weights)) {
        return reply.code(409).send({ error: `weights ${weights} are not loaded` });
    }
    if (state.batch.has(request.request_id)) {
        return reply.code(409).send({ error: `request ${request.request_id} is in flight` });
    }
    const earlierRequests = state.requestsByVersion.get(request.weights_version) ?? 0;
    state.requestsByVersion.set(request.weights_version, earlierRequests + 1);
    const faultEffects = state.settings.faults
        .filter(fault => faultApplies(fault, request, earlierRequests, state.batch.load().running))
        .map(fault => fault.effect);
    if (faultEffects.includes("fail")) {
        return reply.code(500).send({ error: `weights ${weights} failed` });
    }
    reply.hijack();
    streamResponse(state, request, weights, faultEffects.includes("slow") ? state.settings.slow_factor : 1, reply);
}

function faultApplies(
    fault: settings.Fault,
    request: GenerateRequest,
    earlierRequests: number,
    runningRequests: number,
): boolean {
    return fault.weights_version === request.weights_version
        && earlierRequests >= fault.after_requests
        && runningRequests >= fault.minimum_running
        && (fault.route === undefined || fault.route === request.route);
}

function streamResponse(
    state: EngineState,
    request: GenerateRequest,
    weights: string,
    slowFactor: number,
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
        hasBatchPriority: request.priority === "batch",
        prefixHashes: prefixCache.chainHashes(request.cache_scope, request.prompt, state.settings.piece_tokens),
        weights,
        slowFactor,
        emit: event => {
            output.write(`data: ${JSON.stringify(event)}\n\n`);
            if (event.type === "end") {
                output.end();
            }
        },
    });
}
