/** Fencing tokens of orders to servers. */
import type * as storeAccess from "../store-access/types.js";

/** Tokens of an era. Both the revisions of an era and the number of eras fit, and each token is exact as a number. */
const TOKENS_PER_ERA = 2 ** 40;

/** A number that is higher for each later position of the store, also after the store has given out revisions again. */
export function fencingToken({ era, revision }: storeAccess.Position): number {
    return era * TOKENS_PER_ERA + revision;
}
