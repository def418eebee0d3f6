/**
 * Change of the holders of a group that this process proposed to the store, at most one at a time.
 *
 * Each change is a conditional update with the next epoch. A write whose outcome is unknown may have taken effect, so it
 * is repeated until the store tells; the process proposes nothing else and grants no lease meanwhile.
 */
import type * as incarnations from "../core/incarnation.js";
import * as constants from "./constants.js";
import type * as holderViews from "./holder-view.js";
import type * as messages from "./messages.js";
import type * as types from "./types.js";

/** Agents that this process may name, best first; from `assignment`. */
export interface Surroundings {
    /** Next standby for this process as primary, without the excluded addresses. */
    readonly standby: (excluded: ReadonlySet<string>) => incarnations.Incarnation | undefined;
    /** Position of this process among the agents that may take over a group without holders, without the excluded. */
    readonly position: (excluded: ReadonlySet<string>) => number;
}

export interface PendingWrite {
    readonly holder: types.Holder;
    readonly expectedEpoch: number;
    readonly reason: string;
    /** An attempt may have taken effect; only a read of the object can settle that. */
    inDoubt: boolean;
    running: boolean;
    attemptedAt: number;
}

export class HolderChanges {
    private write: PendingWrite | undefined;
    private lastWriteAt = Number.NEGATIVE_INFINITY;
    private replacing = false;

    constructor(
        private readonly group: number,
        private readonly self: incarnations.Incarnation,
        private readonly surroundings: Surroundings,
        private readonly view: holderViews.HolderView,
    ) {}

    get pending(): PendingWrite | undefined {
        return this.write;
    }

    /** Replacing a silent standby has begun: its late replies must not renew the lease. */
    get replacesStandby(): boolean {
        return this.replacing;
    }

    /** Names another standby, or none when there is no other agent and the present one is lost. Only for a primary. */
    appoint(reason: string, now: number): readonly messages.Action[] {
        if (this.write !== undefined || this.mustWait(now)) {
            return [];
        }
        const record = this.view.record!;
        const present = record.standby === undefined ? [] : [record.standby.address];
        const excluded = new Set([...this.view.deadAddresses, ...present]);
        const standby = this.surroundings.standby(excluded) ?? this.restartedStandby();
        const unrecorded = record.epoch > this.view.storedEpoch;
        if (standby === undefined && record.standby === undefined && !unrecorded) {
            return [];
        }
        this.replacing = record.standby !== undefined;
        return this.start(unrecorded ? record.epoch : record.epoch + 1, standby, reason, now);
    }

    /** Proposes this process as the primary of the next epoch. */
    propose(reason: string, now: number): readonly messages.Action[] {
        if (this.mustWait(now)) {
            return [];
        }
        const former = this.view.record === undefined ? [] : [this.view.record.primary.address];
        const standby = this.surroundings.standby(new Set([...former, ...this.view.deadAddresses]));
        return this.start(this.view.epoch + 1, standby, reason, now);
    }

    /** Repeats a write that has ended without settling the change. */
    repeat(now: number): readonly messages.Action[] {
        const write = this.write;
        if (write === undefined || write.running || now < write.attemptedAt + constants.WRITE_INTERVAL_MS) {
            return [];
        }
        write.running = true;
        write.attemptedAt = now;
        return [{ kind: "write", holder: write.holder, expectedEpoch: write.expectedEpoch }];
    }

    /** Notes the result of a write. Returns the change when the store has accepted it. */
    finish(holder: types.Holder, result: messages.WriteResult): PendingWrite | undefined {
        const write = this.write;
        if (write === undefined || write.holder !== holder) {
            return undefined;
        }
        write.running = false;
        switch (result.kind) {
            case "recorded":
                return write;
            case "superseded":
                this.clear();
                return undefined;
            case "unconfirmed":
                write.inDoubt = true;
                return undefined;
            case "unavailable":
                // This attempt had no effect, but an earlier one may have had.
                if (!write.inDoubt) {
                    this.clear();
                }
                return undefined;
        }
    }

    /** The change is settled, or the holders in the store have overtaken it. */
    clear(): void {
        this.write = undefined;
        this.replacing = false;
    }

    private start(
        epoch: number,
        standby: incarnations.Incarnation | undefined,
        reason: string,
        now: number,
    ): readonly messages.Action[] {
        const named = standby === undefined ? {} : { standby };
        const holder: types.Holder = { group: this.group, epoch, primary: this.self, ...named };
        const expectedEpoch = this.view.storedEpoch;
        this.lastWriteAt = now;
        this.write = { holder, expectedEpoch, reason, inDoubt: false, running: true, attemptedAt: now };
        return [{ kind: "write", holder, expectedEpoch }];
    }

    private mustWait(now: number): boolean {
        return now < this.lastWriteAt + constants.WRITE_INTERVAL_MS;
    }

    /** The process that took the address of the dead standby; used when there is no other agent. */
    private restartedStandby(): incarnations.Incarnation | undefined {
        const next = this.surroundings.standby(new Set());
        return next === undefined || this.view.isDead(next) || this.view.isStandby(next) ? undefined : next;
    }
}
