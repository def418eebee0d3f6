/**
 * Ownership of the budget of one customer group as one agent sees it.
 *
 * A state machine without I/O: events come in with the present monotonic time in milliseconds, actions go out. At
 * any moment at most one agent grants:
 * - a primary whose standby has answered in this epoch grants only under the lease of that standby;
 * - a standby takes over only after its lease ended and the store accepted the change, or with proof that the primary
 *   is dead while the primary can't have replaced it, or by handover;
 * - a standby that has never been acknowledged, and any other agent, takes over only with proof that the holders are
 *   dead and a change accepted by the store, and with empty buckets.
 */
import * as incarnations from "../core/incarnation.js";
import * as bucketTables from "./bucket-table.js";
import * as constants from "./constants.js";
import type * as messages from "./messages.js";
import * as ledgers from "./renewal-ledger.js";
import * as standbyViews from "./standby-view.js";
import type * as types from "./types.js";
import * as waitingLists from "./waiting-list.js";

/** Agents that this process may name, best first; from `assignment`. */
export interface Surroundings {
    /** Next standby for this process as primary, without the excluded addresses. */
    readonly standby: (excluded: ReadonlySet<string>) => incarnations.Incarnation | undefined;
    /** Position of this process among the agents that may take over a group without holders, without the excluded. */
    readonly position: (excluded: ReadonlySet<string>) => number;
}

interface PendingWrite {
    readonly holder: types.Holder;
    readonly expectedEpoch: number;
    readonly reason: string;
    /** An attempt may have taken effect; only a read of the object can settle that. */
    inDoubt: boolean;
    running: boolean;
    attemptedAt: number;
}

interface Primary {
    readonly role: "primary";
    buckets: bucketTables.BucketTable;
    ledger: ledgers.RenewalLedger;
    readonly since: number;
    standbyDead: boolean;
    /** The primary stopped granting and waits for the standby to confirm the handover. */
    handingOver: boolean;
    /** Sequence number of the first renewal that asks for the handover; replies to earlier ones do not confirm it. */
    handoverSequence: number;
}

interface Standby {
    readonly role: "standby";
    readonly view: standbyViews.StandbyView;
    primaryDead: boolean;
}

interface Outsider {
    readonly role: "none";
}

type Role = Primary | Standby | Outsider;

interface DeferredCall {
    readonly call: number;
    readonly demands: readonly messages.Demand[];
    readonly arrivedAt: number;
}

export class Ownership {
    private role: Role = { role: "none" };
    private record: types.Holder | undefined;
    /** Epoch in the store as far as this process knows; lower than that of `record` after a takeover without it. */
    private storedEpoch = 0;
    /** The store has answered, so the absence of a record is known and not merely unread. */
    private storeRead = false;
    private pending: PendingWrite | undefined;
    private lastWriteAt = Number.NEGATIVE_INFINITY;
    private readonly probedAt = new Map<string, number>();
    private readonly dead = new Set<string>();
    private deferred: DeferredCall[] = [];
    private readonly waitingList = new waitingLists.WaitingList();
    private draining = false;
    /** Replacing a silent standby has begun: its late replies must not renew the lease. */
    private replacing = false;
    private stopped = false;
    private vacantSince: number | undefined;

    constructor(
        readonly group: number,
        private readonly self: incarnations.Incarnation,
        private readonly surroundings: Surroundings,
        private rates: bucketTables.Rates = new Map(),
    ) {}

    get holder(): types.Holder | undefined {
        return this.record;
    }

    get roleName(): Role["role"] {
        return this.role.role;
    }

    /** This process may grant now. */
    mayGrant(now: number): boolean {
        return !this.stopped && this.role.role === "primary" && !this.role.handingOver
            && this.holdsLease(this.role, now);
    }

    setRates(rates: bucketTables.Rates, now: number): readonly messages.Action[] {
        this.rates = rates;
        if (this.role.role !== "primary") {
            return [];
        }
        this.role.buckets.setRates(rates, now);
        return this.renew(this.role, now);
    }

    /** From now on the process takes no new responsibility and hands over what it holds. */
    drain(now: number): readonly messages.Action[] {
        this.draining = true;
        return this.tick(now);
    }

    /** Stops granting for good, before the RPC server closes: a closed server counts as proof of death. */
    stop(): readonly messages.Action[] {
        const actions = this.refuseDeferred();
        this.role = { role: "none" };
        this.draining = true;
        this.stopped = true;
        this.pending = undefined;
        return actions;
    }

    /** Takes note of the record in the store or in a document. An absent record counts only when read from the store. */
    adopt(holder: types.Holder | undefined, now: number): readonly messages.Action[] {
        this.storeRead = true;
        if (holder === undefined) {
            return [];
        }
        this.storedEpoch = Math.max(this.storedEpoch, holder.epoch);
        const pending = this.pending;
        if (pending !== undefined && sameHolder(pending.holder, holder)) {
            return this.accepted(pending, now);
        }
        const epoch = this.record?.epoch ?? 0;
        const contradicts = holder.epoch === epoch && this.record !== undefined && !sameHolder(this.record, holder);
        if (holder.epoch < epoch || (holder.epoch === epoch && !contradicts)) {
            return [];
        }
        return this.follow(holder, now);
    }

    writeFinished(holder: types.Holder, result: messages.WriteResult, now: number): readonly messages.Action[] {
        const pending = this.pending;
        if (pending === undefined || pending.holder !== holder) {
            return result.kind === "superseded" ? this.adopt(result.holder, now) : [];
        }
        pending.running = false;
        switch (result.kind) {
            case "recorded":
                this.storedEpoch = Math.max(this.storedEpoch, holder.epoch);
                return this.accepted(pending, now);
            case "superseded":
                this.pending = undefined;
                this.replacing = false;
                return this.adopt(result.holder, now);
            case "unconfirmed":
                pending.inDoubt = true;
                return [];
            case "unavailable":
                if (!pending.inDoubt) {
                    this.pending = undefined;
                    this.replacing = false;
                }
                return [];
        }
    }

    /** Proof that an incarnation is dead. */
    proved(incarnation: incarnations.Incarnation, now: number): readonly messages.Action[] {
        if (this.dead.size >= REMEMBERED_PROOFS) {
            this.dead.clear();
            this.probedAt.clear();
        }
        this.dead.add(incarnations.incarnationId(incarnation));
        const role = this.role;
        if (role.role === "primary" && this.isStandby(incarnation) && !role.standbyDead) {
            role.standbyDead = true;
            role.handingOver = false;
            return [this.notify("budget-standby-lost", "proved dead"), ...this.serveDeferred(role, now)];
        }
        if (role.role === "standby" && this.isPrimary(incarnation)) {
            role.primaryDead = true;
        }
        return this.tick(now);
    }

    /** Periodic round. */
    tick(now: number): readonly messages.Action[] {
        const writes = this.repeatWrite(now);
        switch (this.role.role) {
            case "primary":
                return [...writes, ...this.tickPrimary(this.role, now)];
            case "standby":
                return [...writes, ...this.tickStandby(this.role, now)];
            case "none":
                return [...writes, ...this.tickOutsider(now)];
        }
    }

    /** A renewal from the primary; the reply is sent at `now`. */
    renewal(message: messages.Renewal, now: number): {
        readonly reply: messages.RenewalReply;
        readonly actions: readonly messages.Action[];
    } {
        const epoch = this.record?.epoch ?? 0;
        const refuse = (detail: string, actions: readonly messages.Action[] = []) => {
            const failure = { kind: "budget-renewal-refused", detail } as const;
            return { reply: { granted: false, epoch, sequence: message.sequence, failure }, actions };
        };
        if (this.stopped) {
            return refuse("the process stops");
        }
        if (message.epoch > epoch) {
            return refuse("the epoch is not known here yet", [{ kind: "refresh" }]);
        }
        if (message.epoch < epoch || this.role.role !== "standby" || !this.isPrimary(message.primary)) {
            return refuse("the process is not the standby of the sender");
        }
        // A lease granted while a takeover may take effect would let both processes grant.
        if (this.pending !== undefined || this.role.primaryDead) {
            return refuse("a takeover is in progress");
        }
        if (this.role.view.isOutdated(message)) {
            return refuse("a later renewal has arrived");
        }
        this.role.view.receive(message, now);
        const actions = message.handover ? this.takeOver(message.levels, now, "handover") : [];
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
        if (role.role !== "primary" || epoch !== this.record?.epoch) {
            return [];
        }
        if (role.handingOver && this.confirmsHandover(role, sequence, epoch, reply)) {
            return this.handedOver();
        }
        if (reply?.granted !== true) {
            role.ledger.finish(sequence);
            const standby = this.record.standby;
            const probes = standby === undefined ? [] : this.probe(standby, constants.PROBE_INTERVAL_MS, now);
            return reply !== undefined && reply.epoch > epoch ? [{ kind: "refresh" }, ...probes] : probes;
        }
        if (this.replacing || role.standbyDead) {
            return [];
        }
        const first = !role.ledger.active;
        role.ledger.confirm(sequence, now);
        // The standby gains its right to take over with the acknowledgement, so the first one follows at once.
        const acknowledgement = first ? this.renew(role, now) : [];
        return [...acknowledgement, ...this.serveDeferred(role, now)];
    }

    /** An entry asks for admissions; the reply follows as an action, at once or after a renewal. */
    acquire(
        call: number,
        epoch: number,
        demands: readonly messages.Demand[],
        now: number,
    ): readonly messages.Action[] {
        const role = this.role;
        if (role.role !== "primary" || role.handingOver) {
            const refresh: readonly messages.Action[] = epoch > this.storedEpoch ? [{ kind: "refresh" }] : [];
            return [...refresh, this.refusal(call, demands, "budget-not-holder")];
        }
        if (epoch > (this.record?.epoch ?? 0)) {
            return [{ kind: "refresh" }, this.refusal(call, demands, "budget-lease-missing")];
        }
        if (!this.mayGrant(now)) {
            return [this.refusal(call, demands, "budget-lease-missing")];
        }
        if (this.needsReservation(role, demands, now)) {
            this.deferred.push({ call, demands, arrivedAt: now });
            return role.ledger.waiting(now) ? [] : this.renew(role, now);
        }
        return [this.grant(role, call, demands, now)];
    }

    private tickPrimary(role: Primary, now: number): readonly messages.Action[] {
        const actions = [...this.expireDeferred(role, now)];
        const standby = this.record?.standby;
        if (standby === undefined || role.standbyDead) {
            return [...actions, ...this.appoint(now, "no standby")];
        }
        if (this.pending !== undefined) {
            return actions;
        }
        const heardAt = role.ledger.active ? role.ledger.lastReplyAt : role.since;
        if (now >= heardAt + constants.SILENCE_BEFORE_PROBE_MS) {
            actions.push(...this.probe(standby, constants.PROBE_INTERVAL_MS, now));
        }
        // A late handover message makes a silent standby the holder, so it can no longer be replaced.
        if (!role.handingOver && this.isLost(role, now)) {
            actions.push(...this.appoint(now, "standby silent"));
        }
        const handover = this.draining && role.ledger.active && !role.handingOver;
        if (this.pending === undefined && (handover || role.ledger.due(now))) {
            if (handover) {
                role.handingOver = true;
                role.handoverSequence = role.ledger.nextSequence;
                actions.push(...this.refuseDeferred());
            }
            actions.push(...this.renew(role, now));
        }
        return actions;
    }

    private tickStandby(role: Standby, now: number): readonly messages.Action[] {
        const primary = this.record?.primary;
        if (primary === undefined || this.pending !== undefined) {
            return [];
        }
        if (role.primaryDead) {
            return role.view.levels !== undefined && role.view.proofSuffices(now)
                ? this.takeOver(role.view.levels.levels, now, "primary proved dead")
                : this.propose("primary proved dead", now);
        }
        if (role.view.leaseExpired(now) && !this.draining) {
            return this.propose("lease of the primary expired", now);
        }
        return now >= role.view.lastHeardAt + constants.SILENCE_BEFORE_PROBE_MS
            ? this.probe(primary, constants.PROBE_INTERVAL_MS, now)
            : [];
    }

    private tickOutsider(now: number): readonly messages.Action[] {
        if (this.draining || this.pending !== undefined || !this.storeRead) {
            return [];
        }
        const record = this.record;
        const holders = record === undefined
            ? []
            : [record.primary, ...record.standby === undefined ? [] : [record.standby]];
        const alive = holders.filter(holder => !this.isDead(holder));
        const deadAddresses = new Set(holders.filter(holder => this.isDead(holder)).map(holder => holder.address));
        // A restarted process takes its former place, since the dead incarnation had its address.
        deadAddresses.delete(this.self.address);
        if (this.surroundings.position(deadAddresses) >= CANDIDATES_PER_GROUP) {
            return [];
        }
        if (alive.length === 0) {
            this.vacantSince ??= now;
            // The second candidate steps in when the first one does not, for example because its member entry is stale.
            const turn = this.surroundings.position(deadAddresses) === 0 ||
                now >= this.vacantSince + VACANCY_PATIENCE_MS;
            return turn ? this.propose(holders.length === 0 ? "first holder" : "holders proved dead", now) : [];
        }
        this.vacantSince = undefined;
        return alive.flatMap(holder => this.probe(holder, constants.OUTSIDER_PROBE_INTERVAL_MS, now));
    }

    /** The standby was active and has been silent until none of its rights outlast the change. */
    private isLost(role: Primary, now: number): boolean {
        return role.ledger.active
            ? now >= role.ledger.lastReplyAt + constants.LEASE_WITH_MARGIN_MS && !role.ledger.leased(now)
            : now >= role.since + constants.NEW_STANDBY_PATIENCE_MS;
    }

    /** Names another standby, or none when there is no other agent and the present one is lost. */
    private appoint(now: number, reason: string): readonly messages.Action[] {
        if (this.pending !== undefined || now < this.lastWriteAt + constants.WRITE_INTERVAL_MS) {
            return [];
        }
        const record = this.record!;
        const excluded = new Set([
            ...this.deadAddresses(),
            ...record.standby === undefined ? [] : [record.standby.address],
        ]);
        const standby = this.surroundings.standby(excluded) ?? this.restartedStandby();
        const unrecorded = record.epoch > this.storedEpoch;
        if (standby === undefined && record.standby === undefined && !unrecorded) {
            return [];
        }
        this.replacing = record.standby !== undefined;
        const epoch = unrecorded ? record.epoch : record.epoch + 1;
        return this.write({ group: this.group, epoch, primary: this.self, ...optional(standby) }, reason, now);
    }

    /** The process that took the address of the dead standby; used when there is no other agent. */
    private restartedStandby(): incarnations.Incarnation | undefined {
        const next = this.surroundings.standby(new Set());
        return next === undefined || this.isDead(next) || this.isStandby(next) ? undefined : next;
    }

    /** Proposes this process as the primary of the next epoch. */
    private propose(reason: string, now: number): readonly messages.Action[] {
        if (now < this.lastWriteAt + constants.WRITE_INTERVAL_MS) {
            return [];
        }
        const epoch = (this.record?.epoch ?? 0) + 1;
        const former = this.record === undefined ? [] : [this.record.primary.address];
        const standby = this.surroundings.standby(new Set([...former, ...this.deadAddresses()]));
        return this.write({ group: this.group, epoch, primary: this.self, ...optional(standby) }, reason, now);
    }

    private write(holder: types.Holder, reason: string, now: number): readonly messages.Action[] {
        this.lastWriteAt = now;
        const expectedEpoch = this.storedEpoch;
        this.pending = { holder, expectedEpoch, reason, inDoubt: false, running: true, attemptedAt: now };
        return [{ kind: "write", holder, expectedEpoch }];
    }

    /** A write in doubt is repeated until the store tells whether it took effect. */
    private repeatWrite(now: number): readonly messages.Action[] {
        const pending = this.pending;
        if (pending === undefined || pending.running || now < pending.attemptedAt + constants.WRITE_INTERVAL_MS) {
            return [];
        }
        pending.running = true;
        pending.attemptedAt = now;
        return [{ kind: "write", holder: pending.holder, expectedEpoch: pending.expectedEpoch }];
    }

    /** The change of the holders that this process proposed is in the store. */
    private accepted(pending: PendingWrite, now: number): readonly messages.Action[] {
        this.pending = undefined;
        this.replacing = false;
        const former = this.role;
        this.record = pending.holder;
        if (former.role === "primary") {
            // The former standby has lost its rights with the change; the new one has none before it answers.
            this.role = {
                ...former,
                ledger: new ledgers.RenewalLedger(),
                since: now,
                standbyDead: false,
                handingOver: false,
                handoverSequence: 0,
            };
            return [...this.serveDeferred(this.role, now), ...this.renew(this.role, now)];
        }
        const levels = former.role === "standby" ? former.view.levels : undefined;
        return this.becomePrimary(levels, now, pending.reason);
    }

    /** Takes over without the store. The change is recorded when the store answers. */
    private takeOver(levels: readonly messages.Level[], now: number, reason: string): readonly messages.Action[] {
        const receivedAt = this.role.role === "standby" ? this.role.view.levels?.receivedAt ?? now : now;
        this.record = { group: this.group, epoch: this.record!.epoch + 1, primary: this.self };
        return [...this.becomePrimary({ levels, receivedAt }, now, reason), ...this.appoint(now, reason)];
    }

    private becomePrimary(
        replica: bucketTables.ReplicatedLevels | undefined,
        now: number,
        reason: string,
    ): readonly messages.Action[] {
        const buckets = replica === undefined
            ? new bucketTables.BucketTable(this.rates, now)
            : bucketTables.BucketTable.fromReplica(this.rates, replica, now);
        const ledger = new ledgers.RenewalLedger();
        this.role = {
            role: "primary",
            buckets,
            ledger,
            since: now,
            standbyDead: false,
            handingOver: false,
            handoverSequence: 0,
        };
        return [this.notify("budget-ownership-taken", reason), ...this.renew(this.role, now)];
    }

    /** Another process changed the holders. */
    private follow(holder: types.Holder, now: number): readonly messages.Action[] {
        const lost = this.role.role === "primary";
        const actions = this.refuseDeferred();
        this.record = holder;
        this.pending = undefined;
        this.replacing = false;
        if (lost) {
            actions.push(this.notify("budget-ownership-lost", `epoch ${holder.epoch} has other holders`));
        }
        if (this.isStandby(this.self)) {
            const primaryDead = this.isDead(holder.primary);
            this.role = { role: "standby", view: new standbyViews.StandbyView(now), primaryDead };
            return actions;
        }
        if (this.isPrimary(this.self)) {
            return [...actions, ...this.becomePrimary(undefined, now, "named by the record")];
        }
        this.role = { role: "none" };
        return actions;
    }

    /** A standby that has taken over in an earlier attempt refuses the next one and names its higher epoch. */
    private confirmsHandover(
        role: Primary,
        sequence: number,
        epoch: number,
        reply: messages.RenewalReply | undefined,
    ): boolean {
        const granted = reply?.granted === true && sequence >= role.handoverSequence;
        return granted || (reply !== undefined && reply.epoch > epoch);
    }

    /** The store may still name this process as the primary, so the epoch of the successor is noted here. */
    private handedOver(): readonly messages.Action[] {
        const record = this.record!;
        const actions = this.refuseDeferred();
        this.role = { role: "none" };
        this.record = { group: this.group, epoch: record.epoch + 1, primary: record.standby! };
        return [...actions, this.notify("budget-handed-over", "draining")];
    }

    private renew(role: Primary, now: number): readonly messages.Action[] {
        const record = this.record;
        if (record?.standby === undefined || role.standbyDead || this.pending !== undefined) {
            return [];
        }
        role.buckets.rollUsage(now);
        const horizon = role.handingOver ? 0 : constants.RESERVATION_HORIZON_MS;
        const levels = role.buckets.levels(this.deferredDemand(), horizon, now);
        const acknowledged = role.ledger.acknowledged;
        const sequence = role.ledger.send(levels, now);
        const renewal = {
            group: this.group,
            epoch: record.epoch,
            primary: this.self,
            levels,
            sequence,
            acknowledged,
            handover: role.handingOver,
        };
        return [{ kind: "send-renewal", to: record.standby, renewal }];
    }

    private holdsLease(role: Primary, now: number): boolean {
        const alone = this.record?.standby === undefined || role.standbyDead || !role.ledger.active;
        return alone || role.ledger.leased(now);
    }

    private allowance(role: Primary, customer: string): number {
        return role.standbyDead ? Number.POSITIVE_INFINITY : role.ledger.allowance(customer);
    }

    private needsReservation(role: Primary, demands: readonly messages.Demand[], now: number): boolean {
        return demands.some(demand => {
            const wanted = Math.min(demand.count, role.buckets.available(demand.customer, now));
            return wanted > this.allowance(role, demand.customer);
        });
    }

    private grant(
        role: Primary,
        call: number,
        demands: readonly messages.Demand[],
        now: number,
    ): messages.Action {
        const grants = demands.map(demand => this.grantDemand(role, demand, now));
        const reply = { epoch: this.record!.epoch, grants, primaryAddress: this.self.address };
        return { kind: "reply", call, reply };
    }

    private grantDemand(role: Primary, demand: messages.Demand, now: number): messages.Grant {
        const customer = demand.customer;
        const since = now - demand.waitedMs;
        const older = this.waitingList.older(customer, since, now);
        const available = Math.max(0, role.buckets.available(customer, now) - older);
        const count = Math.min(demand.count, available, this.allowance(role, customer));
        role.buckets.take(customer, count, now);
        role.ledger.grant(customer, count);
        this.waitingList.remove(customer, since, now);
        const validForMs = role.buckets.validity(customer);
        if (count === demand.count) {
            return { customer, count, nextInMs: 0, validForMs };
        }
        const nextInMs = this.nextIn(role, customer, older + 1, now);
        if (count === 0) {
            this.waitingList.add(customer, since, nextInMs, now);
        }
        return { customer, count, nextInMs, validForMs };
    }

    /** A customer that this process does not know yet may be in a configuration that is still on its way. */
    private nextIn(role: Primary, customer: string, tokens: number, now: number): number {
        const wait = role.buckets.has(customer) ? role.buckets.waitFor(customer, tokens, now) : constants.RETRY_HINT_MS;
        return Math.max(1, Math.ceil(wait));
    }

    private deferredDemand(): ReadonlyMap<string, number> {
        const demand = new Map<string, number>();
        for (const { customer, count } of this.deferred.flatMap(call => call.demands)) {
            demand.set(customer, (demand.get(customer) ?? 0) + count);
        }
        return demand;
    }

    /** Answers deferred calls in order as far as the reservations go, and renews at once for the rest. */
    private serveDeferred(role: Primary, now: number): readonly messages.Action[] {
        if (!this.mayGrant(now)) {
            return this.refuseDeferred();
        }
        const actions: messages.Action[] = [];
        const waiting = this.deferred;
        this.deferred = [];
        for (const call of waiting) {
            if (this.needsReservation(role, call.demands, now)) {
                this.deferred.push(call);
            }
            else {
                actions.push(this.grant(role, call.call, call.demands, now));
            }
        }
        return this.deferred.length > 0 && !role.ledger.waiting(now) ? [...actions, ...this.renew(role, now)] : actions;
    }

    /** Answers calls that waited too long with what the present reservations allow. */
    private expireDeferred(role: Primary, now: number): readonly messages.Action[] {
        if (!this.mayGrant(now)) {
            return this.refuseDeferred();
        }
        const late = this.deferred.filter(call => now >= call.arrivedAt + constants.DEFERRAL_LIMIT_MS);
        this.deferred = this.deferred.filter(call => !late.includes(call));
        return late.map(call => this.grant(role, call.call, call.demands, now));
    }

    private refuseDeferred(): messages.Action[] {
        const waiting = this.deferred;
        this.deferred = [];
        return waiting.map(call => this.refusal(call.call, call.demands, "budget-lease-missing"));
    }

    private refusal(
        call: number,
        demands: readonly messages.Demand[],
        kind: "budget-not-holder" | "budget-lease-missing",
    ): messages.Action {
        const grants = demands.map(demand => ({
            customer: demand.customer,
            count: 0,
            nextInMs: constants.RETRY_HINT_MS,
            validForMs: 0,
        }));
        const failure = { kind, detail: `group ${this.group}`, retryAfterMs: constants.RETRY_HINT_MS } as const;
        return {
            kind: "reply",
            call,
            reply: { epoch: this.record?.epoch ?? 0, grants, failure, primaryAddress: this.knownPrimary() },
        };
    }

    private knownPrimary(): string {
        if (this.role.role === "primary" && this.role.handingOver) {
            return this.record?.standby?.address ?? "";
        }
        return this.record?.primary.address ?? "";
    }

    private probe(
        incarnation: incarnations.Incarnation,
        intervalMs: number,
        now: number,
    ): readonly messages.Action[] {
        const id = incarnations.incarnationId(incarnation);
        if (now < (this.probedAt.get(id) ?? Number.NEGATIVE_INFINITY) + intervalMs) {
            return [];
        }
        this.probedAt.set(id, now);
        return [{ kind: "probe", incarnation }];
    }

    private notify(event: messages.OwnershipEvent, reason: string): messages.Action {
        return { kind: "notify", event, reason };
    }

    private isPrimary(incarnation: incarnations.Incarnation): boolean {
        return this.record !== undefined && incarnations.sameIncarnation(this.record.primary, incarnation);
    }

    private isStandby(incarnation: incarnations.Incarnation): boolean {
        return this.record?.standby !== undefined && incarnations.sameIncarnation(this.record.standby, incarnation);
    }

    private isDead(incarnation: incarnations.Incarnation): boolean {
        return this.dead.has(incarnations.incarnationId(incarnation));
    }

    private deadAddresses(): readonly string[] {
        const holders = this.record === undefined ? [] : [this.record.primary, this.record.standby];
        return holders.filter(holder => holder !== undefined).filter(holder => this.isDead(holder))
            .map(holder => holder.address);
    }
}

/** Agents that watch the holders of a group from outside; a second one covers the loss of the first. */
const CANDIDATES_PER_GROUP = 2;

const VACANCY_PATIENCE_MS = 2000;

/** Proofs of earlier holders are forgotten beyond this number; a new probe finds them again. */
const REMEMBERED_PROOFS = 64;

export function sameHolder(left: types.Holder, right: types.Holder): boolean {
    const sameStandby = left.standby === undefined || right.standby === undefined
        ? left.standby === right.standby
        : incarnations.sameIncarnation(left.standby, right.standby);
    return left.epoch === right.epoch && sameStandby && incarnations.sameIncarnation(left.primary, right.primary);
}

function optional(standby: incarnations.Incarnation | undefined): { readonly standby?: incarnations.Incarnation; } {
    return standby === undefined ? {} : { standby };
}
