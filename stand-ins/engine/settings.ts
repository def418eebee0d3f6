/** Settings of the engine stand-in, which can be changed while it runs. Durations are in milliseconds. */
import * as zod from "zod";

const faultSchema = zod.strictObject({
    weights_version: zod.string(),
    effect: zod.enum(["fail", "slow"]),
    after_requests: zod.int().min(0).default(0).describe(
        "Requests to the version that succeed before the fault takes effect.",
    ),
    minimum_running: zod.int().min(0).default(0).describe(
        "The fault takes effect only while at least this many requests run.",
    ),
    route: zod.string().optional().describe("The fault affects only requests of this route."),
});

export const schema = zod.strictObject({
    max_running: zod.int().positive().default(16),
    prefill_ms_per_token: zod.number().min(0).default(0.02),
    decode_ms: zod.number().min(0).default(10),
    slow_factor: zod.int().positive().default(10).describe(
        "Factor by which the fault `slow` multiplies prefill and decode times.",
    ),
    piece_tokens: zod.int().positive().default(1024),
    cache_pieces: zod.int().min(0).default(512),
    event_delay_ms: zod.number().min(0).default(0),
    event_drop_every: zod.int().min(0).default(0).describe("Drops every n-th cache event; 0 drops none."),
    load_lag_ms: zod.number().min(0).default(0),
    checks_fencing: zod.boolean().default(true),
    weights: zod.array(zod.string()).default([]).describe("`model@version` of the weights that are loaded at startup."),
    weights_load_ms: zod.number().min(0).default(500),
    weight_store: zod.url().optional(),
    faults: zod.array(faultSchema).default([]),
});

export type Settings = Readonly<zod.infer<typeof schema>>;
export type PartialSettings = Partial<zod.input<typeof schema>>;
export type Fault = Settings["faults"][number];
