/** Locates the cached parts of one call's prompt, and records the parts that the call prefills and saves. */
import type * as fleet from "../fleet/types.js";
import * as cachePlans from "../placement/cache-plan.js";
import type * as homeRegions from "../placement/homes.js";
import type * as prefills from "../placement/prefills.js";
import type * as placement from "../placement/types.js";
import type * as types from "./types.js";

/** Cached parts that a call can use at a server. */
export interface CacheLookup {
    /** Namespace of the cached parts; undefined without a model or while the server's weights version is unknown. */
    readonly scope: string | undefined;
    readonly plan: cachePlans.CachePlan | undefined;
    /** Prompt tokens that the server most likely does not need to prefill. */
    readonly cachedTokens: number;
}

const NO_SERVERS: ReadonlySet<string> = new Set();

export class PromptCacheAccess {
    private readonly lastSharedPart: fleet.PromptPart | undefined;

    constructor(
        private readonly ports: types.CallPorts,
        private readonly head: fleet.CallHead,
        private readonly customer: fleet.Customer | undefined,
        /** Where cached parts may be; undefined for anywhere. */
        private readonly homes?: homeRegions.Homes,
    ) {
        this.lastSharedPart = cachePlans.lastSharedPart(head.parts);
    }

    /** Id of the part by which servers and stores are chosen; undefined without shared parts. */
    get lastSharedPartId(): string | undefined {
        return this.lastSharedPart?.id;
    }

    /** Tokens of the parts that other calls may share. */
    get sharedTokens(): number {
        return cachePlans.sharedTokens(this.head.parts);
    }

    /** Key for server affinity. Calls with the same key share parts; an isolated customer shares with no other. */
    get affinityKey(): string | undefined {
        const isolationPrefix = this.customer?.isolated === true ? this.customer.name : "";
        return this.lastSharedPart === undefined ? undefined : `${isolationPrefix}/${this.lastSharedPart.id}`;
    }

    /** Ids of the servers that prefill or hold the last shared part with the newest weights, while no store has it. */
    prefillingServers(now: number): ReadonlySet<string> {
        const newest = this.ports.view.desiredWeights().find(weights => weights.model === this.head.model);
        const part = this.lastSharedPart;
        if (part === undefined || newest === undefined || !this.missingParts(newest.version, now).includes(part)) {
            return NO_SERVERS;
        }
        return this.prefillState(part, newest.version, now).servers;
    }

    /** Whether a shared part of this call is being prefilled for another call. The store will have it shortly. */
    isBeingPrefilled(candidate: placement.Candidate, now: number): boolean {
        const version = candidate.weightsVersion;
        return version !== undefined && this.missingParts(version, now).some(part => {
            const state = this.prefillState(part, version, now);
            return state.servers.size > 0 && state.holders.size === 0;
        });
    }

    /** Finds the cached parts for the call at a server, and plans from where to fetch and where to save parts. */
    lookUp(candidate: placement.Candidate, isPreferred: boolean, now: number): CacheLookup {
        const version = candidate.weightsVersion;
        if (this.head.model === undefined || version === undefined) {
            return { scope: undefined, plan: undefined, cachedTokens: 0 };
        }
        const scope = this.cacheScope(version);
        if (this.lastSharedPart === undefined) {
            return { scope, plan: undefined, cachedTokens: 0 };
        }
        const { cacheIndex } = this.ports;
        const assignedStore = this.store;
        const isReachable = assignedStore !== undefined && !cacheIndex.isUnreachable(assignedStore.address, now);
        const store = isReachable ? assignedStore : undefined;
        const isInStore = store !== undefined
            && cacheIndex.isInStore(store.address, scope, this.lastSharedPart.id, now);
        const holders = this.holders(scope, this.lastSharedPart, version, now);
        const isHolder = holders.has(candidate.server.id);
        const holder = this.ports.view.listedServers().find(server => {
            return server.state === "ready" && server.id !== candidate.server.id && holders.has(server.id)
                && this.isInHomes(server.dataCentre);
        });
        const plan = cachePlans.planCache({
            store,
            isInStore,
            holder,
            isHolder,
            isPreferred,
            sharedTokens: this.sharedTokens,
            promptTokens: this.head.promptTokens,
        }, { budget: this.ports.transferBudget, now });
        const isCached = isHolder || plan.fetchFrom !== undefined && (isInStore || holder !== undefined);
        return { scope, plan, cachedTokens: isCached ? this.sharedTokens : 0 };
    }

    /** Servers that hold the part: they answered a call with it recently, or have just prefilled it. */
    private holders(scope: string, part: fleet.PromptPart, version: number, now: number): ReadonlySet<string> {
        const { holders } = this.prefillState(part, version, now);
        const recent = this.ports.cacheIndex.holders(scope, part.id, now);
        return holders.size === 0 ? recent : new Set([...holders, ...recent]);
    }

    /** Announces to other calls that a server prefills the parts that no store has, and then that it holds all parts. */
    beginPrefill(candidate: placement.Candidate, lookup: CacheLookup, now: number): prefills.PrefillHandle {
        const version = candidate.weightsVersion;
        const isMissing = version !== undefined && lookup.cachedTokens < this.sharedTokens;
        const missing = isMissing ? this.missingParts(version, now) : [];
        const shared = version === undefined ? [] : this.head.parts.slice(0, -1);
        return this.ports.prefills.begin(this.storeScope(version ?? 0), missing, candidate.server.id, now, shared);
    }

    /** Records that the server has prefilled the prompt and saves the parts as planned. */
    recordPrefill(server: fleet.BackendServer, { scope, plan }: CacheLookup, now: number): void {
        if (scope === undefined) {
            return;
        }
        const uniqueTokens = this.head.parts.at(-1)?.tokens ?? 0;
        for (const part of this.head.parts.slice(0, -1)) {
            this.ports.cacheIndex.recordServerHit(scope, part.id, server.id, now);
            if (plan?.saveTo !== undefined) {
                const savedTokens = part.tokens + (part === this.lastSharedPart ? uniqueTokens : 0);
                this.ports.cacheIndex.recordStoreSave(plan.saveTo, scope, part.id, savedTokens, now);
            }
        }
    }

    /** The store that is assigned to the last shared part; the parts before it are kept in the same store. */
    private get store(): fleet.CacheStore | undefined {
        const all = this.ports.view.routingTable?.configuration.cacheStores ?? [];
        const stores = all.filter(store => this.isInHomes(store.dataCentre));
        return this.lastSharedPart === undefined ? undefined : cachePlans.storeForPart(this.lastSharedPart.id, stores);
    }

    private isInHomes(dataCentre: string): boolean {
        return this.homes === undefined || this.homes.includes(dataCentre);
    }

    private cacheScope(version: number): string {
        return cachePlans.cacheScope(this.head.model ?? "", version, this.customer, this.homes);
    }

    /** Scope of prefills: a part that several last shared parts have in common is prefilled once per store. */
    private storeScope(version: number): string {
        return `${this.cacheScope(version)} ${this.store?.address}`;
    }

    private prefillState(part: fleet.PromptPart, version: number, now: number): prefills.PrefillState {
        return this.ports.prefills.stateOf(this.storeScope(version), part.id, now);
    }

    /** Shared parts that, as far as is known, are missing in the store. */
    private missingParts(version: number, now: number): readonly fleet.PromptPart[] {
        const { store } = this;
        return store === undefined || this.head.model === undefined
            ? []
            : this.head.parts.slice(0, -1).filter(part => {
                return !this.ports.cacheIndex.isInStore(store.address, this.cacheScope(version), part.id, now);
            });
    }
}
