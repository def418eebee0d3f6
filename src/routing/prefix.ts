/**
 * Prefix chain of a prompt.
 *
 * A prompt is divided into pieces of a fixed number of tokens, the unit of the prefix cache of an engine. The chain has
 * one hash per full piece, which covers the piece and all pieces before it.
 */
import * as crypto from "node:crypto";

/** Average size of a token, by which prompts are measured without a tokenizer. */
const BYTES_PER_TOKEN = 4;
const HASH_HEX_DIGITS = 16;

/** Everything besides the prompt text that determines whether a cached piece can be reused. */
export interface CacheScope {
    readonly customer: string;
    readonly model: string;
    readonly adapter: string;
    readonly weightsVersion: string;
}

export interface Prefix {
    /** Hash of the cache scope and seed of the chain; the engine receives it as `cache_scope`. */
    readonly scope: string;
    /** Prefix hash at the end of each full piece, in prompt order. */
    readonly chain: readonly string[];
    readonly promptTokens: number;
}

/** Computes the prefix chain for pieces of `pieceTokens` tokens. A piece may end inside a UTF-8 character. */
export function prefixOf(scope: CacheScope, prompt: string, pieceTokens: number): Prefix {
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
    return hash.digest("hex").slice(0, HASH_HEX_DIGITS);
}
