/** Accounts the spending of this entry and its peers against the rate limits of customers, or of servers. */
import * as buckets from "./bucket.js";

/** What a rate limit applies to: a customer, or a server. */
export interface Account {
    readonly name: string;
    /** Tokens per second; 0 means no limit. */
    readonly tokensPerSecond: number;
    /** Capacity of the token bucket. */
    readonly burstTokens: number;
}

/** Total tokens spent per account since the start of an entry. */
export type Spending = Readonly<Record<string, number>>;

export interface LedgerSettings {
    /** Tokens that all entries together may spend beyond rate and burst. */
    readonly overdraftTokens: number;
    /**
     * Time in milliseconds without a heartbeat after which a peer is unreachable and its spending unknown. Several
     * periods of the heartbeats, which grow with the number of processes.
     */
    readonly silenceMs: () => number;
    /**
     * Time in milliseconds without a heartbeat after which an entry that reaches other peers removes a peer, which
     * raises the shares of the others. A peer that is partitioned for longer spends its share in excess of the rate.
     */
    readonly expiryMs: number;
}

interface Peer {
    readonly incarnation: string;
    readonly totals: ReadonlyMap<string, number>;
    readonly receivedAt: number;
}

export class QuotaLedger {
    private readonly buckets = new Map<string, buckets.ReplicatedBucket>();
    private readonly ownTotals = new Map<string, number>();
    private readonly peers = new Map<string, Peer>();
    /** Last computed share, since one decision asks for many accounts at the same time. */
    private reachable = { now: Number.NaN, share: 1 };

    constructor(private readonly settings: LedgerSettings) {}

    /** Creates the buckets, so that they fill and the spending of peers is subtracted before the first call. */
    track(accounts: readonly Account[], now: number): void {
        accounts.filter(account => account.tokensPerSecond > 0).forEach(account => this.bucket(account, now));
    }

    /** Charges a call. Returns 0 when it is admitted, otherwise the time in milliseconds after which it would be. */
    admit(account: Account, tokens: number, now: number): number {
        if (account.tokensPerSecond <= 0) {
            return 0;
        }
        const bucket = this.bucket(account, now);
        const waitMs = bucket.waitMs(tokens, now);
        if (waitMs === 0) {
            this.spend(account, bucket, tokens, now);
        }
        return waitMs;
    }

    /** Time in milliseconds after which a call would be admitted, without charging it. */
    waitMs(account: Account, tokens: number, now: number): number {
        return account.tokensPerSecond <= 0 ? 0 : this.bucket(account, now).waitMs(tokens, now);
    }

    /** Tokens that the account has left; negative if more was spent. */
    available(account: Account, now: number): number {
        return this.bucket(account, now).available(now);
    }

    /** Charges a call that was admitted elsewhere. */
    charge(account: Account, tokens: number, now: number): void {
        this.spend(account, this.bucket(account, now), tokens, now);
    }

    /** Forgets accounts. Peers take what they report later as spent since. */
    retain(names: ReadonlySet<string>): void {
        for (const name of this.buckets.keys()) {
            if (!names.has(name)) {
                this.buckets.delete(name);
                this.ownTotals.delete(name);
            }
        }
    }

    /** Refunds the charge of a call that did not run. */
    refund(account: Account, tokens: number, now: number): void {
        if (account.tokensPerSecond > 0) {
            this.spend(account, this.bucket(account, now), -tokens, now);
        }
    }

    /** Totals of this entry since its start, for the next heartbeat. */
    spending(): Spending {
        return Object.fromEntries(this.ownTotals);
    }

    /**
     * Applies the totals of a peer from its heartbeat. The first totals of a peer only set the baseline. After an outage,
     * spending up to the peer's share of the rate is not subtracted, since this entry did not use that share meanwhile.
     */
    applyPeerSpending(peer: string, incarnation: string, spending: Spending, now: number): void {
        const previous = this.peers.get(peer);
        if (previous !== undefined) {
            const silentMs = Math.max(0, now - previous.receivedAt - this.settings.silenceMs());
            const share = 1 / (this.peers.size + 1);
            for (const [name, total] of Object.entries(spending)) {
                const before = previous.incarnation === incarnation ? previous.totals.get(name) ?? 0 : 0;
                const bucket = this.buckets.get(name);
                const withheld = bucket === undefined ? 0 : bucket.inflow(silentMs) * share;
                bucket?.spend(Math.max(total - before - withheld, Math.min(0, total - before)), now);
            }
        }
        this.reachable = { now: Number.NaN, share: 1 };
        this.peers.set(peer, { incarnation, totals: new Map(Object.entries(spending)), receivedAt: now });
    }

    /** Removes a peer that announced its shutdown. */
    removePeer(peer: string): void {
        this.peers.delete(peer);
        this.reachable = { now: Number.NaN, share: 1 };
    }

    /** Number of entries that share the limits, including this one. */
    entryCount(now: number): number {
        this.removeExpiredPeers(now);
        return this.peers.size + 1;
    }

    /** Number of reachable entries that share the limits, including this one. */
    reachableCount(now: number): number {
        return this.reachableShare(now) * (this.peers.size + 1);
    }

    private spend(account: Account, bucket: buckets.ReplicatedBucket, tokens: number, now: number): void {
        bucket.spend(tokens, now);
        this.ownTotals.set(account.name, (this.ownTotals.get(account.name) ?? 0) + tokens);
    }

    /** Share of the entries that are reachable, including this one. */
    private reachableShare(now: number): number {
        if (this.reachable.now !== now) {
            this.removeExpiredPeers(now);
            const silenceMs = this.settings.silenceMs();
            const reachable = [...this.peers.values()].filter(peer => now - peer.receivedAt <= silenceMs).length;
            this.reachable = { now, share: (reachable + 1) / (this.peers.size + 1) };
        }
        return this.reachable.share;
    }

    /**
     * Removes peers without a recent heartbeat. An entry that reaches no peer may itself be partitioned; it removes none
     * and so stays within its own share of the limits.
     */
    private removeExpiredPeers(now: number): void {
        const peers = [...this.peers];
        const reachesOthers = peers.some(([, peer]) => now - peer.receivedAt <= this.settings.silenceMs());
        for (const [name, peer] of peers) {
            if (reachesOthers && now - peer.receivedAt > this.settings.expiryMs) {
                this.peers.delete(name);
            }
        }
    }

    private bucket(account: Account, now: number): buckets.ReplicatedBucket {
        const limit = { tokensPerSecond: account.tokensPerSecond, burstTokens: account.burstTokens };
        const bucket = this.buckets.get(account.name)
            ?? new buckets.ReplicatedBucket(limit, this.settings.overdraftTokens, now);
        this.buckets.set(account.name, bucket);
        bucket.adjust(limit, this.reachableShare(now), now);
        return bucket;
    }
}
