/**
 * Ownership of the budget of one customer group as one agent sees it.
 *
 * A state machine without I/O: events come in with the present monotonic time in milliseconds, actions go out. This
 * module passes each event to the present role and changes the role; the modules `primary`, `standby` and `candidate`
 * state when each role may grant or take over. At any moment at most one agent grants:
 * - a primary whose standby has answered in this epoch grants only under the lease of that standby;
 * - a standby takes over only after its lease ended and the store accepted the change, or with proof that the primary
 *   is dead while the primary can't have replaced it, or by handover;
 * - a standby that has never been acknowledged, and any other agent, takes over only with proof that the holders are
 *   dead and a change accepted by the store, and with empty buckets.
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

export { sameHolder } from "./holder-view.js";

type Role = primaries.Primary | standbys.Standby | candidates.Candidate;

export interface RenewalAnswer {
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
        surroundings: holderChanges.Surroundings,
        private rates: bucketTables.Rates = new Map(),
    ) {
        this.changes = new holderChanges.HolderChanges(group, self, surroundings, this.view);
        this.context = {
            group,
            self,
            surroundings,
            view: this.view,
            changes: this.changes,
            waitingList: new waitingLists.WaitingList(),
            draining: false,
            stopped: false,
        };
        this.candidate = new candidates.Candidate(this.context);
        this.role = this.candidate;
    }

    get holder(): types.Holder | undefined {
        return this.view.record;
    }

    get roleName(): Role["role"] {
        return this.role.role;
    }

    /** This process may grant now. */
    mayGrant(now: number): boolean {
        return this.role.role === "primary" && this.role.mayGrant(now);
    }

    setRates(rates: bucketTables.Rates, now: number): readonly messages.Action[] {
        this.rates = rates;
        return this.role.role === "primary" ? this.role.setRates(rates, now) : [];
    }

    /** From now on the process takes no new responsibility and hands over what it holds. */
    drain(now: number): readonly messages.Action[] {
        this.context.draining = true;
        return this.tick(now);
    }

    /** Stops granting for good, before the RPC server closes: a closed server counts as proof of death. */
    stop(): readonly messages.Action[] {
        const actions = this.refuseDeferred();
        this.role = this.candidate;
        this.context.draining = true;
        this.context.stopped = true;
        this.changes.clear();
        return actions;
    }

    /** Takes note of the record in the store or in a document. An absent record counts only when read from the store. */
    adopt(holder: types.Holder | undefined, now: number): readonly messages.Action[] {
        this.view.noteStoreRead();
        if (holder === undefined) {
            return [];
        }
        this.view.noteStoredEpoch(holder.epoch);
        const pending = this.changes.pending;
        if (pending !== undefined && holderViews.sameHolder(pending.holder, holder)) {
            return this.accepted(pending, now);
        }
        return this.view.isChangedBy(holder) ? this.follow(holder, now) : [];
    }

    writeFinished(holder: types.Holder, result: messages.WriteResult, now: number): readonly messages.Action[] {
        const accepted = this.changes.finish(holder, result);
        if (accepted !== undefined) {
            this.view.noteStoredEpoch(holder.epoch);
            return this.accepted(accepted, now);
        }
        return result.kind === "superseded" ? this.adopt(result.holder, now) : [];
    }

    /** Proof that an incarnation is dead. */
    proved(incarnation: incarnations.Incarnation, now: number): readonly messages.Action[] {
        this.view.markDead(incarnation);
        if (this.role.role === "primary" && this.view.isStandby(incarnation) && !this.role.isStandbyDead) {
            return this.role.standbyProvedDead(now);
        }
        if (this.role.role === "standby" && this.view.isPrimary(incarnation)) {
            this.role.primaryProvedDead();
        }
        return this.tick(now);
    }

    /** Periodic round. */
    tick(now: number): readonly messages.Action[] {
        const writes = this.changes.repeat(now);
        const replica = this.role.role === "standby" ? this.role.levelsForTakeover(now) : undefined;
        const actions = replica === undefined
            ? this.role.tick(now)
            : this.takeOver(replica, now, "primary proved dead");
        return [...writes, ...actions];
    }

    /** A renewal from the primary; the reply is sent at `now`. */
    renewal(message: messages.Renewal, now: number): RenewalAnswer {
        const epoch = this.view.epoch;
        if (this.context.stopped) {
            return this.refuseRenewal(message, "the process stops");
        }
        if (message.epoch > epoch) {
            return this.refuseRenewal(message, "the epoch is not known here yet", [{ kind: "refresh" }]);
        }
        if (message.epoch < epoch || this.role.role !== "standby" || !this.view.isPrimary(message.primary)) {
            return this.refuseRenewal(message, "the process is not the standby of the sender");
        }
        const objection = this.role.objection(message);
        if (objection !== undefined) {
            return this.refuseRenewal(message, objection);
        }
        this.role.receive(message, now);
        const replica = { levels: message.levels, receivedAt: now };
        const actions = message.handover ? this.takeOver(replica, now, "handover") : [];
        return { reply: { granted: true, epoch, sequence: message.sequence }, actions };
    }

    /** The outcome of a renewal; `undefined` when the call failed. */
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
        return role.confirmsHandover(sequence, reply) ? this.handedOver() : role.renewalFinished(sequence, reply, now);
    }

    /** An entry asks for admissions; the reply follows as an action, at once or after a renewal. */
    acquire(
        call: number,
        epoch: number,
        demands: readonly messages.Demand[],
        now: number,
    ): readonly messages.Action[] {
        if (this.role.role === "primary") {
            return this.role.acquire({ call, demands }, epoch, now);
        }
        const known = { group: this.group, epoch: this.view.epoch, primaryAddress: this.view.primaryAddress };
        const refusal = acquireRefusals.refuse({ call, demands }, "budget-not-holder", known);
        return [...this.view.refreshIfBehind(epoch), refusal];
    }

    /** The change of the holders that this process proposed is in the store. */
    private accepted(change: holderChanges.PendingWrite, now: number): readonly messages.Action[] {
        this.changes.clear();
        this.view.replaceRecord(change.holder);
        if (this.role.role === "primary") {
            return this.role.standbyChanged(now);
        }
        const replica = this.role.role === "standby" ? this.role.levels : undefined;
        return this.becomePrimary(replica, now, change.reason);
    }

    /** Takes over without the store. The change is recorded when the store answers. */
    private takeOver(
        replica: bucketTables.ReplicatedLevels,
        now: number,
        reason: string,
    ): readonly messages.Action[] {
        this.view.replaceRecord({ group: this.group, epoch: this.view.epoch + 1, primary: this.self });
        return [...this.becomePrimary(replica, now, reason), ...this.changes.appoint(reason, now)];
    }

    /** Without replicated levels the buckets start empty. */
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
        return [roleContexts.notify("budget-ownership-taken", reason), ...primary.renew(now)];
    }

    /** Another process changed the holders. */
    private follow(holder: types.Holder, now: number): readonly messages.Action[] {
        const actions = [...this.refuseDeferred()];
        if (this.role.role === "primary") {
            const reason = `epoch ${holder.epoch} has other holders`;
            actions.push(roleContexts.notify("budget-ownership-lost", reason));
        }
        this.view.replaceRecord(holder);
        this.changes.clear();
        if (this.view.isStandby(this.self)) {
            this.role = new standbys.Standby(this.context, this.view.isDead(holder.primary), now);
            return actions;
        }
        if (this.view.isPrimary(this.self)) {
            return [...actions, ...this.becomePrimary(undefined, now, "named by the record")];
        }
        this.role = this.candidate;
        return actions;
    }

    /** The store may still name this process as the primary, so the epoch of the successor is noted here. */
    private handedOver(): readonly messages.Action[] {
        const record = this.view.record!;
        const actions = this.refuseDeferred();
        this.role = this.candidate;
        this.view.replaceRecord({ group: this.group, epoch: record.epoch + 1, primary: record.standby! });
        return [...actions, roleContexts.notify("budget-handed-over", "draining")];
    }

    private refuseDeferred(): readonly messages.Action[] {
        return this.role.role === "primary" ? this.role.refuseDeferred() : [];
    }

    private refuseRenewal(
        message: messages.Renewal,
        detail: string,
        actions: readonly messages.Action[] = [],
    ): RenewalAnswer {
        const failure = { kind: "budget-renewal-refused", detail } as const;
        return { reply: { granted: false, epoch: this.view.epoch, sequence: message.sequence, failure }, actions };
    }
}
