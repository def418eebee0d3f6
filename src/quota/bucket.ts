/**
 * Token bucket of a customer that every entry replicates.
 *
 * Each entry subtracts its own spending at once and the others' spending as it hears of it. While peers are silent the
 * bucket fills at the share of those that are heard, which is also what the silent ones limit themselves to.
 */

export interface Limit {
    readonly tokensPerSecond: number;
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

    /** Adopts a limit and the share of it that fills the bucket; a smaller depth takes effect at once. */
    adjust(limit: Limit, share: number, now: number): void {
        this.refill(now);
        this.limit = limit;
        this.share = share;
        this.level = Math.min(this.level, this.depth);
    }

    /** Subtracts spending, own or heard of; negative tokens give spending back. */
    spend(tokens: number, now: number): void {
        this.refill(now);
        this.level = Math.min(this.level - tokens, this.depth);
    }

    /** Milliseconds until a call of this size is admitted if nothing else is spent; 0 when it is admitted now. */
    waitMs(tokens: number, now: number): number {
        this.refill(now);
        const overdraft = this.overdraftTokens * this.share;
        // A call larger than the depth runs when the bucket is full, since it would never run otherwise.
        const missing = Math.min(tokens, this.depth + overdraft) - this.level - overdraft;
        return missing <= 0 ? 0 : missing * 1000 / (this.limit.tokensPerSecond * this.share);
    }

    /** Tokens that flow in during a time, at the whole rate. */
    inflow(durationMs: number): number {
        return durationMs * this.limit.tokensPerSecond / 1000;
    }

    private get depth(): number {
        return this.limit.burstTokens * this.share;
    }

    private refill(now: number): void {
        const gained = this.inflow(Math.max(0, now - this.updatedAt)) * this.share;
        this.level = Math.min(this.depth, this.level + gained);
        this.updatedAt = Math.max(now, this.updatedAt);
    }
}
