/**
 * What one process knows of the holders of a group: their record, proofs of their death, and its recent probes.
 *
 * This knowledge outlives the role of the process. It gives no right to grant.
 */
import * as incarnations from "../core/incarnation.js";
import type * as messages from "./messages.js";
import type * as types from "./types.js";

/** Proofs of earlier holders are forgotten beyond this number; a new probe finds them again. */
const REMEMBERED_PROOFS = 64;

export class HolderView {
    private known: types.Holder | undefined;
    private stored = 0;
    private read = false;
    private readonly probedAt = new Map<string, number>();
    private readonly dead = new Set<string>();

    get record(): types.Holder | undefined {
        return this.known;
    }

    get epoch(): number {
        return this.known?.epoch ?? 0;
    }

    /** Epoch in the store as far as this process knows; lower than that of `record` after a takeover without it. */
    get storedEpoch(): number {
        return this.stored;
    }

    /** The store has answered, so the absence of a record is known and not merely unread. */
    get storeRead(): boolean {
        return this.read;
    }

    /** Empty when unknown. */
    get primaryAddress(): string {
        return this.known?.primary.address ?? "";
    }

    get holders(): readonly incarnations.Incarnation[] {
        return [this.known?.primary, this.known?.standby].filter(holder => holder !== undefined);
    }

    get deadAddresses(): readonly string[] {
        return this.holders.filter(holder => this.isDead(holder)).map(holder => holder.address);
    }

    replaceRecord(record: types.Holder): void {
        this.known = record;
    }

    noteStoreRead(): void {
        this.read = true;
    }

    noteStoredEpoch(epoch: number): void {
        this.stored = Math.max(this.stored, epoch);
    }

    /** The record is later than the known one, or names other holders for the same epoch. */
    isChangedBy(holder: types.Holder): boolean {
        const contradicts = this.known !== undefined && holder.epoch === this.epoch && !sameHolder(this.known, holder);
        return holder.epoch > this.epoch || contradicts;
    }

    isPrimary(incarnation: incarnations.Incarnation): boolean {
        return this.known !== undefined && incarnations.sameIncarnation(this.known.primary, incarnation);
    }

    isStandby(incarnation: incarnations.Incarnation): boolean {
        return this.known?.standby !== undefined && incarnations.sameIncarnation(this.known.standby, incarnation);
    }

    isDead(incarnation: incarnations.Incarnation): boolean {
        return this.dead.has(incarnations.incarnationId(incarnation));
    }

    markDead(incarnation: incarnations.Incarnation): void {
        if (this.dead.size >= REMEMBERED_PROOFS) {
            this.dead.clear();
            this.probedAt.clear();
        }
        this.dead.add(incarnations.incarnationId(incarnation));
    }

    /** Asks for a probe of the incarnation unless the last one is less than `intervalMs` ago. */
    probe(incarnation: incarnations.Incarnation, intervalMs: number, now: number): readonly messages.Action[] {
        const id = incarnations.incarnationId(incarnation);
        if (now < (this.probedAt.get(id) ?? Number.NEGATIVE_INFINITY) + intervalMs) {
            return [];
        }
        this.probedAt.set(id, now);
        return [{ kind: "probe", incarnation }];
    }

    /** Asks for a read of the record when another process knows a later epoch than the stored one. */
    refreshIfBehind(epoch: number): readonly messages.Action[] {
        return epoch > this.stored ? [{ kind: "refresh" }] : [];
    }
}

export function sameHolder(left: types.Holder, right: types.Holder): boolean {
    const sameStandby = left.standby === undefined || right.standby === undefined
        ? left.standby === right.standby
        : incarnations.sameIncarnation(left.standby, right.standby);
    return left.epoch === right.epoch && sameStandby && incarnations.sameIncarnation(left.primary, right.primary);
}
