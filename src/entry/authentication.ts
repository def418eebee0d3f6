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

/** Fails with `key-missing` or `key-unknown`. The key itself is hashed here and kept nowhere. */
export function authenticate(
    authorization: string | undefined,
    configuration: manifest.Configuration,
): outcomes.Outcome<Principal> {
    const key = BEARER.exec(authorization ?? "")?.[1];
    if (key === undefined) {
        return outcomes.refuse("key-missing", "");
    }
    return authorize(hashing.sha256(key), configuration);
}

/** Looks a key hash up in a configuration; used again when a newer configuration is adopted during a request. */
export function authorize(keyHash: string, configuration: manifest.Configuration): outcomes.Outcome<Principal> {
    const name = configuration.keys.get(keyHash);
    const customer = name === undefined ? undefined : configuration.customers.get(name);
    return customer === undefined
        ? outcomes.refuse("key-unknown", "")
        : outcomes.succeed({ customer, keyHash });
}
