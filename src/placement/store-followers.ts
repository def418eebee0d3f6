/** The followers of the cache stores in the configuration. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import type * as fleet from "../fleet/types.js";
import type * as peering from "../peering/types.js";
import type * as cacheIndexes from "./cache-index.js";
import * as followers from "./store-follower.js";

export interface StoreFollowersPorts {
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    readonly source: followers.CacheChangeSource;
    readonly index: cacheIndexes.CacheIndex;
    /** Whether this entry is one of so many that follow a store. */
    readonly mayFollow: (maximumFollowers: number) => boolean;
}

export class StoreFollowers implements AsyncDisposable {
    private readonly byAddress = new Map<string, followers.StoreFollower>();

    constructor(private readonly ports: StoreFollowersPorts) {}

    /** State of the stores that this entry follows, for the next heartbeat. */
    get statuses(): readonly peering.CacheStoreStatus[] {
        return [...this.byAddress.values()].flatMap(follower => follower.status ?? []);
    }

    /** Starts followers for the stores and stops those of removed ones. */
    follow(stores: readonly fleet.CacheStore[]): void {
        const { mayFollow, ...ports } = this.ports;
        ports.index.setCapacity(stores.reduce((sum, store) => sum + store.memoryTokens, 0));
        for (const [address, follower] of this.byAddress) {
            if (!stores.some(store => store.address === address)) {
                void follower[Symbol.asyncDispose]();
                this.byAddress.delete(address);
            }
        }
        for (const { address, maximumFollowers } of stores.filter(store => !this.byAddress.has(store.address))) {
            const follower = new followers.StoreFollower({
                ...ports,
                address,
                mayFollow: () => mayFollow(maximumFollowers),
            });
            this.byAddress.set(address, follower);
            follower.start();
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await Promise.all([...this.byAddress.values()].map(follower => follower[Symbol.asyncDispose]()));
    }
}
