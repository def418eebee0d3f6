/** Finds the customer of a request by its key. */
import * as hashing from "../core/hashing.js";
import * as outcomes from "../core/outcome.js";
import type * as manifest from "../manifest/types.js";

const BEARER = /^Bearer +(\S+)$/i;

/** A customer and the hash of the key that proved it. */
export interface Principal {
    readonly customer: manifest.Customer;
    readonly keyHash: string;
}

/** Hash of the key in an `Authorization` header. Fails with `key-missing`. The key itself is kept nowhere. */
export function keyHashOf(authorization: string | undefined): outcomes.Outcome<string> {
    const key = BEARER.exec(authorization ?? "")?.[1];
    return key === undefined ? outcomes.fail("key-missing", "") : outcomes.succeed(hashing.sha256(key));
}

/** Looks a key hash up; used again when a newer configuration is adopted during a request. Fails with `key-unknown`. */
export function authorize(keyHash: string, configuration: manifest.Configuration): outcomes.Outcome<Principal> {
    const name = configuration.keys.get(keyHash);
    const customer = name === undefined ? undefined : configuration.customers.get(name);
    return customer === undefined
        ? outcomes.fail("key-unknown", "")
        : outcomes.succeed({ customer, keyHash });
}
