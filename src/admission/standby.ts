/**
 * Role of the standby of a group: it grants leases to the primary and no admissions.
 *
 * It takes over
 * - by handover;
 * - if the primary is proved dead, as long as the primary can't have replaced this standby;
 * - otherwise only once the store has accepted the change, which it proposes when the lease that it granted has ended or
 *   the primary is proved dead.
 */
import type * as bucketTables from "./bucket-table.js";
import * as constants from "./constants.js";
import type * as messages from "./messages.js";
import type * as roleContexts from "./role-context.js";
import * as standbyViews from "./standby-view.js";

export class Standby {
    readonly role = "standby";
    private readonly view: standbyViews.StandbyView;

    constructor(
        private readonly context: roleContexts.RoleContext,
        private isPrimaryDead: boolean,
        now: number,
    ) {
        this.view = new standbyViews.StandbyView(now);
    }

    /** Levels to take over with; absent until the primary acknowledges a reply of this process. */
    get levels(): bucketTables.ReplicatedLevels | undefined {
        return this.view.levels;
    }

    primaryProvedDead(): void {
        this.isPrimaryDead = true;
    }

    /** Levels to take over with immediately and without the store; absent if the store must accept the change first. */
    levelsForTakeover(now: number): bucketTables.ReplicatedLevels | undefined {
        const mayTakeOver = this.context.changes.pending === undefined && this.isPrimaryDead &&
            this.view.proofSuffices(now);
        return mayTakeOver ? this.view.levels : undefined;
    }

    /** Handles timeouts if there is no takeover without the store; called periodically. */
    tick(now: number): readonly messages.Action[] {
        const { view, changes, isDraining } = this.context;
        const primary = view.record?.primary;
        if (primary === undefined || changes.pending !== undefined) {
            return [];
        }
        if (this.isPrimaryDead) {
            return changes.proposeAsPrimary("primary proved dead", now);
        }
        if (this.view.isLeaseExpired(now) && !isDraining) {
            return changes.proposeAsPrimary("lease of the primary expired", now);
        }
        return now >= this.view.lastReceivedAt + constants.PROBE_AFTER_SILENCE_MS
            ? view.probe(primary, constants.PROBE_INTERVAL_MS, now)
            : [];
    }

    /** Reason to refuse a renewal of the primary; `undefined` if the lease may be granted. */
    refusalReason(renewal: messages.Renewal): string | undefined {
        // If a lease were granted while a takeover may take effect, both processes could grant.
        if (this.context.changes.pending !== undefined || this.isPrimaryDead) {
            return "a takeover is in progress";
        }
        return this.view.isOutdated(renewal) ? "a later renewal has arrived" : undefined;
    }

    /** Grants the lease: stores the levels and records that the reply is sent at `now`. */
    receive(renewal: messages.Renewal, now: number): void {
        this.view.receive(renewal, now);
    }
}
