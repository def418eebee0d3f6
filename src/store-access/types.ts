/** The platform's store of objects by kind and name, as the controllers use it. */
import type * as outcomes from "../core/outcome.js";

export interface StoredRecord {
    readonly name: string;
    /** Revision of the store at which the record was last changed. */
    readonly revision: number;
    readonly spec: unknown;
    /** The record is marked for removal. */
    readonly isDeleting: boolean;
}

export interface Listing {
    /** Revision of the store that the listing shows. */
    readonly revision: number;
    readonly records: readonly StoredRecord[];
}

export interface Change {
    readonly record: StoredRecord;
    readonly isDeleted: boolean;
}

export interface Changes {
    /** Revision to continue from. */
    readonly revision: number;
    readonly changes: readonly Change[];
}

/** Fails with `store-unavailable` when the store did not answer. */
export interface RecordStore {
    list(kind: string): Promise<outcomes.Outcome<Listing>>;
    /** Waits up to `waitMs` for changes. Fails with `store-history-lost` when the revision is too old. */
    watch(kind: string, afterRevision: number, waitMs: number): Promise<outcomes.Outcome<Changes>>;
    /** Creates or replaces a record without a condition. */
    put(kind: string, name: string, spec: unknown): Promise<outcomes.Outcome<undefined>>;
}
