/**
 * Replicated token bucket of a customer or a server; every entry keeps a copy.
 *
 * Each entry subtracts its own spending at once and the spending of its peers when their heartbeats report it. While peers are
 * unreachable, the bucket fills only at the share of the reachable entries; the unreachable ones limit themselves in the
 * same way to their own share.
 */

/** Rate limit. */
export interface Limit {
    readonly tokensPerSecond: number;
    /** Capacity of the bucket. */
    readonly burstTokens: number;
}

export class ReplicatedBucket {
    private level = 0;
    private share = 1;
    private updatedAt: number;

    /**
     * Starts empty, since the spending before a restart is unknown. `overdraftTokens` may be spent beyond an empty
     * bucket.
     */
    constructor(private limit: Limit, private readonly overdraftTokens: number, now: number) {
        this.updatedAt = now;
    }

    /** Sets the limit and the share of it that this copy applies; a smaller capacity takes effect at once. */
    adjust(limit: Limit, share: number, now: number): void {
        this.refill(now);
        this.limit = limit;
        this.share = share;
        this.level = Math.min(this.level, this.capacity);
    }

    /** Subtracts the spending of this entry or a peer; negative tokens are a refund. */
    spend(tokens: number, now: number): void {
        this.refill(now);
        this.level = Math.min(this.level - tokens, this.capacity);
    }

    /** Time in milliseconds until a call of this size is admitted if nothing else is spent; 0 when it is admitted now. */
    waitMs(tokens: number, now: number): number {
        this.refill(now);
        const overdraft = this.overdraftTokens * this.share;
        // A call larger than the capacity is admitted when the bucket is full, since it would never be admitted otherwise.
        const missing = Math.min(tokens, this.capacity + overdraft) - this.level - overdraft;
        return missing <= 0 ? 0 : missing * 1000 / (this.limit.tokensPerSecond * this.share);
    }

    /** Tokens in the bucket; negative after spending that was not admitted here. */
    available(now: number): number {
        this.refill(now);
        return this.level;
    }

    /** Tokens added in a period of time, at the full rate. */
    inflow(durationMs: number): number {
        return durationMs * this.limit.tokensPerSecond / 1000;
    }

    private get capacity(): number {
        return this.limit.burstTokens * this.share;
    }

    private refill(now: number): void {
        const gained = this.inflow(Math.max(0, now - this.updatedAt)) * this.share;
        this.level = Math.min(this.capacity, this.level + gained);
        this.updatedAt = Math.max(now, this.updatedAt);
    }
}
