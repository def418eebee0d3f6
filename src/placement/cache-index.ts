/** Index of cached prompt parts: those in cache stores and those in the memory of servers. */
import type * as types from "./types.js";

/**
 * Time in milliseconds for which a server is assumed to keep a part that it has prefilled; under load, engines evict
 * within seconds.
 */
const SERVER_RETENTION_MS = 2500;
/** Time in milliseconds for which a part is assumed to remain in a store that is not followed. */
const STORE_RETENTION_MS = 12_000;
/** Size limit of each map; the largest deployment has about ten thousand parts in use. */
const MAXIMUM_TRACKED_PARTS = 50_000;

/** A part stored in or evicted from a cache store. */
export interface CacheChange {
    readonly isStored: boolean;
    readonly scope: string;
    readonly part: string;
}

export class CacheIndex {
    /** Parts by store address; a store without an entry is not followed. */
    private readonly partsByStore = new Map<string, Set<string>>();
    /** Time at which a part was last saved, by store and part. */
    private readonly savedAt = new Map<string, number>();
    /** Time at which a server last responded to a call with a part, by part and server. */
    private readonly lastHitAt = new Map<string, Map<string, number>>();

    /** Starts to follow a store. Its content counts as empty until changes arrive. */
    beginFollowing(store: string): void {
        this.partsByStore.set(store, new Set());
    }

    /** Stops following a store. From now on its content is estimated from the saves of this entry's calls. */
    stopFollowing(store: string): void {
        this.partsByStore.delete(store);
    }

    apply(store: string, changes: readonly CacheChange[]): void {
        const parts = this.partsByStore.get(store) ?? new Set<string>();
        this.partsByStore.set(store, parts);
        for (const { isStored, scope, part } of changes) {
            if (isStored) {
                parts.add(cacheKey(scope, part));
            }
            else {
                parts.delete(cacheKey(scope, part));
            }
        }
    }

    /**
     * Records that a server responded to a call with this shared part. Sending the call is not enough, since the server may
     * reject it before prefill.
     */
    recordServerHit(scope: string, part: string, server: string, now: number): void {
        const key = cacheKey(scope, part);
        const servers = this.lastHitAt.get(key) ?? new Map<string, number>();
        // Re-inserting the key keeps the map in least-recently-used order.
        this.lastHitAt.delete(key);
        this.lastHitAt.set(key, servers);
        servers.set(server, now);
        evictOldest(this.lastHitAt);
    }

    /** Records that a server has prefilled the part and saves it to the store. */
    recordStoreSave(store: string, scope: string, part: string, now: number): void {
        const key = `${store} ${cacheKey(scope, part)}`;
        this.savedAt.delete(key);
        this.savedAt.set(key, now);
        evictOldest(this.savedAt);
    }

    /** The store holds the part, as far as this entry knows. */
    isInStore(store: string, scope: string, part: string, now: number): boolean {
        const key = cacheKey(scope, part);
        const parts = this.partsByStore.get(store);
        // A part that was just saved may not have appeared in the change feed yet.
        const savedAt = this.savedAt.get(`${store} ${key}`) ?? Number.NEGATIVE_INFINITY;
        return parts === undefined
            ? now - savedAt < STORE_RETENTION_MS
            : parts.has(key) || now - savedAt < SAVE_DELAY_MS;
    }

    /** Servers that recently responded to a call of this entry with the part. */
    holders(scope: string, part: string, now: number): types.ServerIds {
        const servers = this.lastHitAt.get(cacheKey(scope, part));
        if (servers === undefined) {
            return NO_SERVERS;
        }
        return new Set([...servers].filter(([, at]) => now - at < SERVER_RETENTION_MS).map(([server]) => server));
    }
}

/** Time in milliseconds from the end of a part's prefill until the store's change feed shows the part. */
const SAVE_DELAY_MS = 600;
const NO_SERVERS: types.ServerIds = new Set();

function cacheKey(scope: string, part: string): string {
    return `${scope} ${part}`;
}

function evictOldest(map: Map<string, unknown>): void {
    if (map.size > MAXIMUM_TRACKED_PARTS) {
        map.delete(map.keys().next().value!);
    }
}
