/** What a standby knows about its primary: the replicated levels, the granted lease and when it may take over. */
import type * as bucketTables from "./bucket-table.js";
import * as constants from "./constants.js";
import type * as messages from "./messages.js";

export class StandbyView {
    private replica: bucketTables.ReplicatedLevels | undefined;
    private lastSequence = 0;
    private acknowledged = 0;
    private repliedAt: number | undefined;
    /** Times of the replies that the primary may still acknowledge, by sequence number. */
    private readonly replyTimes = new Map<number, number>();
    /** Until this monotonic time the primary can't have replaced this standby. */
    private proofSufficesUntil = Number.NEGATIVE_INFINITY;

    /** `receivedAt` is the time of the last renewal, initially the time at which this process became the standby. */
    constructor(private receivedAt: number) {}

    get lastReceivedAt(): number {
        return this.receivedAt;
    }

    /** Levels to take over with; absent until the primary acknowledges a reply, since it may grant without limit before. */
    get levels(): bucketTables.ReplicatedLevels | undefined {
        return this.acknowledged > 0 ? this.replica : undefined;
    }

    /** Whether a later renewal has been received. Renewals may be reordered; an older one must not replace newer levels. */
    isOutdated(renewal: messages.Renewal): boolean {
        return renewal.sequence <= this.lastSequence;
    }

    /** Stores the levels and records that the reply is sent at `now`. */
    receive(renewal: messages.Renewal, now: number): void {
        this.receivedAt = now;
        this.lastSequence = renewal.sequence;
        this.replica = { levels: renewal.levels, receivedAt: now };
        this.acknowledged = Math.max(this.acknowledged, renewal.acknowledged);
        const acknowledgedAt = this.replyTimes.get(renewal.acknowledged);
        if (acknowledgedAt !== undefined) {
            this.proofSufficesUntil = Math.max(this.proofSufficesUntil, acknowledgedAt + constants.LEASE_MS);
        }
        for (const sequence of [...this.replyTimes.keys()].filter(known => known < renewal.acknowledged)) {
            this.replyTimes.delete(sequence);
        }
        this.repliedAt = now;
        this.replyTimes.set(renewal.sequence, now);
    }

    /** Whether the last lease granted to the primary has ended. False if the primary has never acknowledged a reply. */
    isLeaseExpired(now: number): boolean {
        return this.acknowledged > 0 && this.repliedAt !== undefined
            && now >= this.repliedAt + constants.LEASE_WITH_MARGIN_MS;
    }

    /**
     * Whether this process may take over without the store if the primary is proved dead. Later the primary may have
     * replaced this process before it died. It does so at the earliest when the lease with its margin has passed since
     * it received the reply.
     */
    proofSuffices(now: number): boolean {
        return now < this.proofSufficesUntil;
    }
}
