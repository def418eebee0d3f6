/** Schema of the TOML manifest, with the defaults of all optional fields. */
import * as zod from "zod";

const NAME = /^[a-z0-9][a-z0-9._-]{0,62}$/;
const ADDRESS = /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/;
const KEY_HASH = /^[0-9a-f]{64}$/;

const name = zod.string().regex(NAME, "expected lower-case letters, digits, '.', '_' or '-', at most 63 characters");
const address = zod.string().regex(ADDRESS, "expected IP:PORT");

const rate = zod.strictObject({
    requests_per_second: zod.number().positive().describe("Sustained requests per second, summed over all instances."),
    burst: zod.number().min(1).describe("Largest burst of requests."),
});

const customer = zod.strictObject({
    name,
    key_hashes: zod.array(zod.string().regex(KEY_HASH, "expected SHA-256 in 64 lower-case hexadecimal digits"))
        .describe("Hashes of the valid keys, as computed by `ibisstep key hash`."),
    rate,
    weight: zod.number().positive().default(1).describe("Relative share of the backend servers under contention."),
});

const model = zod.strictObject({
    name,
    weights_version: name.describe("Version that serves requests when no rollout is in progress."),
    adapters: zod.array(name).default([]),
    piece_tokens: zod.int().positive().default(1024).describe("Size of a prefix cache block in tokens."),
    parallel_loads: zod.int().positive().default(2).describe(
        "Number of servers that may load weights at the same time.",
    ),
});

const backendServer = zod.strictObject({
    name,
    data_centre: name,
    kind: zod.enum(["engine", "service"]),
    agent: address.describe("RPC address of the agent of the server."),
    models: zod.array(name).default([]),
    service: zod.union([name, zod.literal("")]).default(""),
    weight: zod.number().positive().default(1),
    checks_fencing: zod.boolean().default(false).describe(
        "True when the server rejects orders with an outdated fencing number.",
    ),
});

const route = zod.strictObject({
    name,
    path: zod.string().startsWith("/"),
    methods: zod.array(zod.enum(["GET", "POST", "PUT", "PATCH", "DELETE"])).min(1),
    service: name,
    idempotent: zod.boolean().describe("False when a call must run at most once."),
    open: zod.boolean().default(false).describe("True when calls need no API key."),
    deadline_ms: zod.int().positive().default(10_000),
    lookup_path: zod.string().default("").describe(
        "Path of the service that reports whether the call with the idempotency key {key} ran.",
    ),
    settle_after_ms: zod.int().positive().default(30_000),
});

const rollout = zod.strictObject({
    name,
    model: name,
    from: name,
    to: name,
    steps: zod.array(zod.number().positive().max(1)).min(1).default([0.05, 0.25, 0.5, 1]),
    deadline: zod.iso.datetime({ offset: true }),
    step_ms: zod.int().positive().default(30_000).describe("Minimum duration of a step in milliseconds."),
});

/** Schema of the whole manifest. */
export const manifest = zod.strictObject({
    customers: zod.array(customer).default([]),
    models: zod.array(model).default([]),
    backend_servers: zod.array(backendServer).default([]),
    routes: zod.array(route).default([]),
    rollouts: zod.array(rollout).default([]),
});

export type Manifest = zod.infer<typeof manifest>;
