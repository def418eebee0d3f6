/** Local copy of all records of one kind, updated from listings and changes. */
import type * as types from "./types.js";

/**
 * Time in milliseconds after an outage of the store during which removed records are kept. The registry removes servers
 * whose heartbeats it could not accept during the outage; servers that run write their records again within two seconds.
 */
const RECOVERY_GRACE_MS = 2200;

export interface KindCopyOptions {
    /** Owners that are still running write their records again after the store removed them during an outage. */
    readonly ownersReregister: boolean;
}

export class KindCopy {
    private readonly recordsByName = new Map<string, types.StoredRecord>();
    /** Times until which removed records are kept, by name. */
    private readonly removalDeadlines = new Map<string, number>();
    private currentRevision = -1;
    private latestChange = -1;
    private graceUntil = Number.NEGATIVE_INFINITY;

    constructor(private readonly options: KindCopyOptions) {}

    /** Revision of the store that the copy reflects; negative before the first listing. */
    get revision(): number {
        return this.currentRevision;
    }

    /** Revision of the newest change that the copy contains. */
    get lastChangeRevision(): number {
        return this.latestChange;
    }

    get isLoaded(): boolean {
        return this.currentRevision >= 0;
    }

    /** Current records, including removed ones within the grace period. */
    records(now: number): readonly types.StoredRecord[] {
        for (const [name, deadline] of this.removalDeadlines) {
            if (now >= deadline) {
                this.removalDeadlines.delete(name);
                this.recordsByName.delete(name);
            }
        }
        return [...this.recordsByName.values()];
    }

    /** Starts the grace period for removed records; called when the store responds again after an outage. */
    storeRecovered(now: number): void {
        this.graceUntil = now + RECOVERY_GRACE_MS;
    }

    /** Replaces the copy with a listing. Returns false if the copy is newer. */
    replace(listing: types.Listing, now: number): boolean {
        if (listing.revision < this.currentRevision) {
            return false;
        }
        const names = new Set(listing.records.map(record => record.name));
        for (const name of this.recordsByName.keys()) {
            if (!names.has(name)) {
                this.remove(name, now);
            }
        }
        for (const record of listing.records) {
            this.upsert(record);
        }
        this.currentRevision = listing.revision;
        return true;
    }

    /** Applies changes made after the copy's revision. */
    apply(batch: types.Changes, now: number): void {
        for (const change of batch.changes) {
            if (change.isDeleted) {
                this.remove(change.record.name, now);
            }
            else {
                this.upsert(change.record);
            }
        }
        if (batch.changes.length > 0) {
            this.latestChange = Math.max(this.latestChange, batch.revision);
        }
        this.currentRevision = Math.max(this.currentRevision, batch.revision);
    }

    private upsert(record: types.StoredRecord): void {
        const known = this.recordsByName.get(record.name);
        if (known !== undefined && known.revision > record.revision) {
            return;
        }
        this.recordsByName.set(record.name, record);
        this.removalDeadlines.delete(record.name);
        this.latestChange = Math.max(this.latestChange, record.revision);
    }

    private remove(name: string, now: number): void {
        if (this.options.ownersReregister && now < this.graceUntil) {
            this.removalDeadlines.set(name, this.removalDeadlines.get(name) ?? this.graceUntil);
            return;
        }
        this.recordsByName.delete(name);
        this.removalDeadlines.delete(name);
    }
}
