/** Prefix chain of a prompt: one hash per full piece, each covering everything before it. */
import * as crypto from "node:crypto";

const BYTES_PER_TOKEN = 4;
const HASH_DIGITS = 16;

/** Everything besides the text that a cache entry depends on. */
export interface Scope {
    readonly customer: string;
    readonly model: string;
    readonly adapter: string;
    readonly weightsVersion: string;
}

export interface Prefix {
    /** Seed of the chain; the engine receives it as `cache_scope`. */
    readonly scope: string;
    readonly chain: readonly string[];
    readonly promptTokens: number;
}

/** Computes the chain of a prompt for pieces of `pieceTokens` tokens. A piece may end inside a UTF-8 character. */
export function prefixOf(scope: Scope, prompt: string, pieceTokens: number): Prefix {
    const bytes = Buffer.from(prompt, "utf8");
    const pieceBytes = pieceTokens * BYTES_PER_TOKEN;
    const seed = shortHash([scope.customer, scope.model, scope.adapter, scope.weightsVersion].join("\n"));
    const chain: string[] = [];
    for (let end = pieceBytes; end <= bytes.length; end += pieceBytes) {
        const piece = bytes.subarray(end - pieceBytes, end);
        chain.push(shortHash(`${chain.at(-1) ?? seed}\n`, piece));
    }
    return { scope: seed, chain, promptTokens: Math.ceil(bytes.length / BYTES_PER_TOKEN) };
}

function shortHash(text: string, bytes?: Uint8Array): string {
    const hash = crypto.createHash("sha256").update(text);
    if (bytes !== undefined) {
        hash.update(bytes);
    }
    return hash.digest("hex").slice(0, HASH_DIGITS);
}
