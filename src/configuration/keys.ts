/** Hashes of callers' keys and repeated authorization of requests that are under way. */
import * as hashing from "../core/hashing.js";
import * as outcomes from "../core/outcome.js";
import * as authentication from "../entry/authentication.js";
import type * as manifest from "../manifest/types.js";

/** SHA-256 of a raw key, lower-case hexadecimal; the form in which the manifest holds it. */
export function hashKey(rawKey: string): string {
    return hashing.sha256(rawKey);
}

/** Checks that the key still belongs to the customer of a request that is under way. Fails with `key-revoked`. */
export function authorizeAgain(
    configuration: manifest.Configuration,
    keyHash: string,
    customer: string,
): outcomes.Outcome<manifest.Customer> {
    const found = authentication.authorize(keyHash, configuration);
    return found.ok && found.value.customer.name === customer
        ? outcomes.succeed(found.value.customer)
        : outcomes.fail("key-revoked", `in version ${configuration.version}`);
}
