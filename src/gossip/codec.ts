/** Converts documents and comparisons to and from RPC messages. */
import * as outcomes from "../core/outcome.js";
import type * as messages from "../rpc/gen/ibisstep/v1/peer_pb.js";
import * as kinds from "./kinds.js";
import type * as types from "./types.js";

/** Encoded age of a process without any confirmation of the object API. */
const UNKNOWN_AGE = -1n;
const decoder = new TextDecoder("utf-8", { fatal: true });
const encoder = new TextEncoder();

export interface DocumentMessage {
    readonly name: string;
    readonly version: bigint;
    readonly value: Uint8Array;
}

export function encodeDocument(document: types.Document): DocumentMessage {
    return {
        name: document.name,
        version: BigInt(document.version),
        value: encoder.encode(JSON.stringify(document.value)),
    };
}

/**
 * Decodes a document. Fails with `document-invalid` for an unknown kind, a value above its size limit or invalid JSON.
 */
export function decodeDocument(message: DocumentMessage): outcomes.Outcome<types.Document> {
    const kind = kinds.kindOf(message.name);
    if (kind === undefined) {
        return outcomes.fail("document-invalid", `${message.name}: unknown kind`);
    }
    if (message.value.length > kind.maximumBytes) {
        return outcomes.fail("document-invalid", `${message.name}: ${message.value.length} bytes`);
    }
    try {
        const value: unknown = JSON.parse(decoder.decode(message.value));
        return outcomes.succeed({ name: message.name, version: Number(message.version), value });
    }
    catch {
        return outcomes.fail("document-invalid", `${message.name}: not JSON in UTF-8`);
    }
}

/** Decodes the valid documents and ignores the others. */
export function decodeDocuments(list: readonly messages.Document[]): readonly types.Document[] {
    return list.flatMap(message => {
        const outcome = decodeDocument(message);
        return outcome.ok ? [outcome.value] : [];
    });
}

/** Encodes an age in milliseconds; Infinity (unknown) becomes -1. */
export function encodeAge(ageMs: number): bigint {
    return Number.isFinite(ageMs) ? BigInt(Math.max(0, Math.ceil(ageMs))) : UNKNOWN_AGE;
}

export function decodeAge(age: bigint): number {
    return age < 0n ? Number.POSITIVE_INFINITY : Number(age);
}
