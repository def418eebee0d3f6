/**
 * What one process knows about the holders of a group: their record, which of them are proved dead, and recent probes.
 *
 * The view is kept when the role of the process changes. It does not entitle the process to grant.
 */
import * as incarnations from "../core/incarnation.js";
import type * as messages from "./messages.js";
import type * as types from "./types.js";

/** Maximum number of dead incarnations kept. All are dropped beyond it; a new probe finds them again. */
const MAXIMUM_DEAD_INCARNATIONS = 64;

export class HolderView {
    private knownRecord: types.HolderRecord | undefined;
    private lastStoredEpoch = 0;
    private isStoreRead = false;
    private readonly lastProbeAt = new Map<string, number>();
    private readonly deadIncarnations = new Set<string>();

    get record(): types.HolderRecord | undefined {
        return this.knownRecord;
    }

    get epoch(): number {
        return this.knownRecord?.epoch ?? 0;
    }

    /** Last known epoch in the store. Lower than the epoch of `record` after a takeover without the store. */
    get storedEpoch(): number {
        return this.lastStoredEpoch;
    }

    /** Whether holders have been read, so that a missing record means that there are none. */
    get hasReadStore(): boolean {
        return this.isStoreRead;
    }

    /** Empty if unknown. */
    get primaryAddress(): string {
        return this.knownRecord?.primary.address ?? "";
    }

    get holders(): readonly incarnations.Incarnation[] {
        return [this.knownRecord?.primary, this.knownRecord?.standby].filter(holder => holder !== undefined);
    }

    get deadAddresses(): readonly string[] {
        return this.holders.filter(holder => this.isDead(holder)).map(holder => holder.address);
    }

    replaceRecord(record: types.HolderRecord): void {
        this.knownRecord = record;
    }

    markStoreRead(): void {
        this.isStoreRead = true;
    }

    updateStoredEpoch(epoch: number): void {
        this.lastStoredEpoch = Math.max(this.lastStoredEpoch, epoch);
    }

    /** Whether a record is newer than the known one, or has other holders in the same epoch. */
    isReplacedBy(record: types.HolderRecord): boolean {
        const contradicts = this.knownRecord !== undefined && record.epoch === this.epoch &&
            !sameHolders(this.knownRecord, record);
        return record.epoch > this.epoch || contradicts;
    }

    isPrimary(incarnation: incarnations.Incarnation): boolean {
        return this.knownRecord !== undefined && incarnations.sameIncarnation(this.knownRecord.primary, incarnation);
    }

    isStandby(incarnation: incarnations.Incarnation): boolean {
        return this.knownRecord?.standby !== undefined &&
            incarnations.sameIncarnation(this.knownRecord.standby, incarnation);
    }

    isDead(incarnation: incarnations.Incarnation): boolean {
        return this.deadIncarnations.has(incarnations.incarnationId(incarnation));
    }

    markDead(incarnation: incarnations.Incarnation): void {
        if (this.deadIncarnations.size >= MAXIMUM_DEAD_INCARNATIONS) {
            this.deadIncarnations.clear();
            this.lastProbeAt.clear();
        }
        this.deadIncarnations.add(incarnations.incarnationId(incarnation));
    }

    /** Requests a probe of the incarnation unless the last one was less than `intervalMs` ago. */
    probe(incarnation: incarnations.Incarnation, intervalMs: number, now: number): readonly messages.Action[] {
        const id = incarnations.incarnationId(incarnation);
        if (now < (this.lastProbeAt.get(id) ?? Number.NEGATIVE_INFINITY) + intervalMs) {
            return [];
        }
        this.lastProbeAt.set(id, now);
        return [{ kind: "probe", incarnation }];
    }

    /** Requests a read of the store if another process knows a later epoch than the last stored one. */
    refreshIfBehind(epoch: number): readonly messages.Action[] {
        return epoch > this.lastStoredEpoch ? [{ kind: "refresh" }] : [];
    }
}

export function sameHolders(left: types.HolderRecord, right: types.HolderRecord): boolean {
    const sameStandby = left.standby === undefined || right.standby === undefined
        ? left.standby === right.standby
        : incarnations.sameIncarnation(left.standby, right.standby);
    return left.epoch === right.epoch && sameStandby && incarnations.sameIncarnation(left.primary, right.primary);
}
