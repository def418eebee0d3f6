/** Tracks the renewals that a primary has sent: its lease, and the remaining reservation of each renewal. */
import * as constants from "./constants.js";
import type * as messages from "./messages.js";

interface SentRenewal {
    readonly sequence: number;
    readonly sentAt: number;
    /** Reservation minus the grants since the renewal was sent, by customer. */
    readonly remaining: Map<string, number>;
    /**
     * Whether the standby may take over with the levels of this renewal. It may not before the primary has acknowledged
     * one of its replies, so the first renewals of an epoch do not limit grants.
     */
    readonly limitsGrants: boolean;
}

export class RenewalTracker {
    private sent: SentRenewal[] = [];
    private lastSequence = 0;
    private inFlight: SentRenewal | undefined;
    private lastSentAt = Number.NEGATIVE_INFINITY;
    private lastAcknowledged = 0;
    private leaseEndsAt = Number.NEGATIVE_INFINITY;
    private lastReceivedAt = Number.NEGATIVE_INFINITY;

    /** Sequence number of the last confirmed renewal; 0 before the first. */
    get acknowledged(): number {
        return this.lastAcknowledged;
    }

    get nextSequence(): number {
        return this.lastSequence + 1;
    }

    /** Whether the standby has replied in this epoch; it may then take over, and the primary needs a lease. */
    get isConfirmed(): boolean {
        return this.lastAcknowledged > 0;
    }

    get lastReplyAt(): number {
        return this.lastReceivedAt;
    }

    hasLease(now: number): boolean {
        return now < this.leaseEndsAt;
    }

    /** Whether a renewal has neither ended nor timed out. */
    isInProgress(now: number): boolean {
        return this.inFlight !== undefined && now < this.inFlight.sentAt + constants.RENEWAL_TIMEOUT_MS;
    }

    isDue(now: number): boolean {
        return !this.isInProgress(now) && now >= this.lastSentAt + constants.RENEWAL_INTERVAL_MS;
    }

    /** Adds a renewal that is sent at `now` and returns its sequence number. */
    add(levels: readonly messages.BucketLevel[], now: number): number {
        this.lastSequence++;
        const remaining = new Map(levels.map(level => [level.customer, level.reservation]));
        const renewal = { sequence: this.lastSequence, sentAt: now, remaining, limitsGrants: this.isConfirmed };
        this.sent.push(renewal);
        this.inFlight = renewal;
        this.lastSentAt = now;
        return this.lastSequence;
    }

    /** Extends the lease, counted from sending the renewal. Renewals before this one no longer limit grants. */
    confirm(sequence: number, now: number): void {
        const renewal = this.sent.find(candidate => candidate.sequence === sequence);
        this.callEnded(sequence);
        if (renewal === undefined) {
            return;
        }
        this.leaseEndsAt = Math.max(this.leaseEndsAt, renewal.sentAt + constants.LEASE_MS);
        this.lastReceivedAt = now;
        this.lastAcknowledged = Math.max(this.lastAcknowledged, sequence);
        this.sent = this.sent.filter(candidate => candidate.sequence >= sequence);
    }

    /** Ends the call of a renewal. If it failed, the standby may still have received it, so its reservation applies. */
    callEnded(sequence: number): void {
        if (this.inFlight?.sequence === sequence) {
            this.inFlight = undefined;
        }
    }

    /** Grants left: the minimum over the last confirmed renewal and all later ones, each of which may have arrived. */
    allowance(customer: string): number {
        const limits = this.sent.filter(renewal => renewal.limitsGrants)
            .map(renewal => renewal.remaining.get(customer) ?? 0);
        return limits.length === 0 ? Number.POSITIVE_INFINITY : Math.max(0, Math.min(...limits));
    }

    /** Subtracts grants from the reservations. */
    grant(customer: string, count: number): void {
        for (const renewal of this.sent) {
            renewal.remaining.set(customer, (renewal.remaining.get(customer) ?? 0) - count);
        }
    }
}
