/**
 * Role of the primary of a group: it grants admissions, renews its lease and replaces a lost standby.
 *
 * It may grant
 * - only with a lease from its standby, once the standby has replied in this epoch and so may take over;
 * - without a lease while there is no such standby or the standby is proved dead;
 * - never after it has requested a handover, since the standby takes over on receipt.
 */
import * as acquireRefusals from "./acquire-refusal.js";
import type * as bucketTables from "./bucket-table.js";
import * as constants from "./constants.js";
import * as deferredCalls from "./deferred-calls.js";
import * as granters from "./granter.js";
import type * as messages from "./messages.js";
import * as renewalTrackers from "./renewal-tracker.js";
import * as roleContexts from "./role-context.js";

export class Primary {
    readonly role = "primary";
    private renewals = new renewalTrackers.RenewalTracker();
    private readonly granter: granters.Granter;
    private readonly deferred = new deferredCalls.DeferredCalls();
    private standbyDead = false;
    /** The primary has stopped granting and waits for the standby to confirm the handover. */
    private isHandingOver = false;
    /** Sequence number of the first renewal that requests the handover; replies to earlier ones do not confirm it. */
    private handoverSequence = 0;

    constructor(
        private readonly context: roleContexts.RoleContext,
        private readonly buckets: bucketTables.BucketTable,
        private standbyAssignedAt: number,
    ) {
        this.granter = new granters.Granter(buckets, context.waitingList, {
            allowance: customer => this.standbyDead ? Number.POSITIVE_INFINITY : this.renewals.allowance(customer),
            grant: (customer, count) => this.renewals.grant(customer, count),
        });
    }

    get isStandbyDead(): boolean {
        return this.standbyDead;
    }

    mayGrant(now: number): boolean {
        return !this.context.isStopped && !this.isHandingOver && this.holdsLease(now);
    }

    setRates(rates: bucketTables.Rates, now: number): readonly messages.Action[] {
        this.buckets.setRates(rates, now);
        return this.renew(now);
    }

    /** Handles timeouts; called periodically. */
    tick(now: number): readonly messages.Action[] {
        const { view, changes } = this.context;
        const overdueReplies = this.replyToOverdue(now);
        if (view.record?.standby === undefined || this.standbyDead) {
            return [...overdueReplies, ...changes.assignStandby("no standby", now)];
        }
        if (changes.pending !== undefined) {
            return overdueReplies;
        }
        return [...overdueReplies, ...this.checkStandby(now), ...this.renewIfDue(now)];
    }

    /** The store has accepted another standby. The old one may no longer take over, and the new one may not yet. */
    standbyChanged(now: number): readonly messages.Action[] {
        this.renewals = new renewalTrackers.RenewalTracker();
        this.standbyAssignedAt = now;
        this.standbyDead = false;
        this.isHandingOver = false;
        this.handoverSequence = 0;
        return [...this.serveDeferred(now), ...this.renew(now)];
    }

    standbyProvedDead(now: number): readonly messages.Action[] {
        this.standbyDead = true;
        this.isHandingOver = false;
        return [roleContexts.logEvent("budget-standby-lost", "proved dead"), ...this.serveDeferred(now)];
    }

    /** Whether the reply shows that the standby has taken over. If it already had, it refuses with a higher epoch. */
    confirmsHandover(sequence: number, reply: messages.RenewalReply | undefined): boolean {
        if (!this.isHandingOver || reply === undefined) {
            return false;
        }
        const granted = reply.granted && sequence >= this.handoverSequence;
        return granted || reply.epoch > this.context.view.epoch;
    }

    /** Handles a renewal reply of this epoch that confirms no handover; `undefined` if the call failed. */
    renewalFinished(
        sequence: number,
        reply: messages.RenewalReply | undefined,
        now: number,
    ): readonly messages.Action[] {
        if (reply?.granted !== true) {
            return this.renewalFailed(sequence, reply, now);
        }
        if (this.context.changes.replacesStandby || this.standbyDead) {
            return [];
        }
        const isFirst = !this.renewals.isConfirmed;
        this.renewals.confirm(sequence, now);
        // The standby may take over only once its reply is acknowledged, so the first acknowledgement is sent immediately.
        const acknowledgement = isFirst ? this.renew(now) : [];
        return [...acknowledgement, ...this.serveDeferred(now)];
    }

    /** Handles an acquire call of an entry. The reply is an action, returned immediately or after a renewal. */
    acquire(call: acquireRefusals.AcquireCall, epoch: number, now: number): readonly messages.Action[] {
        const { view } = this.context;
        if (this.isHandingOver) {
            return [...view.refreshIfBehind(epoch), this.refuse(call, "budget-not-holder")];
        }
        if (epoch > view.epoch) {
            return [{ kind: "refresh" }, this.refuse(call, "budget-lease-missing")];
        }
        if (!this.mayGrant(now)) {
            return [this.refuse(call, "budget-lease-missing")];
        }
        if (this.granter.needsReservation(call.demands, now)) {
            this.deferred.add(call, now);
            return this.renewals.isInProgress(now) ? [] : this.renew(now);
        }
        return [this.grant(call, now)];
    }

    refuseDeferred(): readonly messages.Action[] {
        return this.deferred.removeAll().map(call => this.refuse(call, "budget-lease-missing"));
    }

    /** Sends the current levels to the standby and requests the next lease. */
    renew(now: number): readonly messages.Action[] {
        const { group, self, view, changes } = this.context;
        const record = view.record;
        if (record?.standby === undefined || this.standbyDead || changes.pending !== undefined) {
            return [];
        }
        this.buckets.updateUsage(now);
        const horizonMs = this.isHandingOver ? 0 : constants.RESERVATION_HORIZON_MS;
        const levels = this.buckets.levels(this.deferred.demand(), horizonMs, now);
        const acknowledged = this.renewals.acknowledged;
        const sequence = this.renewals.add(levels, now);
        const { epoch, standby } = record;
        const handover = this.isHandingOver;
        const renewal = { group, epoch, primary: self, levels, sequence, acknowledged, handover };
        return [{ kind: "send-renewal", to: standby, renewal }];
    }

    private renewIfDue(now: number): readonly messages.Action[] {
        if (this.context.changes.pending !== undefined) {
            return [];
        }
        if (this.context.isDraining && this.renewals.isConfirmed && !this.isHandingOver) {
            return this.startHandover(now);
        }
        return this.renewals.isDue(now) ? this.renew(now) : [];
    }

    private startHandover(now: number): readonly messages.Action[] {
        this.isHandingOver = true;
        this.handoverSequence = this.renewals.nextSequence;
        return [...this.refuseDeferred(), ...this.renew(now)];
    }

    private renewalFailed(
        sequence: number,
        reply: messages.RenewalReply | undefined,
        now: number,
    ): readonly messages.Action[] {
        const { view } = this.context;
        this.renewals.callEnded(sequence);
        const standby = view.record?.standby;
        const probes = standby === undefined ? [] : view.probe(standby, constants.PROBE_INTERVAL_MS, now);
        return reply !== undefined && reply.epoch > view.epoch ? [{ kind: "refresh" }, ...probes] : probes;
    }

    /** Probes a silent standby, and replaces it once it can no longer take over without the store. */
    private checkStandby(now: number): readonly messages.Action[] {
        const { view, changes } = this.context;
        const lastReplyAt = this.renewals.isConfirmed ? this.renewals.lastReplyAt : this.standbyAssignedAt;
        const isSilent = now >= lastReplyAt + constants.PROBE_AFTER_SILENCE_MS;
        const probes = isSilent ? view.probe(view.record!.standby!, constants.PROBE_INTERVAL_MS, now) : [];
        // A handover message that arrives late makes a silent standby the primary, so it must not be replaced.
        const mustReplace = !this.isHandingOver && this.isStandbyLost(now);
        return mustReplace ? [...probes, ...changes.assignStandby("standby silent", now)] : probes;
    }

    private isStandbyLost(now: number): boolean {
        return this.renewals.isConfirmed
            ? now >= this.renewals.lastReplyAt + constants.LEASE_WITH_MARGIN_MS && !this.renewals.hasLease(now)
            : now >= this.standbyAssignedAt + constants.NEW_STANDBY_TIMEOUT_MS;
    }

    private holdsLease(now: number): boolean {
        const grantsAlone = this.context.view.record?.standby === undefined || this.standbyDead ||
            !this.renewals.isConfirmed;
        return grantsAlone || this.renewals.hasLease(now);
    }

    /** Replies to the deferred calls that the reservations cover, in order, and renews immediately for the others. */
    private serveDeferred(now: number): readonly messages.Action[] {
        if (!this.mayGrant(now)) {
            return this.refuseDeferred();
        }
        const replies = this.deferred.serve(call =>
            this.granter.needsReservation(call.demands, now) ? undefined : this.grant(call, now)
        );
        const renewNow = !this.deferred.isEmpty && !this.renewals.isInProgress(now);
        return renewNow ? [...replies, ...this.renew(now)] : replies;
    }

    /** Replies to the calls that have waited for the maximum deferral, with the grants that the reservations allow. */
    private replyToOverdue(now: number): readonly messages.Action[] {
        if (!this.mayGrant(now)) {
            return this.refuseDeferred();
        }
        return this.deferred.removeOverdue(now).map(call => this.grant(call, now));
    }

    private grant(call: acquireRefusals.AcquireCall, now: number): messages.Action {
        const { view, self } = this.context;
        const grants = call.demands.map(demand => this.granter.grant(demand, now));
        return {
            kind: "reply",
            callId: call.callId,
            reply: { epoch: view.epoch, grants, primaryAddress: self.address },
        };
    }

    private refuse(call: acquireRefusals.AcquireCall, kind: acquireRefusals.RefusalKind): messages.Action {
        const { group, view } = this.context;
        const primaryAddress = this.isHandingOver ? view.record?.standby?.address ?? "" : view.primaryAddress;
        return acquireRefusals.refuse(call, kind, { group, epoch: view.epoch, primaryAddress });
    }
}
