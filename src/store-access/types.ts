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
}

export interface Listing {
    /** Rises by one each time that the store comes back from an older copy of itself; 0 if the store does not tell. */
    readonly era: number;
    /** Revision of the store that the listing reflects. */
    readonly revision: number;
    readonly records: readonly StoredRecord[];
}

export interface Change {
    readonly record: StoredRecord;
    readonly isDeleted: boolean;
}

export interface Changes {
    /** Era of the store, as in a listing. */
    readonly era: number;
    /** Revision after which the next watch call continues. */
    readonly revision: number;
    readonly changes: readonly Change[];
}

export interface WatchOptions {
    /** Longest wait for a change in milliseconds. */
    readonly waitMs: number;
    /** The store may answer from a copy that is seconds old, which costs it less. */
    readonly mayBeStale: boolean;
}

/** The platform's store. Each method fails with `store-unavailable` if the store did not respond. */
export interface RecordStore {
    /** Lists all records of a kind. */
    list(kind: string): Promise<outcomes.Outcome<Listing>>;
    /** Waits for changes. Fails with `store-history-lost` if the revision is too old. */
    watch(kind: string, afterRevision: number, options: WatchOptions): Promise<outcomes.Outcome<Changes>>;
    /** Creates or replaces a record unconditionally. */
    put(kind: string, name: string, spec: unknown): Promise<outcomes.Outcome<undefined>>;
    /** Replaces the status of a record. Fails with `store-conflict` if the record has changed since the revision. */
    putStatus(kind: string, name: string, status: unknown, revision: number): Promise<outcomes.Outcome<undefined>>;
}
