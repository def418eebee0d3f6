/**
 * Ownership of the budget of one customer group, as seen by one agent.
 *
 * A state machine without I/O: each method handles an event at the monotonic time `now` in milliseconds and returns
 * actions. This module passes events to the current role and changes the role; the modules `primary`, `standby` and
 * `candidate` define when each role may grant or take over. At most one agent grants at any time:
 * - a primary whose standby has replied in this epoch grants only while it holds a lease from that standby;
 * - a standby takes over by handover, or after the lease that it granted has ended and the store has accepted the change,
 *   or if the primary is proved dead and can't have replaced the standby before;
 * - a standby whose replies the primary has never acknowledged, and any other agent, takes over only if the holders are
 *   proved dead and the store has accepted the change, and starts with empty buckets.
 */
import type * as incarnations from "../core/incarnation.js";
import * as acquireRefusals from "./acquire-refusal.js";
import * as bucketTables from "./bucket-table.js";
import * as candidates from "./candidate.js";
import * as holderChanges from "./holder-changes.js";
import * as holderViews from "./holder-view.js";
import type * as messages from "./messages.js";
import * as primaries from "./primary.js";
import * as roleContexts from "./role-context.js";
import * as standbys from "./standby.js";
import type * as types from "./types.js";
import * as waitingLists from "./waiting-list.js";

export { sameHolders } from "./holder-view.js";

type Role = primaries.Primary | standbys.Standby | candidates.Candidate;

export interface RenewalResult {
    readonly reply: messages.RenewalReply;
    readonly actions: readonly messages.Action[];
}

export class Ownership {
    private readonly view = new holderViews.HolderView();
    private readonly changes: holderChanges.HolderChanges;
    private readonly context: roleContexts.RoleContext;
    private readonly candidate: candidates.Candidate;
    private role: Role;

    constructor(
        readonly group: number,
        private readonly self: incarnations.Incarnation,
        selection: holderChanges.HolderSelection,
        private rates: bucketTables.Rates = new Map(),
    ) {
        this.changes = new holderChanges.HolderChanges(group, self, selection, this.view);
        this.context = {
            group,
            self,
            selection,
            view: this.view,
            changes: this.changes,
            waitingList: new waitingLists.WaitingList(),
            isDraining: false,
            isStopped: false,
        };
        this.candidate = new candidates.Candidate(this.context);
        this.role = this.candidate;
    }

    get record(): types.HolderRecord | undefined {
        return this.view.record;
    }

    get roleName(): Role["role"] {
        return this.role.role;
    }

    /** Whether this process may grant now. */
    mayGrant(now: number): boolean {
        return this.role.role === "primary" && this.role.mayGrant(now);
    }

    setRates(rates: bucketTables.Rates, now: number): readonly messages.Action[] {
        this.rates = rates;
        return this.role.role === "primary" ? this.role.setRates(rates, now) : [];
    }

    /** Prevents this process from becoming a holder, and hands the group over if this process is its primary. */
    drain(now: number): readonly messages.Action[] {
        this.context.isDraining = true;
        return this.tick(now);
    }

    /** Stops granting permanently. Called before the RPC server closes, since a closed server counts as proof of death. */
    stop(): readonly messages.Action[] {
        const actions = this.refuseDeferred();
        this.role = this.candidate;
        this.context.isDraining = true;
        this.context.isStopped = true;
        this.changes.clear();
        return actions;
    }

    /** Adopts the record from the store or a document. `undefined` means that the store has no record. */
    adopt(record: types.HolderRecord | undefined, now: number): readonly messages.Action[] {
        this.view.markStoreRead();
        if (record === undefined) {
            return [];
        }
        this.view.updateStoredEpoch(record.epoch);
        const pending = this.changes.pending;
        if (pending !== undefined && holderViews.sameHolders(pending.record, record)) {
            return this.changeAccepted(pending, now);
        }
        return this.view.isReplacedBy(record) ? this.adoptOtherHolders(record, now) : [];
    }

    writeFinished(record: types.HolderRecord, result: messages.WriteResult, now: number): readonly messages.Action[] {
        const accepted = this.changes.writeFinished(record, result);
        if (accepted !== undefined) {
            this.view.updateStoredEpoch(record.epoch);
            return this.changeAccepted(accepted, now);
        }
        return result.kind === "superseded" ? this.adopt(result.record, now) : [];
    }

    /** An incarnation has been proved dead. */
    provedDead(incarnation: incarnations.Incarnation, now: number): readonly messages.Action[] {
        this.view.markDead(incarnation);
        if (this.role.role === "primary" && this.view.isStandby(incarnation) && !this.role.isStandbyDead) {
            return this.role.standbyProvedDead(now);
        }
        if (this.role.role === "standby" && this.view.isPrimary(incarnation)) {
            this.role.primaryProvedDead();
        }
        return this.tick(now);
    }

    /** Handles timeouts; called periodically. */
    tick(now: number): readonly messages.Action[] {
        const writes = this.changes.retryWrite(now);
        const replica = this.role.role === "standby" ? this.role.levelsForTakeover(now) : undefined;
        const actions = replica === undefined
            ? this.role.tick(now)
            : this.takeOverWithoutStore(replica, now, "primary proved dead");
        return [...writes, ...actions];
    }

    /** Handles a renewal from the primary. The reply must be sent at `now`. */
    receiveRenewal(message: messages.Renewal, now: number): RenewalResult {
        const epoch = this.view.epoch;
        if (this.context.isStopped) {
            return this.refuseRenewal(message, "the process stops");
        }
        if (message.epoch > epoch) {
            return this.refuseRenewal(message, "the epoch is not known here yet", [{ kind: "refresh" }]);
        }
        if (message.epoch < epoch || this.role.role !== "standby" || !this.view.isPrimary(message.primary)) {
            return this.refuseRenewal(message, "the process is not the standby of the sender");
        }
        const refusalReason = this.role.refusalReason(message);
        if (refusalReason !== undefined) {
            return this.refuseRenewal(message, refusalReason);
        }
        this.role.receive(message, now);
        const replica = { levels: message.levels, receivedAt: now };
        const actions = message.handover ? this.takeOverWithoutStore(replica, now, "handover") : [];
        return { reply: { granted: true, epoch, sequence: message.sequence }, actions };
    }

    /** Handles the reply to a renewal; `undefined` if the call failed. */
    renewalFinished(
        epoch: number,
        sequence: number,
        reply: messages.RenewalReply | undefined,
        now: number,
    ): readonly messages.Action[] {
        const role = this.role;
        if (role.role !== "primary" || epoch !== this.view.record?.epoch) {
            return [];
        }
        return role.confirmsHandover(sequence, reply)
            ? this.completeHandover()
            : role.renewalFinished(sequence, reply, now);
    }

    /** Handles an acquire call of an entry. The reply is an action, returned immediately or after a renewal. */
    acquire(
        callId: number,
        epoch: number,
        demands: readonly messages.Demand[],
        now: number,
    ): readonly messages.Action[] {
        if (this.role.role === "primary") {
            return this.role.acquire({ callId, demands }, epoch, now);
        }
        const known = { group: this.group, epoch: this.view.epoch, primaryAddress: this.view.primaryAddress };
        const refusal = acquireRefusals.refuse({ callId, demands }, "budget-not-holder", known);
        return [...this.view.refreshIfBehind(epoch), refusal];
    }

    /** The store has accepted the change that this process proposed. */
    private changeAccepted(change: holderChanges.PendingChange, now: number): readonly messages.Action[] {
        this.changes.clear();
        this.view.replaceRecord(change.record);
        if (this.role.role === "primary") {
            return this.role.standbyChanged(now);
        }
        const replica = this.role.role === "standby" ? this.role.levels : undefined;
        return this.becomePrimary(replica, now, change.reason);
    }

    /** Takes over before the store has accepted the change, and proposes the change. */
    private takeOverWithoutStore(
        replica: bucketTables.ReplicatedLevels,
        now: number,
        reason: string,
    ): readonly messages.Action[] {
        this.view.replaceRecord({ group: this.group, epoch: this.view.epoch + 1, primary: this.self });
        return [...this.becomePrimary(replica, now, reason), ...this.changes.assignStandby(reason, now)];
    }

    /** Without a replica the buckets start empty. */
    private becomePrimary(
        replica: bucketTables.ReplicatedLevels | undefined,
        now: number,
        reason: string,
    ): readonly messages.Action[] {
        const buckets = replica === undefined
            ? new bucketTables.BucketTable(this.rates, now)
            : bucketTables.BucketTable.fromReplica(this.rates, replica, now);
        const primary = new primaries.Primary(this.context, buckets, now);
        this.role = primary;
        return [roleContexts.logEvent("budget-ownership-taken", reason), ...primary.renew(now)];
    }

    /** Adopts holders that another process has recorded. */
    private adoptOtherHolders(record: types.HolderRecord, now: number): readonly messages.Action[] {
        const actions = [...this.refuseDeferred()];
        if (this.role.role === "primary") {
            const reason = `epoch ${record.epoch} has other holders`;
            actions.push(roleContexts.logEvent("budget-ownership-lost", reason));
        }
        this.view.replaceRecord(record);
        this.changes.clear();
        if (this.view.isStandby(this.self)) {
            this.role = new standbys.Standby(this.context, this.view.isDead(record.primary), now);
            return actions;
        }
        if (this.view.isPrimary(this.self)) {
            return [...actions, ...this.becomePrimary(undefined, now, "named by the record")];
        }
        this.role = this.candidate;
        return actions;
    }

    /** The standby has taken over. The store may still name this process as primary, so the successor is set here. */
    private completeHandover(): readonly messages.Action[] {
        const record = this.view.record!;
        const actions = this.refuseDeferred();
        this.role = this.candidate;
        this.view.replaceRecord({ group: this.group, epoch: record.epoch + 1, primary: record.standby! });
        return [...actions, roleContexts.logEvent("budget-handed-over", "draining")];
    }

    private refuseDeferred(): readonly messages.Action[] {
        return this.role.role === "primary" ? this.role.refuseDeferred() : [];
    }

    private refuseRenewal(
        message: messages.Renewal,
        detail: string,
        actions: readonly messages.Action[] = [],
    ): RenewalResult {
        const failure = { kind: "budget-renewal-refused", detail } as const;
        return { reply: { granted: false, epoch: this.view.epoch, sequence: message.sequence, failure }, actions };
    }
}
