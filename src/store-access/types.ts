/** Interface to the platform's store, which holds records by kind and name. */
import type * as outcomes from "../core/outcome.js";

export interface StoredRecord {
    readonly name: string;
    /** Revision of the store at which the record was last changed. */
    readonly revision: number;
    readonly spec: unknown;
    /** What the system reports on the record; undefined if it never did. */
    readonly status?: unknown;
    /** The record is marked for removal. */
    readonly isDeleting: boolean;
    /** Size in bytes of the spec and the status if they were left out, since there was no room for them. */
    readonly lostBytes?: number;
}

/** A state of the store. */
export interface Position {
    /**
     * Rises by one each time that the store comes back from an older copy of itself; 0 if the store does not tell. It has
     * then lost its last changes and gives out their revisions again.
     */
    readonly era: number;
    /** Rises with each change within an era. */
    readonly revision: number;
}

/** What a process shows of a record in place of what the store has. */
export interface HeldRecord {
    readonly name: string;
    /** Undefined if the record is hidden. */
    readonly record: StoredRecord | undefined;
    /** Time in milliseconds until it shows the state of the store; undefined if only a later state ends this one. */
    readonly remainingMs: number | undefined;
}

/** All records of a kind, at the position of the store that they reflect. */
export interface Listing extends Position {
    readonly records: readonly StoredRecord[];
    /** Only in the copy of a peer, as well as the next field. */
    readonly held?: readonly HeldRecord[];
    /** Time in milliseconds for which the peer keeps removed records, since the store was away; 0 if it does not. */
    readonly graceMs?: number;
}

export interface Change {
    readonly record: StoredRecord;
    readonly isDeleted: boolean;
}

/** Changes of a kind, at the position of the store after which the next watch call continues. */
export interface Changes extends Position {
    readonly changes: readonly Change[];
}

export interface ReadOptions {
    /** Open connections are suspected of being silent: the call and all later ones use new connections. */
    readonly onNewConnection?: boolean;
    /** Gives the call up when it is aborted. */
    readonly signal?: AbortSignal;
    /** Called if there is no response at a time by which the store usually responds. The call goes on. */
    readonly onOverdue?: () => void;
}

export interface WatchOptions extends ReadOptions {
    /** Longest wait for a change in milliseconds. */
    readonly waitMs: number;
    /** The store may answer from a copy that is seconds old, which costs it less. */
    readonly mayBeStale: boolean;
}

/**
 * The platform's store. Each method fails with `store-unavailable` if the store refused the call, and with
 * `store-no-response` if no response arrived.
 */
export interface RecordStore {
    /** Lists all records of a kind. */
    list(kind: string, options?: ReadOptions): Promise<outcomes.Outcome<Listing>>;
    /**
     * Waits for changes. Fails with `store-history-lost` if the store does not have the revision. It takes only a revision:
     * in another era than the one that the revision is from, the changes may be incomplete.
     */
    watch(kind: string, afterRevision: number, options: WatchOptions): Promise<outcomes.Outcome<Changes>>;
    /** Creates or replaces a record unconditionally. */
    put(kind: string, name: string, spec: unknown): Promise<outcomes.Outcome<undefined>>;
    /** Replaces the status of a record. Fails with `store-conflict` if the record has changed since the revision. */
    putStatus(kind: string, name: string, status: unknown, revision: number): Promise<outcomes.Outcome<undefined>>;
}
