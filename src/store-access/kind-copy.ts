/** Local copy of all records of one kind, updated from listings and changes. */
import * as positions from "./position.js";
import * as recordTables from "./record-table.js";
import type * as restoration from "./restoration.js";
import type * as types from "./types.js";

/**
 * Time in milliseconds after an outage of the store during which removed records are kept. The registry removes servers
 * whose heartbeats it could not accept during the outage; servers that run write their records again within two seconds.
 */
const RECOVERY_GRACE_MS = 2200;
/** Shortest outage in milliseconds in which the registry can miss enough heartbeats of a server to remove it. */
const MINIMUM_OUTAGE_MS = 1000;
/**
 * Time in milliseconds after which the restored store is believed where the known state contradicts it. Until then owners
 * have written again what was lost, and the registry has removed the servers that do not send heartbeats.
 */
const RESTORATION_GRACE_MS = 6000;
/** Time in milliseconds for which removed records are remembered; a restored store is some seconds old. */
const REMOVAL_RETENTION_MS = 120_000;
/** Size in bytes of the removed records that are remembered. */
const MAXIMUM_REMEMBERED_BYTES = 2 * 1024 * 1024;

export interface KindCopyOptions {
    /** Owners that are still running write their records again after the store removed them during an outage. */
    readonly ownersReregister: boolean;
    readonly restoration: restoration.RestorationPolicy;
}

/** What the copy shows of a record in place of what the store has. */
interface HeldState {
    /** Undefined if the record is hidden. */
    readonly record: types.StoredRecord | undefined;
    /** Time in milliseconds from which the state of the store is shown; infinite if only a later state ends this one. */
    readonly until: number;
}

export class KindCopy {
    /** State of the store at the copy's position. */
    private readonly stored = new recordTables.RecordTable();
    private readonly held = new Map<string, HeldState>();
    /** Time of removal of the records of the next field, the oldest first. */
    private readonly removedAt = new Map<string, number>();
    private readonly removed = new recordTables.RecordTable(MAXIMUM_REMEMBERED_BYTES);
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

    /** Time in milliseconds at which the next held state ends; undefined without one. */
    get nextSettlementAt(): number | undefined {
        const times = [...this.held.values()].map(({ until }) => until).filter(Number.isFinite);
        return times.length === 0 ? undefined : Math.min(...times);
    }

    /** Estimated size in memory. */
    get bytes(): number {
        return this.stored.bytes + this.removed.bytes;
    }

    /** Names of the records without their content, for which there is no room. */
    get emptiedNames(): readonly string[] {
        return this.stored.emptiedNames;
    }

    /** Whether there is room again for the contents that a listing would bring back. */
    get canRestore(): boolean {
        return this.stored.canRestore;
    }

    /** Whether the listing for a peer changes with the time. */
    dependsOnTime(now: number): boolean {
        return this.held.size > 0 || now < this.graceUntil;
    }

    /** Names of the records that are shown in another state than the store's, or hidden. */
    get heldNames(): readonly string[] {
        return [...this.held.keys()];
    }

    /** Current records, including those that the store has removed or replaced within a grace period. */
    records(now: number): readonly types.StoredRecord[] {
        const names = new Set([...this.stored.keys(), ...this.held.keys()]);
        return [...names].map(name => this.shown(name, now)).filter(record => record !== undefined);
    }

    /** The state of the store and the held states, for a peer. */
    listing(now: number): types.Listing {
        const held = [...this.held].filter(([, { until }]) => now < until).map(([name, { record, until }]) => {
            return { name, record, remainingMs: Number.isFinite(until) ? until - now : undefined };
        });
        const graceMs = Math.max(0, this.graceUntil - now);
        return { ...this.currentPosition, records: [...this.stored.values()], held, graceMs };
    }

    /** Forgets held states whose time is over; they are no longer shown. Returns whether there were any. */
    settle(now: number): boolean {
        const due = [...this.held].filter(([, { until }]) => now >= until);
        for (const [name, { record }] of due) {
            this.held.delete(name);
            if (!this.stored.has(name)) {
                this.remember(record, now);
            }
        }
        return due.length > 0;
    }

    /**
     * Starts the grace period for removed records; called when the store responds again. A shorter outage, such as a watch
     * that was cut off, does not keep servers from their heartbeats.
     */
    storeRecovered(now: number, outageMs: number): void {
        if (outageMs >= MINIMUM_OUTAGE_MS) {
            this.graceUntil = now + RECOVERY_GRACE_MS;
        }
    }

    /** Replaces the copy with a listing. Returns false if the copy is newer. */
    replace(listing: types.Listing, now: number): boolean {
        if (positions.isAfter(this.currentPosition, listing)) {
            return false;
        }
        this.settle(now);
        this.graceUntil = Math.max(this.graceUntil, now + Math.min(RECOVERY_GRACE_MS, listing.graceMs ?? 0));
        const shownBefore = new Map(this.records(now).map(record => [record.name, record]));
        const wasLoaded = this.isLoaded;
        const names = new Set(listing.records.map(record => record.name));
        // The records of a listing's later pages may be newer than its position.
        const removed = [...this.stored.values()]
            .filter(({ name, revision }) => !names.has(name) && revision <= listing.revision)
            .map(({ name }) => name);
        if (wasLoaded && listing.era > this.currentPosition.era) {
            this.restore(listing, shownBefore, now);
        }
        else {
            removed.forEach(name => this.remove(name, now));
            listing.records.forEach(record => this.upsert(record, now));
        }
        for (const state of listing.held ?? []) {
            this.adoptHeld(state, wasLoaded ? shownBefore.get(state.name) : state.record, now);
        }
        this.currentPosition = { era: listing.era, revision: listing.revision };
        // A listing does not tell when a record was removed, only that it was.
        const newest = removed.length > 0
            ? listing.revision
            : Math.max(-1, ...listing.records.map(record => record.revision));
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
                this.upsert(change.record, now);
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
            return (this.stored.get(record.name)?.revision ?? -1) > record.revision;
        }
        return positions.isAfter(this.currentPosition, askedAt) && record.revision <= this.currentPosition.revision;
    }

    private shown(name: string, now: number): types.StoredRecord | undefined {
        const held = this.held.get(name);
        return held === undefined || now >= held.until ? this.stored.get(name) : held.record;
    }

    /** Adopts the records of a store that came back from an older copy of itself. */
    private restore(
        listing: types.Listing,
        shownBefore: ReadonlyMap<string, types.StoredRecord>,
        now: number,
    ): void {
        this.stored.clear();
        this.held.clear();
        this.graceUntil = now + RECOVERY_GRACE_MS;
        listing.records.forEach(record => this.stored.set(record.name, record));
        shownBefore.forEach(known => this.restoreKnown(known, this.stored.get(known.name), now));
        for (const record of listing.records.filter(({ name }) => !shownBefore.has(name))) {
            const removed = this.removed.get(record.name);
            if (removed !== undefined) {
                this.restoreRemoved(removed, record, now);
            }
        }
    }

    private restoreRemoved(removed: types.StoredRecord, restored: types.StoredRecord, now: number): void {
        const { compareKnown, compareRemoved } = this.options.restoration;
        const verdict = compareKnown(removed, restored);
        if (verdict === "outdated") {
            this.hold(removed, restored.revision, Number.POSITIVE_INFINITY);
            return;
        }
        const isCurrent = restored.revision > removed.revision || compareRemoved(removed, restored) === "current";
        if (verdict === "contested" || !isCurrent) {
            this.hide(restored.name, now);
        }
    }

    private restoreKnown(known: types.StoredRecord, restored: types.StoredRecord | undefined, now: number): void {
        const isLater = restored !== undefined && restored.revision > known.revision;
        const verdict = this.options.restoration.compareKnown(known, restored);
        if (verdict === "current" || verdict === "unclear" && isLater) {
            return;
        }
        const isRegistered = restored === undefined && this.options.ownersReregister;
        const graceUntil = isRegistered ? this.graceUntil : now + RESTORATION_GRACE_MS;
        const until = verdict === "outdated" ? Number.POSITIVE_INFINITY : graceUntil;
        this.hold(known, restored?.revision, until);
    }

    /** Shows nothing in place of a record that may be an earlier state of a removed one. */
    private hide(name: string, now: number): void {
        this.held.set(name, { record: undefined, until: now + RESTORATION_GRACE_MS });
    }

    /** Whether the known state is to be shown in place of the record. */
    private isEarlier(record: types.StoredRecord, known: types.StoredRecord): boolean {
        return ["outdated", "contested"].includes(this.options.restoration.compareKnown(known, record));
    }

    /** Each change in a new era is later than a state of the era before, whatever its revision was. */
    private hold(record: types.StoredRecord, storedRevision: number | undefined, until: number): void {
        this.held.set(record.name, { record: { ...record, revision: storedRevision ?? 0 }, until });
    }

    /** Takes over what a peer shows in place of the store's state, unless this copy knows better. */
    private adoptHeld(
        { name, record, remainingMs }: types.HeldRecord,
        shownBefore: types.StoredRecord | undefined,
        now: number,
    ): void {
        const until = remainingMs === undefined ? Number.POSITIVE_INFINITY : now + remainingMs;
        const stored = this.stored.get(name);
        if (record === undefined) {
            if (stored !== undefined && !this.held.has(name)) {
                this.held.set(name, { record, until });
            }
            return;
        }
        const shown = this.shown(name, now);
        const isRemovedNow = stored === undefined && shown === undefined && shownBefore !== undefined;
        if (isRemovedNow) {
            this.hold(this.isEarlier(record, shownBefore) ? shownBefore : record, undefined, until);
        }
        else if (shown !== undefined && this.isEarlier(shown, record)) {
            this.hold(record, stored?.revision, until);
        }
    }

    private upsert(record: types.StoredRecord, now: number): void {
        const { name } = record;
        const known = this.stored.get(name);
        if (known !== undefined && known.revision > record.revision) {
            return;
        }
        const held = this.held.get(name);
        const shown = this.shown(name, now);
        // A late write of its owner can create a removed record anew, in an older state.
        const latest = shown ?? this.removed.get(name);
        this.stored.set(name, record);
        if (known?.revision === record.revision && held !== undefined) {
            return;
        }
        this.held.delete(name);
        const verdict = latest === undefined ? "current" : this.options.restoration.compareKnown(latest, record);
        if (verdict === "outdated") {
            this.hold(latest!, record.revision, Number.POSITIVE_INFINITY);
        }
        else if (verdict === "contested") {
            // A record that its owner keeps writing is contested for no longer than one that it wrote once.
            const until = Math.min(held?.until ?? Number.POSITIVE_INFINITY, now + RESTORATION_GRACE_MS);
            this.held.set(name, { record: shown && { ...shown, revision: record.revision }, until });
        }
    }

    private remove(name: string, now: number): void {
        const shown = this.shown(name, now);
        const wasStored = this.stored.delete(name);
        if (!wasStored) {
            return;
        }
        this.held.delete(name);
        if (shown !== undefined && this.options.ownersReregister && now < this.graceUntil) {
            this.hold(shown, shown.revision, this.graceUntil);
            return;
        }
        this.remember(shown, now);
    }

    /** Remembers a record that is no longer shown. */
    private remember(record: types.StoredRecord | undefined, now: number): void {
        if (record === undefined) {
            return;
        }
        this.removedAt.delete(record.name);
        for (const [other, removedAt] of this.removedAt) {
            if (now - removedAt <= REMOVAL_RETENTION_MS && this.removed.bytes <= MAXIMUM_REMEMBERED_BYTES / 2) {
                break;
            }
            this.removedAt.delete(other);
            this.removed.delete(other);
        }
        this.removedAt.set(record.name, now);
        this.removed.set(record.name, record);
    }
}
