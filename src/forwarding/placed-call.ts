/** Counts a call at the server that was chosen for it, and releases it when its attempt has ended. */
import type * as event from "../core/event.js";
import type * as prefills from "../placement/prefills.js";
import type * as serverLoads from "../placement/server-load.js";
import type * as placement from "../placement/types.js";
import type * as admissions from "./call-admission.js";
import type * as callPlacements from "./call-placement.js";
import type * as promptCacheAccess from "./prompt-cache-access.js";
import type * as types from "./types.js";

/** A call that is counted at the server that was chosen for it, from the moment of the choice on. */
export interface PlacedCall extends Disposable {
    readonly choice: callPlacements.ServerChoice;
    readonly cacheLookup: promptCacheAccess.CacheLookup;
    readonly uncachedTokens: number;
    readonly load: serverLoads.PlacedCall;
    readonly prefill: prefills.PrefillHandle;
}

export interface Placing {
    readonly admission: admissions.Admission;
    readonly choice: callPlacements.ServerChoice;
    /** Number of the attempt, from 1. */
    readonly attempt: number;
    readonly log: (name: event.EventName, fields: event.Fields) => void;
}

/**
 * Counts the call at its server at once: the calls of one pass of the queue are placed one after the other, and each has
 * to see those before it.
 */
export function place(ports: types.CallPorts, { admission, choice, attempt, log }: Placing): PlacedCall {
    const now = ports.clock.now();
    const { head, service } = admission;
    const { candidate } = choice;
    admission.placement.triedServers.add(candidate.server.id);
    const budget = ports.retryBudgets.of(service, now);
    if (attempt === 1) {
        budget.recordRequest(now);
    }
    const cacheLookup = admission.cache.lookUp(candidate, choice.isPreferred, now);
    const uncachedTokens = Math.max(0, head.promptTokens - cacheLookup.cachedTokens);
    log("call-placed", {
        backendServer: candidate.server.id,
        attempt,
        costMs: Math.round(choice.costMs),
        isHome: choice.isPreferred,
        calls: Math.round(candidate.calls),
        ...statedFields(candidate.stated),
        unreadTokens: Math.round(candidate.pendingPromptTokens),
        cachedTokens: cacheLookup.cachedTokens,
        part: admission.cache.lastSharedPartId,
        fetchFrom: cacheLookup.plan?.fetchFrom,
        saves: cacheLookup.plan?.saveTo !== undefined,
        weights: candidate.weightsVersion,
        isCold: candidate.isCold === true ? true : undefined,
        prompt: admission.placement.promptKind,
        group: choice.group,
        serverLimit: ports.serverLimits.limitOf(candidate.server.id),
        configuration: ports.view.routingTable?.configuration.version,
        serversRevision: ports.view.serversRevision,
    });
    ports.serverLimits.recordRequest(candidate.server.id, now);
    ports.coldServers?.recordTraffic();
    ports.demand.record(service, uncachedTokens, head.promptTokens, now);
    const prefill = admission.cache.beginPrefill(candidate, cacheLookup, now);
    // Nothing after this may throw, since the call would then count at its server without an owner.
    const load = ports.serverLoad.place(candidate.server.id, uncachedTokens);
    const demand = admission.placement.countDemand(choice, uncachedTokens, now);
    return {
        choice,
        cacheLookup,
        uncachedTokens,
        load,
        prefill,
        [Symbol.dispose]: () => {
            prefill[Symbol.dispose]();
            load[Symbol.dispose]();
            demand[Symbol.dispose]();
        },
    };
}

function statedFields(stated: placement.Candidate["stated"]): event.Fields {
    return stated === undefined ? {} : { pace: Number(stated.pace.toFixed(2)), statedMsAgo: Math.round(stated.ageMs) };
}
