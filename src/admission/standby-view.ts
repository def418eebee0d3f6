/** What a standby knows of its primary: replicated levels, the lease it granted and its right to take over. */
import type * as bucketTables from "./bucket-table.js";
import * as constants from "./constants.js";
import type * as messages from "./messages.js";

export class StandbyView {
    private replica: bucketTables.ReplicatedLevels | undefined;
    private lastSequence = 0;
    private acknowledged = 0;
    private repliedAt: number | undefined;
    /** Times of the replies that the primary may still acknowledge. */
    private readonly replyTimes = new Map<number, number>();
    private proofEnd = Number.NEGATIVE_INFINITY;

    /** `heardAt` is the time at which this process became the standby. */
    constructor(private heardAt: number) {}

    get lastHeardAt(): number {
        return this.heardAt;
    }

    /** Levels to take over with; absent before the primary acknowledged a reply, since it may grant without limit. */
    get levels(): bucketTables.ReplicatedLevels | undefined {
        return this.acknowledged > 0 ? this.replica : undefined;
    }

    /** Renewals can overtake each other; an older one must not replace newer levels. */
    isOutdated(renewal: messages.Renewal): boolean {
        return renewal.sequence <= this.lastSequence;
    }

    /** Stores the levels and notes that a reply is sent now. */
    receive(renewal: messages.Renewal, now: number): void {
        this.heardAt = now;
        this.lastSequence = renewal.sequence;
        this.replica = { levels: renewal.levels, receivedAt: now };
        this.acknowledged = Math.max(this.acknowledged, renewal.acknowledged);
        const acknowledgedAt = this.replyTimes.get(renewal.acknowledged);
        if (acknowledgedAt !== undefined) {
            this.proofEnd = Math.max(this.proofEnd, acknowledgedAt + constants.LEASE_MS);
        }
        for (const sequence of [...this.replyTimes.keys()].filter(known => known < renewal.acknowledged)) {
            this.replyTimes.delete(sequence);
        }
        this.repliedAt = now;
        this.replyTimes.set(renewal.sequence, now);
    }

    /** The lease that this process granted has ended and the primary relied on it. */
    leaseExpired(now: number): boolean {
        return this.acknowledged > 0 && this.repliedAt !== undefined
            && now >= this.repliedAt + constants.LEASE_WITH_MARGIN_MS;
    }

    /**
     * A proof that the primary is dead suffices without the store. Later the primary may have replaced this process
     * before it died: it does so no earlier than the lease with margin after it received the reply.
     */
    proofSuffices(now: number): boolean {
        return now < this.proofEnd;
    }
}
