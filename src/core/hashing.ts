/** Hash functions shared by the features. */
import * as crypto from "node:crypto";

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const UINT32_RANGE = 0x1_0000_0000;

/** SHA-256 in lower-case hexadecimal. */
export function sha256(text: string): string {
    return crypto.createHash("sha256").update(text).digest("hex");
}

/** 32-bit FNV-1a of the UTF-16 code units, mixed so that hashes of similar inputs spread over the whole range. */
export function hash32(text: string): number {
    let hash = FNV_OFFSET;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
    }
    return mix32(hash);
}

/** Uniform number in (0, 1) derived from the text. */
export function unitHash(text: string): number {
    return (hash32(text) + 0.5) / UINT32_RANGE;
}

/** Finalizer of 32-bit MurmurHash3. */
function mix32(value: number): number {
    let mixed = value;
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}
