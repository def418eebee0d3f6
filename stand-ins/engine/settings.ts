/** Settings of the engine; durations are in milliseconds. They can be changed while the engine runs. */
import * as zod from "zod";

const fault = zod.strictObject({
    weights_version: zod.string(),
    effect: zod.enum(["fail", "slow"]),
    after_requests: zod.int().min(0).default(0).describe("Requests of the version that still succeed."),
    minimum_running: zod.int().min(0).default(0).describe("The fault shows only while this many requests run."),
    route: zod.string().optional().describe("The fault shows only on this route."),
});

export const schema = zod.strictObject({
    max_running: zod.int().positive().default(16),
    prefill_ms_per_token: zod.number().min(0).default(0.02),
    decode_ms: zod.number().min(0).default(10),
    slow_factor: zod.int().positive().default(10).describe("Applied to both costs by the fault `slow`."),
    piece_tokens: zod.int().positive().default(1024),
    cache_pieces: zod.int().min(0).default(512),
    event_delay_ms: zod.number().min(0).default(0),
    event_drop_every: zod.int().min(0).default(0).describe("Loses each n-th cache event; 0 loses none."),
    load_lag_ms: zod.number().min(0).default(0),
    checks_fencing: zod.boolean().default(true),
    weights: zod.array(zod.string()).default([]).describe("`model@version` loaded at the start."),
    weights_load_ms: zod.number().min(0).default(500),
    weight_store: zod.url().optional(),
    faults: zod.array(fault).default([]),
});

export type Settings = Readonly<zod.infer<typeof schema>>;
export type PartialSettings = Partial<zod.input<typeof schema>>;
export type Fault = Settings["faults"][number];
