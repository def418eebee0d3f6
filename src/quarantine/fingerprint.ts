/** Fingerprint by which copies and retries of one request are recognized. */
import * as hashing from "../core/hashing.js";

const FINGERPRINT_HEX_DIGITS = 32;

/** `body` is the unmodified request body, since a caller that retries sends the same bytes. */
export function fingerprint(customer: string, body: string): string {
    return hashing.sha256(`${customer}\n${body}`).slice(0, FINGERPRINT_HEX_DIGITS);
}
