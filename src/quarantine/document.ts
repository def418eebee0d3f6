/** Reads the documents by which processes publish suspect records. */
import * as zod from "zod";
import * as records from "./record.js";

const schema = zod.object({
    crashes: zod.array(zod.object({
        id: zod.string(),
        server: zod.string(),
        alone: zod.boolean(),
        at: zod.number(),
    })),
    cleared: zod.array(zod.string()),
});

/** Parses the value of a document; undefined if it does not match the schema. */
export function parse(fingerprint: string, documentValue: unknown): records.SuspectRecord | undefined {
    const result = schema.safeParse(documentValue);
    return result.success ? records.merge(records.empty(fingerprint), { fingerprint, ...result.data }) : undefined;
}
