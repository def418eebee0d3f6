/** Authenticates the customer of a request by its API key. */
import * as hashing from "../core/hashing.js";
import * as outcomes from "../core/outcome.js";
import type * as manifest from "../manifest/types.js";

const BEARER = /^Bearer +(\S+)$/i;

/** An authenticated customer and the SHA-256 hash of its key. */
export interface Principal {
    readonly customer: manifest.Customer;
    readonly keyHash: string;
}

/** Hashes the key of an `Authorization` header; the key itself is not stored. Fails with `key-missing`. */
export function keyHashOf(authorization: string | undefined): outcomes.Outcome<string> {
    const key = BEARER.exec(authorization ?? "")?.[1];
    return key === undefined ? outcomes.fail("key-missing", "") : outcomes.succeed(hashing.sha256(key));
}

/** Looks up a key hash; repeated when a newer configuration is adopted during the request. Fails with `key-unknown`. */
export function authorize(keyHash: string, configuration: manifest.Configuration): outcomes.Outcome<Principal> {
    const name = configuration.keys.get(keyHash);
    const customer = name === undefined ? undefined : configuration.customers.get(name);
    return customer === undefined
        ? outcomes.fail("key-unknown", "")
        : outcomes.succeed({ customer, keyHash });
}
