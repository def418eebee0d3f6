/**
 * Role of the standby of a group: it grants leases to the primary and no admissions.
 *
 * It takes over
 * - by handover;
 * - with proof that the primary is dead, as long as the primary can't have replaced it;
 * - otherwise only with a change that the store accepted, after the lease that it granted has ended or with that proof.
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
        private primaryDead: boolean,
        now: number,
    ) {
        this.view = new standbyViews.StandbyView(now);
    }

    /** Levels to take over with; absent before the primary relied on this process. */
    get levels(): bucketTables.ReplicatedLevels | undefined {
        return this.view.levels;
    }

    primaryProvedDead(): void {
        this.primaryDead = true;
    }

    /** Levels to take over with at once and without the store; absent when the store must decide. */
    levelsForTakeover(now: number): bucketTables.ReplicatedLevels | undefined {
        const proved = this.context.changes.pending === undefined && this.primaryDead && this.view.proofSuffices(now);
        return proved ? this.view.levels : undefined;
    }

    /** Periodic round, when there is no takeover without the store. */
    tick(now: number): readonly messages.Action[] {
        const { view, changes, draining } = this.context;
        const primary = view.record?.primary;
        if (primary === undefined || changes.pending !== undefined) {
            return [];
        }
        if (this.primaryDead) {
            return changes.propose("primary proved dead", now);
        }
        if (this.view.leaseExpired(now) && !draining) {
            return changes.propose("lease of the primary expired", now);
        }
        return now >= this.view.lastHeardAt + constants.SILENCE_BEFORE_PROBE_MS
            ? view.probe(primary, constants.PROBE_INTERVAL_MS, now)
            : [];
    }

    /** Reason to refuse a renewal of the primary; absent when the lease may be granted. */
    objection(renewal: messages.Renewal): string | undefined {
        // A lease granted while a takeover may take effect would let both processes grant.
        if (this.context.changes.pending !== undefined || this.primaryDead) {
            return "a takeover is in progress";
        }
        return this.view.isOutdated(renewal) ? "a later renewal has arrived" : undefined;
    }

    /** Grants the lease: stores the levels and notes that a reply is sent now. */
    receive(renewal: messages.Renewal, now: number): void {
        this.view.receive(renewal, now);
    }
}
