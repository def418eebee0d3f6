/** Accounts the spending of all customers, by this entry and its peers, against their rate limits. */
import type * as fleet from "../fleet/types.js";
import * as buckets from "./bucket.js";

/** Total tokens spent per customer since the start of an entry. */
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

    constructor(private readonly settings: LedgerSettings) {}

    /** Creates the buckets of customers, so that they fill and the spending of peers is subtracted before the first call. */
    track(customers: readonly fleet.Customer[], now: number): void {
        customers.filter(customer => customer.tokensPerSecond > 0).forEach(customer => this.bucket(customer, now));
    }

    /** Charges a call. Returns 0 when it is admitted, otherwise the time in milliseconds after which it would be. */
    admit(customer: fleet.Customer, tokens: number, now: number): number {
        if (customer.tokensPerSecond <= 0) {
            return 0;
        }
        const bucket = this.bucket(customer, now);
        const waitMs = bucket.waitMs(tokens, now);
        if (waitMs === 0) {
            this.spend(customer, bucket, tokens, now);
        }
        return waitMs;
    }

    /** Refunds the charge of a call that did not run. */
    refund(customer: fleet.Customer, tokens: number, now: number): void {
        if (customer.tokensPerSecond > 0) {
            this.spend(customer, this.bucket(customer, now), -tokens, now);
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
            for (const [customer, total] of Object.entries(spending)) {
                const before = previous.incarnation === incarnation ? previous.totals.get(customer) ?? 0 : 0;
                const bucket = this.buckets.get(customer);
                const withheld = bucket === undefined ? 0 : bucket.inflow(silentMs) * share;
                bucket?.spend(Math.max(total - before - withheld, Math.min(0, total - before)), now);
            }
        }
        this.peers.set(peer, { incarnation, totals: new Map(Object.entries(spending)), receivedAt: now });
    }

    /** Removes a peer that announced its shutdown. */
    removePeer(peer: string): void {
        this.peers.delete(peer);
    }

    /** Number of entries that share the limits, including this one. */
    entryCount(now: number): number {
        this.removeExpiredPeers(now);
        return this.peers.size + 1;
    }

    private spend(customer: fleet.Customer, bucket: buckets.ReplicatedBucket, tokens: number, now: number): void {
        bucket.spend(tokens, now);
        this.ownTotals.set(customer.name, (this.ownTotals.get(customer.name) ?? 0) + tokens);
    }

    /** Share of the entries that are reachable, including this one. */
    private reachableShare(now: number): number {
        this.removeExpiredPeers(now);
        const reachable =
            [...this.peers.values()].filter(peer => now - peer.receivedAt <= this.settings.silenceMs()).length;
        return (reachable + 1) / (this.peers.size + 1);
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

    private bucket(customer: fleet.Customer, now: number): buckets.ReplicatedBucket {
        const limit = { tokensPerSecond: customer.tokensPerSecond, burstTokens: customer.burstTokens };
        const bucket = this.buckets.get(customer.name)
            ?? new buckets.ReplicatedBucket(limit, this.settings.overdraftTokens, now);
        this.buckets.set(customer.name, bucket);
        bucket.adjust(limit, this.reachableShare(now), now);
        return bucket;
    }
}
