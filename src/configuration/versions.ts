/** Compares the versions of the configurations of an entry and an agent on each call. */
import type * as failures from "../core/failure.js";
import * as outcomes from "../core/outcome.js";

/** HTTP header of a call between processes that names the RPC address of the caller. */
export const CALLER_HEADER = "x-ibisstep-caller";

export type AgentDecision =
    | { readonly action: "serve"; }
    /** The entry may have authorized the request with a revoked key; nothing runs. */
    | { readonly action: "refuse"; readonly failure: failures.Failure; }
    /** The agent first fetches the version from the entry, because it may lack the route, customer or rollout. */
    | { readonly action: "fetch"; readonly version: number; };

export type EntryDecision =
    | { readonly action: "continue"; }
    /** The entry fetches the version in the background; the call itself was served. */
    | { readonly action: "fetch"; readonly version: number; }
    /** The entry fetches the version, authorizes the request again, and only then repeats the call. */
    | { readonly action: "fetch-and-authorize"; readonly version: number; };

/** Decision of an agent before it starts the work of a call. */
export function decideAtAgent(entryVersion: number, agentVersion: number): AgentDecision {
    if (entryVersion === agentVersion) {
        return { action: "serve" };
    }
    if (entryVersion > agentVersion) {
        return { action: "fetch", version: entryVersion };
    }
    const { failure } = outcomes.fail("configuration-stale", `${entryVersion} is older than ${agentVersion}`);
    return { action: "refuse", failure };
}

/** Decision of an entry on the reply of an agent. `failure` is the failure of the reply, if any. */
export function decideAtEntry(
    entryVersion: number,
    agentVersion: number,
    failure: failures.Failure | undefined,
): EntryDecision {
    if (failure?.kind === "configuration-stale") {
        return { action: "fetch-and-authorize", version: agentVersion };
    }
    return agentVersion > entryVersion ? { action: "fetch", version: agentVersion } : { action: "continue" };
}
