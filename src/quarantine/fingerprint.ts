/** Identity of a request that is sent again. */
import * as hashing from "../core/hashing.js";

const LENGTH = 32;

/** The body is the caller's, byte for byte; callers that retry send the same one. */
export function fingerprint(customer: string, body: string): string {
    return hashing.sha256(`${customer}\n${body}`).slice(0, LENGTH);
}
