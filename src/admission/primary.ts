/**
 * Role of the primary of a group: it grants admissions, renews its lease and replaces a lost standby.
 *
 * It may grant
 * - under the lease of its standby, once that has answered in this epoch and so may take over;
 * - alone, as long as there is no such standby, or with proof that the standby is dead;
 * - never after it has asked for a handover, since the standby takes over on receipt.
 */
import * as acquireRefusals from "./acquire-refusal.js";
import type * as bucketTables from "./bucket-table.js";
import * as constants from "./constants.js";
import * as deferredCalls from "./deferred-calls.js";
import * as granters from "./granter.js";
import type * as messages from "./messages.js";
import * as ledgers from "./renewal-ledger.js";
import * as roleContexts from "./role-context.js";

export class Primary {
    readonly role = "primary";
    private ledger = new ledgers.RenewalLedger();
    private readonly granter: granters.Granter;
    private readonly deferred = new deferredCalls.DeferredCalls();
    private standbyDead = false;
    /** The primary stopped granting and waits for the standby to confirm the handover. */
    private handingOver = false;
    /** Sequence number of the first renewal that asks for the handover; replies to earlier ones do not confirm it. */
    private handoverSequence = 0;

    constructor(
        private readonly context: roleContexts.RoleContext,
        private readonly buckets: bucketTables.BucketTable,
        private since: number,
    ) {
        this.granter = new granters.Granter(buckets, context.waitingList, {
            allowance: customer => this.standbyDead ? Number.POSITIVE_INFINITY : this.ledger.allowance(customer),
            grant: (customer, count) => this.ledger.grant(customer, count),
        });
    }

    get isStandbyDead(): boolean {
        return this.standbyDead;
    }

    mayGrant(now: number): boolean {
        return !this.context.stopped && !this.handingOver && this.holdsLease(now);
    }

    setRates(rates: bucketTables.Rates, now: number): readonly messages.Action[] {
        this.buckets.setRates(rates, now);
        return this.renew(now);
    }

    /** Periodic round. */
    tick(now: number): readonly messages.Action[] {
        const { view, changes } = this.context;
        const late = this.answerLate(now);
        if (view.record?.standby === undefined || this.standbyDead) {
            return [...late, ...changes.appoint("no standby", now)];
        }
        if (changes.pending !== undefined) {
            return late;
        }
        return [...late, ...this.watchStandby(now), ...this.renewIfDue(now)];
    }

    /** The store accepted a change of the standby. The former one has lost its rights; the new one has none yet. */
    standbyChanged(now: number): readonly messages.Action[] {
        this.ledger = new ledgers.RenewalLedger();
        this.since = now;
        this.standbyDead = false;
        this.handingOver = false;
        this.handoverSequence = 0;
        return [...this.serveDeferred(now), ...this.renew(now)];
    }

    standbyProvedDead(now: number): readonly messages.Action[] {
        this.standbyDead = true;
        this.handingOver = false;
        return [roleContexts.notify("budget-standby-lost", "proved dead"), ...this.serveDeferred(now)];
    }

    /** A standby that has taken over in an earlier attempt refuses the next one and names its higher epoch. */
    confirmsHandover(sequence: number, reply: messages.RenewalReply | undefined): boolean {
        if (!this.handingOver || reply === undefined) {
            return false;
        }
        const granted = reply.granted && sequence >= this.handoverSequence;
        return granted || reply.epoch > this.context.view.epoch;
    }

    /** The outcome of a renewal of this epoch that confirms no handover; `undefined` when the call failed. */
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
        const first = !this.ledger.active;
        this.ledger.confirm(sequence, now);
        // The standby gains its right to take over with the acknowledgement, so the first one follows at once.
        const acknowledgement = first ? this.renew(now) : [];
        return [...acknowledgement, ...this.serveDeferred(now)];
    }

    /** The reply to an entry follows as an action, at once or after a renewal. */
    acquire(call: acquireRefusals.AcquireCall, epoch: number, now: number): readonly messages.Action[] {
        const { view } = this.context;
        if (this.handingOver) {
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
            return this.ledger.waiting(now) ? [] : this.renew(now);
        }
        return [this.grant(call, now)];
    }

    refuseDeferred(): readonly messages.Action[] {
        return this.deferred.removeAll().map(call => this.refuse(call, "budget-lease-missing"));
    }

    /** Reports the present levels to the standby and asks for the next lease. */
    renew(now: number): readonly messages.Action[] {
        const { group, self, view, changes } = this.context;
        const record = view.record;
        if (record?.standby === undefined || this.standbyDead || changes.pending !== undefined) {
            return [];
        }
        this.buckets.rollUsage(now);
        const horizon = this.handingOver ? 0 : constants.RESERVATION_HORIZON_MS;
        const levels = this.buckets.levels(this.deferred.demand(), horizon, now);
        const acknowledged = this.ledger.acknowledged;
        const sequence = this.ledger.send(levels, now);
        const { epoch, standby } = record;
        const handover = this.handingOver;
        const renewal = { group, epoch, primary: self, levels, sequence, acknowledged, handover };
        return [{ kind: "send-renewal", to: standby, renewal }];
    }

    private renewIfDue(now: number): readonly messages.Action[] {
        if (this.context.changes.pending !== undefined) {
            return [];
        }
        if (this.context.draining && this.ledger.active && !this.handingOver) {
            return this.startHandover(now);
        }
        return this.ledger.due(now) ? this.renew(now) : [];
    }

    private startHandover(now: number): readonly messages.Action[] {
        this.handingOver = true;
        this.handoverSequence = this.ledger.nextSequence;
        return [...this.refuseDeferred(), ...this.renew(now)];
    }

    private renewalFailed(
        sequence: number,
        reply: messages.RenewalReply | undefined,
        now: number,
    ): readonly messages.Action[] {
        const { view } = this.context;
        this.ledger.finish(sequence);
        const standby = view.record?.standby;
        const probes = standby === undefined ? [] : view.probe(standby, constants.PROBE_INTERVAL_MS, now);
        return reply !== undefined && reply.epoch > view.epoch ? [{ kind: "refresh" }, ...probes] : probes;
    }

    /** Probes a silent standby, and replaces it when none of its rights outlast the change. */
    private watchStandby(now: number): readonly messages.Action[] {
        const { view, changes } = this.context;
        const heardAt = this.ledger.active ? this.ledger.lastReplyAt : this.since;
        const silent = now >= heardAt + constants.SILENCE_BEFORE_PROBE_MS;
        const probes = silent ? view.probe(view.record!.standby!, constants.PROBE_INTERVAL_MS, now) : [];
        // A late handover message makes a silent standby the holder, so it can no longer be replaced.
        const replace = !this.handingOver && this.standbyIsLost(now);
        return replace ? [...probes, ...changes.appoint("standby silent", now)] : probes;
    }

    private standbyIsLost(now: number): boolean {
        return this.ledger.active
            ? now >= this.ledger.lastReplyAt + constants.LEASE_WITH_MARGIN_MS && !this.ledger.leased(now)
            : now >= this.since + constants.NEW_STANDBY_PATIENCE_MS;
    }

    private holdsLease(now: number): boolean {
        const alone = this.context.view.record?.standby === undefined || this.standbyDead || !this.ledger.active;
        return alone || this.ledger.leased(now);
    }

    /** Answers deferred calls in order as far as the reservations go, and renews at once for the rest. */
    private serveDeferred(now: number): readonly messages.Action[] {
        if (!this.mayGrant(now)) {
            return this.refuseDeferred();
        }
        const replies = this.deferred.serve(call =>
            this.granter.needsReservation(call.demands, now) ? undefined : this.grant(call, now)
        );
        const renewNow = !this.deferred.isEmpty && !this.ledger.waiting(now);
        return renewNow ? [...replies, ...this.renew(now)] : replies;
    }

    /** Answers calls that waited too long with what the present reservations allow. */
    private answerLate(now: number): readonly messages.Action[] {
        if (!this.mayGrant(now)) {
            return this.refuseDeferred();
        }
        return this.deferred.removeLate(now).map(call => this.grant(call, now));
    }

    private grant(call: acquireRefusals.AcquireCall, now: number): messages.Action {
        const { view, self } = this.context;
        const grants = call.demands.map(demand => this.granter.grant(demand, now));
        return { kind: "reply", call: call.call, reply: { epoch: view.epoch, grants, primaryAddress: self.address } };
    }

    private refuse(call: acquireRefusals.AcquireCall, kind: acquireRefusals.RefusalKind): messages.Action {
        const { group, view } = this.context;
        const primaryAddress = this.handingOver ? view.record?.standby?.address ?? "" : view.primaryAddress;
        return acquireRefusals.refuse(call, kind, { group, epoch: view.epoch, primaryAddress });
    }
}
