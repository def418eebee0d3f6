/** Cached parts of one call's prompt: where they are, who reads them now, and what the call leaves. */
import type * as fleet from "../fleet/types.js";
import * as cachePlans from "../placement/cache-plan.js";
import type * as readings from "../placement/readings.js";
import type * as placement from "../placement/types.js";
import type * as types from "./types.js";

/** Where a call finds cached parts at a server. */
export interface CacheUse {
    /** Text under which cached parts are found; undefined without a model. */
    readonly scope: string | undefined;
    readonly plan: cachePlans.CachePlan | undefined;
    /** Tokens of the prompt that the server most likely need not read. */
    readonly cachedTokens: number;
}

const NO_SERVERS: ReadonlySet<string> = new Set();

export class PromptCache {
    private readonly shared: fleet.PromptPart | undefined;

    constructor(
        private readonly ports: types.CallPorts,
        private readonly head: fleet.CallHead,
        private readonly customer: fleet.Customer | undefined,
    ) {
        this.shared = cachePlans.lastSharedPart(head.parts);
    }

    /** The part that decides about the call's place; undefined without shared parts. */
    get part(): string | undefined {
        return this.shared?.id;
    }

    get sharedTokens(): number {
        return cachePlans.sharedTokens(this.head.parts);
    }

    /** Calls with the same text share parts; a customer behind a wall shares with nobody. */
    get affinityKey(): string | undefined {
        const wall = this.customer?.isolated === true ? this.customer.name : "";
        return this.shared === undefined ? undefined : `${wall}/${this.shared.id}`;
    }

    /** Servers that read the last shared part for the newest weights now. */
    readers(now: number): ReadonlySet<string> {
        const newest = this.ports.view.namedWeights().find(weights => weights.model === this.head.model);
        return this.shared === undefined || newest === undefined
            ? NO_SERVERS
            : this.stateOf(this.shared, newest.version, now).servers;
    }

    /** Another call has a server read a shared part of this one, which the store will have in a moment. */
    isBeingRead(candidate: placement.Candidate, now: number): boolean {
        const version = candidate.weightsVersion;
        return version !== undefined && this.missingParts(version, now).some(part => {
            const state = this.stateOf(part, version, now);
            return state.servers.size > 0 && !state.isRead;
        });
    }

    /** Plans the call's use of caches at a server. */
    useAt(candidate: placement.Candidate, now: number): CacheUse {
        const version = candidate.weightsVersion;
        if (this.head.model === undefined || version === undefined) {
            return { scope: undefined, plan: undefined, cachedTokens: 0 };
        }
        const scope = this.scope(version);
        if (this.shared === undefined) {
            return { scope, plan: undefined, cachedTokens: 0 };
        }
        const { caches, view } = this.ports;
        const holders = caches.holders(scope, this.shared.id, now);
        const holder = view.listed().find(server => server.state === "ready" && holders.has(server.id));
        const { store } = this;
        const isInStore = store !== undefined && (caches.isInStore(store.address, scope, this.shared.id, now)
            || this.stateOf(this.shared, version, now).isRead);
        const plan = cachePlans.planCache({ store, isInStore, holder }, candidate);
        return { scope, plan, cachedTokens: isInStore || holders.size > 0 ? this.sharedTokens : 0 };
    }

    /** Tells the other calls that a server reads the parts that the store lacks. */
    beginReading(candidate: placement.Candidate, now: number): readings.Reading {
        const version = candidate.weightsVersion;
        const missing = version === undefined ? [] : this.missingParts(version, now);
        return this.ports.readings.begin(this.place(version ?? 0), missing, candidate.server.id, now);
    }

    /** The server has read the prompt and saves the parts as planned. */
    noteRead(server: fleet.BackendServer, { scope, plan }: CacheUse, now: number): void {
        if (scope === undefined) {
            return;
        }
        for (const part of this.head.parts.slice(0, -1)) {
            this.ports.caches.noteHeld(scope, part.id, server.id, now);
            if (plan?.saveTo !== undefined) {
                this.ports.caches.noteSaved(plan.saveTo, scope, part.id, now);
            }
        }
    }

    /** Each last shared part has its place in one of the stores, and the parts before it are kept with it. */
    private get store(): fleet.CacheStore | undefined {
        const stores = this.ports.view.table?.configuration.cacheStores ?? [];
        return this.shared === undefined ? undefined : cachePlans.storeOf(this.shared.id, stores);
    }

    private scope(version: number): string {
        return cachePlans.cacheScope(this.head.model ?? "", version, this.customer);
    }

    /** Parts that several last parts share are read once for each store. */
    private place(version: number): string {
        return `${this.scope(version)} ${this.store?.address}`;
    }

    private stateOf(part: fleet.PromptPart, version: number, now: number): readings.PartState {
        return this.ports.readings.stateOf(this.place(version), part.id, this.ports.view.entryBeats(now), now);
    }

    /** Shared parts that the store does not have, as far as is known. */
    private missingParts(version: number, now: number): readonly fleet.PromptPart[] {
        const { store } = this;
        return store === undefined || this.head.model === undefined
            ? []
            : this.head.parts.slice(0, -1).filter(part => {
                return !this.ports.caches.isInStore(store.address, this.scope(version), part.id, now);
            });
    }
}
