/** Index of cached prompt parts: those in cache stores and those in the memory of servers. */
import * as hashing from "../core/hashing.js";
import type * as peering from "../peering/types.js";
import type * as types from "./types.js";

/**
 * Time in milliseconds for which a server is assumed to keep a part that it has prefilled; under load, engines evict
 * within seconds.
 */
const SERVER_RETENTION_MS = 2500;
/** Time in milliseconds for which a part is assumed to remain in a store that is not followed, if nothing evicts it. */
const STORE_RETENTION_MS = 60_000;
/** Time in milliseconds from the end of a part's prefill until the store's change feed shows the part. */
const SAVE_DELAY_MS = 600;
/** Time in milliseconds for which a store is not used after it did not respond; it is tried again every second. */
const UNREACHABLE_MS = 1500;
/** Time in milliseconds for which heartbeats announce a save, so that a single lost datagram does not hide it. */
const ANNOUNCEMENT_MS = 1200;
/** Saved parts, and parts of all stores together, that are tracked; the largest deployment has about ten thousand in use. */
const MAXIMUM_TRACKED_PARTS = 50_000;
/** Parts of which the last hits are tracked; those of the last seconds count. */
const MAXIMUM_HIT_PARTS = 10_000;
/** Part of a limit that is in use after an eviction. */
const KEPT_SHARE = 0.95;
/** Characters of a key up to which it is kept; a longer one is replaced by its hashes. */
const KEY_LENGTH = 120;
/** Servers that are remembered for a part, and stores in all. */
const MAXIMUM_SERVERS = 64;
const MAXIMUM_STORES = 256;
/** Saves that a heartbeat announces. */
const MAXIMUM_ANNOUNCEMENTS = 500;
const NO_SERVERS: types.ServerIds = new Set();

interface Save {
    /** Tokens saved until then, by all entries, this part included. */
    readonly position: number;
    readonly savedAt: number;
}

/** A part stored in or evicted from a cache store. */
export interface CacheChange {
    readonly isStored: boolean;
    readonly scope: string;
    readonly part: string;
}

export class CacheIndex {
    /** Parts by store address; a store without an entry is not followed. */
    private readonly partsByStore = new Map<string, Set<string>>();
    /** Parts that this entry or a peer saved, by part hash, the oldest first. */
    private readonly saves = new Map<number, Save>();
    private savedTokens = 0;
    /** Latest known incarnation of each store, by address. */
    private readonly incarnations = new Map<string, string>();
    /** End of the time in which a store is not used, by address. */
    private readonly unreachableUntil = new Map<string, number>();
    /** Capacity of all stores together in tokens. */
    private capacityTokens = Number.POSITIVE_INFINITY;
    /** Saves of this entry's calls, for its heartbeats. */
    private announcements: (peering.SavedPart & { readonly savedAt: number; })[] = [];
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
            const key = cacheKey(scope, part);
            // The parts that were stored last are kept if the store does not tell of its evictions.
            parts.delete(key);
            if (isStored) {
                parts.add(key);
                evictOldest(parts, MAXIMUM_TRACKED_PARTS / this.partsByStore.size);
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
        servers.delete(server);
        servers.set(server, now);
        evictOldest(servers, MAXIMUM_SERVERS);
        evictOldest(this.lastHitAt, MAXIMUM_HIT_PARTS);
    }

    /** Records what this entry or a peer learned by following a store. A store that restarted has lost all parts. */
    applyStoreStatus({ address, incarnation }: peering.CacheStoreStatus, now: number): void {
        if (incarnation === undefined) {
            this.unreachableUntil.delete(address);
            this.unreachableUntil.set(address, now + UNREACHABLE_MS);
            evictOldest(this.unreachableUntil, MAXIMUM_STORES);
            return;
        }
        this.unreachableUntil.delete(address);
        const known = this.incarnations.get(address);
        this.incarnations.delete(address);
        this.incarnations.set(address, incarnation);
        evictOldest(this.incarnations, MAXIMUM_STORES);
        if (known !== undefined && known !== incarnation) {
            // A save does not tell its store; parts of the others are saved again in the worst case.
            this.saves.clear();
        }
    }

    /** The store did not respond to the entries that follow it. */
    isUnreachable(store: string, now: number): boolean {
        return now < (this.unreachableUntil.get(store) ?? Number.NEGATIVE_INFINITY);
    }

    /** Sets the capacity of all stores together in tokens, which bounds how many saved parts they can still hold. */
    setCapacity(tokens: number): void {
        this.capacityTokens = tokens;
    }

    /** Records that a server has prefilled the part for a call of this entry and saves `tokens` with it to the store. */
    recordStoreSave(store: string, scope: string, part: string, tokens: number, now: number): void {
        const partHash = savedPartHash(store, scope, part);
        this.announcements.push({ partHash, tokens, savedAt: now });
        if (this.announcements.length > 2 * MAXIMUM_ANNOUNCEMENTS) {
            this.announcements = this.announcements.slice(-MAXIMUM_ANNOUNCEMENTS);
        }
        this.recordSave(partHash, tokens, now);
    }

    /** Saves of this entry's calls in the last moments, for the next heartbeat. */
    announcedSaves(now: number): readonly peering.SavedPart[] {
        this.announcements = this.announcements.filter(({ savedAt }) => now - savedAt < ANNOUNCEMENT_MS);
        return this.announcements.slice(-MAXIMUM_ANNOUNCEMENTS).map(({ partHash, tokens }) => ({ partHash, tokens }));
    }

    /** Records the saves that a peer announces. Entries that do not follow a store know its content from them. */
    applyPeerSaves(parts: readonly peering.SavedPart[], now: number): void {
        for (const { partHash, tokens } of parts) {
            const known = this.saves.get(partHash);
            if (known === undefined || now - known.savedAt >= ANNOUNCEMENT_MS) {
                this.recordSave(partHash, tokens, now);
            }
        }
    }

    /**
     * The store holds the part, as far as this entry knows. The content of a store that is not followed is estimated: it
     * evicts a part at the earliest when as many tokens as it can hold have been saved after the part.
     */
    isInStore(store: string, scope: string, part: string, now: number): boolean {
        const parts = this.partsByStore.get(store);
        const save = this.saves.get(savedPartHash(store, scope, part));
        const ageMs = now - (save?.savedAt ?? Number.NEGATIVE_INFINITY);
        if (parts !== undefined) {
            // A part that was just saved may not have appeared in the change feed yet.
            return parts.has(cacheKey(scope, part)) || ageMs < SAVE_DELAY_MS;
        }
        return save !== undefined && ageMs < STORE_RETENTION_MS
            && this.savedTokens - save.position < this.capacityTokens;
    }

    /** Servers that recently responded to a call of this entry with the part. */
    holders(scope: string, part: string, now: number): types.ServerIds {
        const servers = this.lastHitAt.get(cacheKey(scope, part));
        if (servers === undefined) {
            return NO_SERVERS;
        }
        return new Set([...servers].filter(([, at]) => now - at < SERVER_RETENTION_MS).map(([server]) => server));
    }

    private recordSave(partHash: number, tokens: number, now: number): void {
        this.savedTokens += tokens;
        // Re-inserting the key keeps the map in the order of the saves.
        this.saves.delete(partHash);
        this.saves.set(partHash, { position: this.savedTokens, savedAt: now });
        evictOldest(this.saves);
    }
}

function savedPartHash(store: string, scope: string, part: string): number {
    return hashing.hash32(`${store} ${scope} ${part}`);
}

function cacheKey(scope: string, part: string): string {
    const key = `${scope} ${part}`;
    return key.length <= KEY_LENGTH ? key : `${key.length} ${hashing.hash32(key)} ${hashing.hash32(part)}`;
}

/** Evicts several keys at once, since the first key of a map is found slowly once many before it were deleted. */
function evictOldest<Key>(keys: Map<Key, unknown> | Set<Key>, maximum = MAXIMUM_TRACKED_PARTS): void {
    if (keys.size <= maximum) {
        return;
    }
    let excess = keys.size - maximum * KEPT_SHARE;
    for (const key of keys.keys()) {
        if (excess <= 0) {
            return;
        }
        keys.delete(key);
        excess--;
    }
}
