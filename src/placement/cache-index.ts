/** What an entry knows of cached prompt parts: those in the store of cached parts, and those that servers hold. */
import type * as types from "./types.js";

/** Time in milliseconds for which a part is expected at a server that has read it; under load engines evict within seconds. */
const SERVER_RETENTION_MS = 2500;
/** Time in milliseconds for which a part is expected in a store that is not followed. */
const STORE_RETENTION_MS = 12_000;
/** Parts that are remembered; the largest deployment has some ten thousand in use. */
const MAXIMUM_PARTS = 50_000;

/** One change of the content of a store of cached parts. */
export interface CacheChange {
    readonly isStored: boolean;
    readonly scope: string;
    readonly part: string;
}

export class CacheIndex {
    /** Parts by the address of the store; stores without an entry are not followed. */
    private readonly stored = new Map<string, Set<string>>();
    /** Moment at which a part was saved, by store and part. */
    private readonly saved = new Map<string, number>();
    /** Moment at which a server last answered a call with a part, by part and server. */
    private readonly held = new Map<string, Map<string, number>>();

    /** Begins to follow a store whose content is unknown. */
    follow(store: string): void {
        this.stored.set(store, new Set());
    }

    /** A store is not followed any more. */
    forget(store: string): void {
        this.stored.delete(store);
    }

    apply(store: string, changes: readonly CacheChange[]): void {
        const parts = this.stored.get(store) ?? new Set<string>();
        this.stored.set(store, parts);
        for (const { isStored, scope, part } of changes) {
            if (isStored) {
                parts.add(key(scope, part));
            }
            else {
                parts.delete(key(scope, part));
            }
        }
    }

    /** A server answered a call with this shared part. A call that is only sent may be turned away unread. */
    noteHeld(scope: string, part: string, server: string, now: number): void {
        const name = key(scope, part);
        const servers = this.held.get(name) ?? new Map<string, number>();
        // Sets the part to the end, so that the first ones are those that were not used for longest.
        this.held.delete(name);
        this.held.set(name, servers);
        servers.set(server, now);
        dropFirst(this.held);
    }

    /** A server has read the part and saves it to the store. */
    noteSaved(store: string, scope: string, part: string, now: number): void {
        const name = `${store} ${key(scope, part)}`;
        this.saved.delete(name);
        this.saved.set(name, now);
        dropFirst(this.saved);
    }

    /** The store holds the part, as far as this entry knows. */
    isInStore(store: string, scope: string, part: string, now: number): boolean {
        const name = key(scope, part);
        const parts = this.stored.get(store);
        // A part that was just saved may not have shown up in the changes yet.
        const savedAt = this.saved.get(`${store} ${name}`) ?? Number.NEGATIVE_INFINITY;
        return parts === undefined
            ? now - savedAt < STORE_RETENTION_MS
            : parts.has(name) || now - savedAt < SAVE_DELAY_MS;
    }

    /** Servers that lately answered a call of this entry with the part. */
    holders(scope: string, part: string, now: number): types.Holders {
        const servers = this.held.get(key(scope, part));
        if (servers === undefined) {
            return EMPTY;
        }
        return new Set([...servers].filter(([, at]) => now - at < SERVER_RETENTION_MS).map(([server]) => server));
    }
}

/** Time in milliseconds that a part takes from being read until the store tells of it. */
const SAVE_DELAY_MS = 600;
const EMPTY: types.Holders = new Set();

function key(scope: string, part: string): string {
    return `${scope} ${part}`;
}

function dropFirst(map: Map<string, unknown>): void {
    if (map.size > MAXIMUM_PARTS) {
        map.delete(map.keys().next().value!);
    }
}
