/** Copy of all records of one kind, kept by listing and by changes. */
import type * as types from "./types.js";

/**
 * Time after the return of the store in which records that are missing are kept: the registry removes servers whose
 * heartbeats it could not take, and these write again within two seconds.
 */
const RETURN_GRACE_MS = 2200;

export interface KindCopyOptions {
    /** Records that vanish during an outage come back by themselves when their owner lives. */
    readonly ownersWriteAgain: boolean;
}

export class KindCopy {
    private readonly entries = new Map<string, types.StoredRecord>();
    /** Missing records with the time until which they are kept. */
    private readonly missing = new Map<string, number>();
    private asOf = -1;
    private changed = -1;
    private graceUntil = Number.NEGATIVE_INFINITY;

    constructor(private readonly options: KindCopyOptions) {}

    /** Revision of the store that the copy shows; negative before the first listing. */
    get revision(): number {
        return this.asOf;
    }

    /** Revision of the newest change that the copy contains. */
    get changedAt(): number {
        return this.changed;
    }

    get isLoaded(): boolean {
        return this.asOf >= 0;
    }

    records(now: number): readonly types.StoredRecord[] {
        for (const [name, until] of this.missing) {
            if (now >= until) {
                this.missing.delete(name);
                this.entries.delete(name);
            }
        }
        return [...this.entries.values()];
    }

    /** The store answers again after an outage. */
    storeReturned(now: number): void {
        this.graceUntil = now + RETURN_GRACE_MS;
    }

    /** Replaces the copy by a listing. False when the copy is at least as new. */
    replace(listing: types.Listing, now: number): boolean {
        if (listing.revision < this.asOf) {
            return false;
        }
        const names = new Set(listing.records.map(record => record.name));
        for (const name of this.entries.keys()) {
            if (!names.has(name)) {
                this.remove(name, now);
            }
        }
        for (const record of listing.records) {
            this.store(record);
        }
        this.asOf = listing.revision;
        return true;
    }

    /** Applies changes that follow the copy's revision. */
    apply(batch: types.Changes, now: number): void {
        for (const change of batch.changes) {
            if (change.isDeleted) {
                this.remove(change.record.name, now);
            }
            else {
                this.store(change.record);
            }
        }
        if (batch.changes.length > 0) {
            this.changed = Math.max(this.changed, batch.revision);
        }
        this.asOf = Math.max(this.asOf, batch.revision);
    }

    private store(record: types.StoredRecord): void {
        const known = this.entries.get(record.name);
        if (known !== undefined && known.revision > record.revision) {
            return;
        }
        this.entries.set(record.name, record);
        this.missing.delete(record.name);
        this.changed = Math.max(this.changed, record.revision);
    }

    private remove(name: string, now: number): void {
        if (this.options.ownersWriteAgain && now < this.graceUntil) {
            this.missing.set(name, this.missing.get(name) ?? this.graceUntil);
            return;
        }
        this.entries.delete(name);
        this.missing.delete(name);
    }
}
