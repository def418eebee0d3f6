/** Local copy of all records of one kind, updated from listings and changes. */
import * as positions from "./position.js";
import type * as restoration from "./restoration.js";
import type * as types from "./types.js";

/**
 * Time in milliseconds after an outage of the store during which removed records are kept. The registry removes servers
 * whose heartbeats it could not accept during the outage; servers that run write their records again within two seconds.
 */
const RECOVERY_GRACE_MS = 2200;
/**
 * Time in milliseconds after which the restored store is believed where the known state contradicts it. Until then owners
 * have written again what was lost, and the registry has removed the servers that do not send heartbeats.
 */
const RESTORATION_GRACE_MS = 6000;
/** Time in milliseconds for which removed records are remembered; a restored store is some seconds old. */
const REMOVAL_RETENTION_MS = 120_000;

export interface KindCopyOptions {
    /** Owners that are still running write their records again after the store removed them during an outage. */
    readonly ownersReregister: boolean;
    readonly restoration: restoration.RestorationPolicy;
}

/** What the store has of a record, while the copy still has an earlier state of it; undefined if it is removed. */
interface PendingState {
    readonly record: types.StoredRecord | undefined;
    /** Time in milliseconds from which the copy has it too. */
    readonly appliesAt: number;
}

interface RemovedRecord {
    readonly record: types.StoredRecord;
    readonly removedAt: number;
}

export class KindCopy {
    private readonly recordsByName = new Map<string, types.StoredRecord>();
    private readonly pending = new Map<string, PendingState>();
    private readonly removed = new Map<string, RemovedRecord>();
    private currentPosition = positions.NOWHERE;
    private latestChange = positions.NOWHERE;
    private graceUntil = Number.NEGATIVE_INFINITY;

    constructor(private readonly options: KindCopyOptions) {}

    /** Position of the store that the copy reflects. */
    get position(): types.Position {
        return this.currentPosition;
    }

    /** Revision of the store that the copy reflects; negative before the first listing. */
    get revision(): number {
        return this.currentPosition.revision;
    }

    /** Position of the newest change that the copy contains. */
    get lastChange(): types.Position {
        return this.latestChange;
    }

    get isLoaded(): boolean {
        return this.currentPosition.era >= 0;
    }

    /** Time in milliseconds at which the next pending state applies; undefined without one. */
    get nextSettlementAt(): number | undefined {
        const times = [...this.pending.values()].map(({ appliesAt }) => appliesAt).filter(Number.isFinite);
        return times.length === 0 ? undefined : Math.min(...times);
    }

    /** Current records, including those that the store has removed or replaced within a grace period. */
    records(now: number): readonly types.StoredRecord[] {
        this.settle(now);
        return [...this.recordsByName.values()];
    }

    /** Applies pending states whose grace period is over. Returns whether there were any. */
    settle(now: number): boolean {
        const due = [...this.pending].filter(([, { appliesAt }]) => now >= appliesAt);
        for (const [name, { record }] of due) {
            this.pending.delete(name);
            if (record === undefined) {
                this.forget(name, now);
            }
            else {
                this.recordsByName.set(name, record);
            }
        }
        return due.length > 0;
    }

    /** Starts the grace period for removed records; called when the store responds again after an outage. */
    storeRecovered(now: number): void {
        this.graceUntil = now + RECOVERY_GRACE_MS;
    }

    /** Replaces the copy with a listing. Returns false if the copy is newer. */
    replace(listing: types.Listing, now: number): boolean {
        if (positions.isAfter(this.currentPosition, listing)) {
            return false;
        }
        if (this.isLoaded && listing.era > this.currentPosition.era) {
            this.restore(listing, now);
        }
        else {
            const names = new Set(listing.records.map(record => record.name));
            [...this.recordsByName.keys()].filter(name => !names.has(name)).forEach(name => this.remove(name, now));
            listing.records.forEach(record => this.upsert(record));
        }
        this.currentPosition = { era: listing.era, revision: listing.revision };
        const newest = Math.max(-1, ...listing.records.map(record => record.revision));
        this.latestChange = positions.latest(this.latestChange, { era: listing.era, revision: newest });
        return true;
    }

    /**
     * Applies the changes after the position `askedAt`. The copy may have become newer since, so that it contains some of
     * them already. Returns the others; undefined, without effect, for changes of another era or asked for in one, since
     * the copy may lack some that were made before.
     */
    apply(batch: types.Changes, askedAt: types.Position, now: number): readonly types.Change[] | undefined {
        const { era, revision } = batch;
        if (era !== this.currentPosition.era || era !== askedAt.era) {
            return undefined;
        }
        if (positions.isAfter(this.currentPosition, batch)) {
            return [];
        }
        const changes = batch.changes.filter(change => !this.contains(change, askedAt));
        for (const change of changes) {
            if (change.isDeleted) {
                this.remove(change.record.name, now);
            }
            else {
                this.upsert(change.record);
            }
        }
        if (changes.length > 0) {
            this.latestChange = positions.latest(this.latestChange, { era, revision });
        }
        this.currentPosition = { era, revision };
        return changes;
    }

    /**
     * Whether the copy contains a change already. The record of a removal has the revision of its last change before, so a
     * removal is known by a record that was created after it.
     */
    private contains({ record, isDeleted }: types.Change, askedAt: types.Position): boolean {
        if (isDeleted) {
            return (this.storedRevision(record.name) ?? -1) > record.revision;
        }
        return positions.isAfter(this.currentPosition, askedAt) && record.revision <= this.currentPosition.revision;
    }

    /** Revision of what the store has of a record, as far as the copy knows; undefined if it has none. */
    private storedRevision(name: string): number | undefined {
        const pending = this.pending.get(name);
        return pending === undefined ? this.recordsByName.get(name)?.revision : pending.record?.revision;
    }

    /** Adopts the records of a store that came back from an older copy of itself. */
    private restore(listing: types.Listing, now: number): void {
        this.pending.clear();
        this.storeRecovered(now);
        const restored = new Map(listing.records.map(record => [record.name, record]));
        for (const [name, known] of [...this.recordsByName]) {
            this.restoreKnown(known, restored.get(name), now);
            restored.delete(name);
        }
        for (const record of restored.values()) {
            const removed = this.removed.get(record.name)?.record;
            const isCurrent = removed === undefined || record.revision > removed.revision
                || this.options.restoration.compareRemoved(removed, record) === "current";
            if (isCurrent) {
                this.recordsByName.set(record.name, record);
            }
            else {
                this.pending.set(record.name, { record, appliesAt: now + RESTORATION_GRACE_MS });
            }
        }
    }

    private restoreKnown(known: types.StoredRecord, restored: types.StoredRecord | undefined, now: number): void {
        const { name } = known;
        const { compareKnown } = this.options.restoration;
        const isLater = restored !== undefined && restored.revision > known.revision;
        const verdict = compareKnown(known, restored);
        if (verdict === "current" || verdict === "unclear" && isLater) {
            this.recordsByName.delete(name);
            if (restored !== undefined) {
                this.recordsByName.set(name, restored);
            }
            return;
        }
        // Each change in the new era is later than a state of the era before, whatever its revision was.
        this.recordsByName.set(name, { ...known, revision: restored?.revision ?? 0 });
        if (verdict === "unclear") {
            const isRegistered = restored === undefined && this.options.ownersReregister;
            const appliesAt = isRegistered ? this.graceUntil : now + RESTORATION_GRACE_MS;
            this.pending.set(name, { record: restored, appliesAt });
        }
    }

    private upsert(record: types.StoredRecord): void {
        const { name } = record;
        const known = this.recordsByName.get(name);
        const pending = this.pending.get(name);
        const isOlder = known !== undefined && known.revision > record.revision;
        const isPending = pending?.record?.revision === record.revision;
        if (isOlder || isPending) {
            return;
        }
        this.pending.delete(name);
        const isOutdated = known !== undefined && this.options.restoration.compareKnown(known, record) === "outdated";
        this.recordsByName.set(name, isOutdated ? { ...known, revision: record.revision } : record);
    }

    private remove(name: string, now: number): void {
        const isKept = this.pending.has(name) && this.pending.get(name)!.record === undefined;
        if (isKept && now < this.pending.get(name)!.appliesAt) {
            return;
        }
        if (this.options.ownersReregister && now < this.graceUntil) {
            this.pending.set(name, { record: undefined, appliesAt: this.graceUntil });
            return;
        }
        this.forget(name, now);
    }

    private forget(name: string, now: number): void {
        this.pending.delete(name);
        const record = this.recordsByName.get(name);
        this.recordsByName.delete(name);
        if (record === undefined) {
            return;
        }
        this.removed.set(name, { record, removedAt: now });
        for (const [other, { removedAt }] of this.removed) {
            if (now - removedAt <= REMOVAL_RETENTION_MS) {
                break;
            }
            this.removed.delete(other);
        }
    }
}
