/** Schema of the TOML settings of a process, with descriptions and defaults. */
import * as zod from "zod";

const ADDRESS = /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/;
const NAME = /^[a-z0-9][a-z0-9._-]{0,62}$/;

const address = zod.string().regex(ADDRESS, "expected IP:PORT");

const limits = zod.strictObject({
    body_bytes: zod.int().positive().default(8 * 1024 * 1024).describe("Maximum size of a request body in bytes."),
    header_bytes: zod.int().positive().default(16 * 1024).describe(
        "Maximum total size of the request headers in bytes.",
    ),
    prompt_tokens: zod.int().positive().default(262_144).describe("Maximum length of a prompt in tokens."),
    memory_bytes: zod.int().positive().optional().describe(
        "Memory in bytes above which the process is ended. Requests are refused before it is reached.",
    ),
    requests_in_flight: zod.int().positive().default(4096).describe(
        "Maximum number of requests in flight in one process.",
    ),
});

const timing = zod.strictObject({
    admission_wait_ms: zod.int().positive().default(3000).describe(
        "Longest wait for rate admission before a request is refused.",
    ),
    request_deadline_ms: zod.int().positive().default(120_000).describe("Deadline of a chat completion request."),
    accept_while_draining_ms: zod.int().min(0).default(3000)
        .describe(
            "Time for which a draining entry still accepts requests, until the load balancer stops sending them.",
        ),
    drain_ms: zod.int().positive().default(120_000).describe("Longest wait at shutdown for requests in flight."),
});

const backend = zod.strictObject({
    slots: zod.int().positive().default(16).describe("Maximum number of concurrent requests on the backend server."),
    running_tokens: zod.int().positive().default(1_000_000).describe("Maximum total tokens of all running requests."),
    queued_requests: zod.int().positive().default(512).describe(
        "Maximum number of requests that wait in the queue of the agent.",
    ),
    queued_tokens: zod.int().positive().default(4_000_000).describe(
        "Maximum total cost in tokens of all waiting requests.",
    ),
});

/** Settings of an entry or an agent. */
export const settings = zod.strictObject({
    role: zod.enum(["entry", "agent"]),
    data_centre: zod.string().regex(NAME),
    rpc_address: address.describe("RPC address for other processes of the system."),
    http_address: address.optional().describe("HTTP address for callers; entries only."),
    health_address: address.optional().describe("Address of the health endpoints of an agent."),
    backend_server: zod.string().regex(NAME).optional().describe(
        "Name of the backend server in the manifest; agents only.",
    ),
    backend_kind: zod.enum(["engine", "service"]).default("engine").describe("Kind of the backend server."),
    backend_address: address.optional().describe("Address of the backend server; agents only."),
    object_api: zod.url().describe("Base URL of the object API."),
    instance_list: zod.url().describe("Base URL of the instance list."),
    seeds: zod.array(address).default([]).describe("RPC addresses of the processes to contact first."),
    log_level: zod.enum(["debug", "info", "warn", "error"]).default("info"),
    limits: limits.prefault({}),
    timing: timing.prefault({}),
    backend: backend.prefault({}).describe("Limits of the queue in front of the backend server; agents only."),
}).superRefine((value, context) => {
    const required = REQUIRED_BY_ROLE[value.role].filter(field => value[field] === undefined);
    for (const field of required) {
        context.addIssue({ code: "custom", path: [field], message: `missing; the role "${value.role}" needs it` });
    }
});

const REQUIRED_BY_ROLE = {
    entry: ["http_address"],
    agent: ["backend_server", "backend_address"],
} as const;

export type Settings = Readonly<zod.infer<typeof settings>>;
