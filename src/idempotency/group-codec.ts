/** Encodes and decodes the JSON that represents a record group in the object API. */
import * as zod from "zod";
import * as outcomes from "../core/outcome.js";
import type * as types from "./types.js";

const claim = zod.object({
    id: zod.string(),
    incarnation: zod.object({ address: zod.string(), boot: zod.string() }),
    requestId: zod.string(),
    attempt: zod.number(),
    runWithinMs: zod.number(),
});

const response = zod.discriminatedUnion("kind", [
    zod.object({
        kind: zod.literal("whole"),
        status: zod.number(),
        headers: zod.record(zod.string(), zod.string()),
        body: zod.string(),
    }),
    zod.object({ kind: zod.literal("digest"), status: zod.number(), bytes: zod.number(), sha256: zod.string() }),
]);

const common = {
    claim,
    bodyHash: zod.string(),
    excluded: zod.array(zod.object({ requestId: zod.string(), attempt: zod.number() })),
    writtenAt: zod.number(),
};

const record = zod.discriminatedUnion("state", [
    zod.object({ state: zod.literal("claimed"), ...common }),
    zod.object({ state: zod.literal("done"), response, ...common }),
    zod.object({ state: zod.literal("not-run"), ...common }),
    zod.object({ state: zod.literal("unknown"), ...common }),
]);

const groupSchema = zod.object({ records: zod.record(zod.string(), record) });

export function encode(group: types.RecordGroup): string {
    return JSON.stringify({ records: Object.fromEntries(group.records) });
}

/** Fails with `idempotency-group-unreadable`; an unreadable group must never be treated as empty. */
export function decode(name: string, text: string): outcomes.Outcome<types.RecordGroup> {
    try {
        const parsed = groupSchema.safeParse(JSON.parse(text));
        return parsed.success
            ? outcomes.succeed({ records: new Map(Object.entries(parsed.data.records)) })
            : outcomes.fail("idempotency-group-unreadable", name);
    }
    catch {
        return outcomes.fail("idempotency-group-unreadable", name);
    }
}
