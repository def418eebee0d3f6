/** Hashing of API keys and reauthorization of requests in flight. */
import * as hashing from "../core/hashing.js";
import * as outcomes from "../core/outcome.js";
import * as authentication from "../entry/authentication.js";
import type * as manifest from "../manifest/types.js";

/** Returns the SHA-256 hash of a raw key in lower-case hexadecimal, as stored in the manifest. */
export function hashKey(rawKey: string): string {
    return hashing.sha256(rawKey);
}

/** Checks that a key still belongs to the customer of a request in flight. Fails with `key-revoked`. */
export function reauthorize(
    configuration: manifest.Configuration,
    keyHash: string,
    customer: string,
): outcomes.Outcome<manifest.Customer> {
    const authorized = authentication.authorize(keyHash, configuration);
    return authorized.ok && authorized.value.customer.name === customer
        ? outcomes.succeed(authorized.value.customer)
        : outcomes.fail("key-revoked", `in version ${configuration.version}`);
}
