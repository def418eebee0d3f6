/** Renewals that a primary sent: its lease and what it may still grant under each reservation. */
import * as constants from "./constants.js";
import type * as messages from "./messages.js";

interface SentRenewal {
    readonly sequence: number;
    readonly sentAt: number;
    /** Grants left per customer, counted from the moment of sending. */
    readonly remaining: Map<string, number>;
    /**
     * The standby may act on the levels of this renewal. It may not before it saw an acknowledged reply, so the first
     * renewals of an epoch limit nothing.
     */
    readonly limiting: boolean;
}

export class RenewalLedger {
    private sent: SentRenewal[] = [];
    private sequence = 0;
    private inFlight: SentRenewal | undefined;
    private lastSentAt = Number.NEGATIVE_INFINITY;
    private lastAcknowledged = 0;
    private leaseEnd = Number.NEGATIVE_INFINITY;
    private receivedAt = Number.NEGATIVE_INFINITY;

    /** Sequence number of the last reply; 0 before the first. */
    get acknowledged(): number {
        return this.lastAcknowledged;
    }

    get nextSequence(): number {
        return this.sequence + 1;
    }

    /** The standby answered in this epoch, so it may take over and the primary needs its lease. */
    get active(): boolean {
        return this.lastAcknowledged > 0;
    }

    get lastReplyAt(): number {
        return this.receivedAt;
    }

    leased(now: number): boolean {
        return now < this.leaseEnd;
    }

    /** A renewal is under way that has not timed out. */
    waiting(now: number): boolean {
        return this.inFlight !== undefined && now < this.inFlight.sentAt + constants.RENEWAL_TIMEOUT_MS;
    }

    due(now: number): boolean {
        return !this.waiting(now) && now >= this.lastSentAt + constants.RENEWAL_INTERVAL_MS;
    }

    /** Registers a renewal that is sent now and returns its sequence number. */
    send(levels: readonly messages.Level[], now: number): number {
        this.sequence++;
        const remaining = new Map(levels.map(level => [level.customer, level.reservation]));
        const renewal = { sequence: this.sequence, sentAt: now, remaining, limiting: this.active };
        this.sent.push(renewal);
        this.inFlight = renewal;
        this.lastSentAt = now;
        return this.sequence;
    }

    /** The lease counts from the moment the renewal was sent. Renewals before the confirmed one no longer limit. */
    confirm(sequence: number, now: number): void {
        const renewal = this.sent.find(candidate => candidate.sequence === sequence);
        this.finish(sequence);
        if (renewal === undefined) {
            return;
        }
        this.leaseEnd = Math.max(this.leaseEnd, renewal.sentAt + constants.LEASE_MS);
        this.receivedAt = now;
        this.lastAcknowledged = Math.max(this.lastAcknowledged, sequence);
        this.sent = this.sent.filter(candidate => candidate.sequence >= sequence);
    }

    /** The call failed. The standby may have received it all the same, so its reservation still limits. */
    finish(sequence: number): void {
        if (this.inFlight?.sequence === sequence) {
            this.inFlight = undefined;
        }
    }

    /** Grants left: the least of the last confirmed renewal and all later ones, each of which may have arrived. */
    allowance(customer: string): number {
        const limits = this.sent.filter(renewal => renewal.limiting)
            .map(renewal => renewal.remaining.get(customer) ?? 0);
        return limits.length === 0 ? Number.POSITIVE_INFINITY : Math.max(0, Math.min(...limits));
    }

    grant(customer: string, count: number): void {
        for (const renewal of this.sent) {
            renewal.remaining.set(customer, (renewal.remaining.get(customer) ?? 0) - count);
        }
    }
}
