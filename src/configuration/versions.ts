/** Compares the configuration versions of entry and agent on each call. */
import type * as failures from "../core/failure.js";
import * as outcomes from "../core/outcome.js";

/** HTTP header with the RPC address of the calling process. */
export const CALLER_HEADER = "x-ibisstep-caller";

export type AgentDecision =
    | { readonly action: "serve"; }
    /** The entry may have authorized the request with a key that is now revoked, so the request does not run. */
    | { readonly action: "refuse"; readonly failure: failures.Failure; }
    /** The agent first fetches the version from the entry, since its own may lack the route, customer or rollout. */
    | { readonly action: "fetch"; readonly version: number; };

export type EntryDecision =
    | { readonly action: "continue"; }
    /** The call was served; the entry fetches the version in the background. */
    | { readonly action: "fetch"; readonly version: number; }
    /** The entry fetches the version and reauthorizes the request before it repeats the call. */
    | { readonly action: "fetch-and-authorize"; readonly version: number; };

/** Decides whether an agent serves a call. */
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

/** Decides how an entry handles the response of an agent. `failure` is the failure in the response, if any. */
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
