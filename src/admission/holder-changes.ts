/**
 * Changes of the holders of a group that this process proposes to the store, at most one at a time.
 *
 * Each change is a conditional update with the next epoch. A write with an unknown outcome may have taken effect, so it
 * is retried until the store confirms or rejects it. Until then the process proposes no other change and grants no
 * lease.
 */
import type * as incarnations from "../core/incarnation.js";
import * as constants from "./constants.js";
import type * as holderViews from "./holder-view.js";
import type * as messages from "./messages.js";
import type * as types from "./types.js";

/** Selection of the agents that this process may propose as holders; see `assignment`. */
export interface HolderSelection {
    /** The preferred standby for this process as primary, apart from the excluded addresses. */
    readonly nextStandby: (excluded: ReadonlySet<string>) => incarnations.Incarnation | undefined;
    /**
     * Rank of this process, starting with 0, among the agents that may take over a group without holders, apart from the
     * excluded addresses; infinity if it may not.
     */
    readonly takeoverRank: (excluded: ReadonlySet<string>) => number;
}

/** A proposed change that the store has neither accepted nor rejected yet. */
export interface PendingChange {
    readonly record: types.HolderRecord;
    readonly expectedEpoch: number;
    readonly reason: string;
    /** An attempt may have taken effect; only reading the object can tell. */
    isInDoubt: boolean;
    isWriting: boolean;
    attemptedAt: number;
}

export class HolderChanges {
    private pendingChange: PendingChange | undefined;
    private lastWriteAt = Number.NEGATIVE_INFINITY;
    private isReplacingStandby = false;

    constructor(
        private readonly group: number,
        private readonly self: incarnations.Incarnation,
        private readonly selection: HolderSelection,
        private readonly view: holderViews.HolderView,
    ) {}

    get pending(): PendingChange | undefined {
        return this.pendingChange;
    }

    /** A change that replaces the standby is pending; late replies of that standby must not renew the lease. */
    get replacesStandby(): boolean {
        return this.isReplacingStandby;
    }

    /** Proposes another standby, or none if there is no other agent. Only the primary may call this. */
    assignStandby(reason: string, now: number): readonly messages.Action[] {
        if (this.pendingChange !== undefined || this.mustWait(now)) {
            return [];
        }
        const record = this.view.record!;
        const currentStandby = record.standby === undefined ? [] : [record.standby.address];
        const excluded = new Set([...this.view.deadAddresses, ...currentStandby]);
        const standby = this.selection.nextStandby(excluded) ?? this.restartedStandby();
        const isUnrecorded = record.epoch > this.view.storedEpoch;
        if (standby === undefined && record.standby === undefined && !isUnrecorded) {
            return [];
        }
        this.isReplacingStandby = record.standby !== undefined;
        return this.start(isUnrecorded ? record.epoch : record.epoch + 1, standby, reason, now);
    }

    /** Proposes this process as the primary of the next epoch. */
    proposeAsPrimary(reason: string, now: number): readonly messages.Action[] {
        if (this.mustWait(now)) {
            return [];
        }
        const formerPrimary = this.view.record === undefined ? [] : [this.view.record.primary.address];
        const standby = this.selection.nextStandby(new Set([...formerPrimary, ...this.view.deadAddresses]));
        return this.start(this.view.epoch + 1, standby, reason, now);
    }

    /** Retries a write whose outcome is unknown or that had no effect. */
    retryWrite(now: number): readonly messages.Action[] {
        const change = this.pendingChange;
        if (change === undefined || change.isWriting || now < change.attemptedAt + constants.WRITE_INTERVAL_MS) {
            return [];
        }
        change.isWriting = true;
        change.attemptedAt = now;
        return [{ kind: "write", record: change.record, expectedEpoch: change.expectedEpoch }];
    }

    /** Processes the result of a write. Returns the change if the store has accepted it. */
    writeFinished(record: types.HolderRecord, result: messages.WriteResult): PendingChange | undefined {
        const change = this.pendingChange;
        if (change === undefined || change.record !== record) {
            return undefined;
        }
        change.isWriting = false;
        switch (result.kind) {
            case "recorded":
                return change;
            case "superseded":
                this.clear();
                return undefined;
            case "unconfirmed":
                change.isInDoubt = true;
                return undefined;
            case "unavailable":
                // This attempt had no effect, but an earlier one may have had.
                if (!change.isInDoubt) {
                    this.clear();
                }
                return undefined;
        }
    }

    /** Drops the pending change, because the store has accepted it or has other holders. */
    clear(): void {
        this.pendingChange = undefined;
        this.isReplacingStandby = false;
    }

    private start(
        epoch: number,
        standby: incarnations.Incarnation | undefined,
        reason: string,
        now: number,
    ): readonly messages.Action[] {
        const optionalStandby = standby === undefined ? {} : { standby };
        const record: types.HolderRecord = { group: this.group, epoch, primary: this.self, ...optionalStandby };
        const expectedEpoch = this.view.storedEpoch;
        this.lastWriteAt = now;
        this.pendingChange = { record, expectedEpoch, reason, isInDoubt: false, isWriting: true, attemptedAt: now };
        return [{ kind: "write", record, expectedEpoch }];
    }

    private mustWait(now: number): boolean {
        return now < this.lastWriteAt + constants.WRITE_INTERVAL_MS;
    }

    /** The restarted process at the address of the lost standby; used if there is no other agent. */
    private restartedStandby(): incarnations.Incarnation | undefined {
        const next = this.selection.nextStandby(new Set());
        return next === undefined || this.view.isDead(next) || this.view.isStandby(next) ? undefined : next;
    }
}
