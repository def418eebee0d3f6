/** Spending of all customers against their rates, own and heard of from the other entries. */
import type * as fleet from "../fleet/types.js";
import * as buckets from "./bucket.js";

/** Total tokens that an entry has spent per customer since its start. */
export type Spending = Readonly<Record<string, number>>;

export interface LedgerSettings {
    /** Tokens that all entries together may spend beyond rate and burst. */
    readonly overdraftTokens: number;
    /** Silence of a peer in milliseconds from which its spending is unknown. */
    readonly silenceMs: number;
    /**
     * Silence in milliseconds after which a peer is taken to have gone, by an entry that hears others. A peer that is
     * cut off for longer spends its part beyond the rate.
     */
    readonly forgetMs: number;
}

interface Peer {
    readonly incarnation: string;
    readonly totals: ReadonlyMap<string, number>;
    readonly heardAt: number;
}

export class QuotaLedger {
    private readonly buckets = new Map<string, buckets.ReplicatedBucket>();
    private readonly ownTotals = new Map<string, number>();
    private readonly peers = new Map<string, Peer>();

    constructor(private readonly settings: LedgerSettings) {}

    /** Begins to count for customers, so that their buckets fill and the spending of peers is known before a call. */
    follow(customers: readonly fleet.Customer[], now: number): void {
        customers.filter(customer => customer.tokensPerSecond > 0).forEach(customer => this.bucket(customer, now));
    }

    /** Charges a call. Returns 0 when it is admitted, otherwise the milliseconds after which it would be. */
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

    /** Gives back what a call was charged that did not run. */
    refund(customer: fleet.Customer, tokens: number, now: number): void {
        if (customer.tokensPerSecond > 0) {
            this.spend(customer, this.bucket(customer, now), -tokens, now);
        }
    }

    /** Own totals since the start, for the next beat. */
    spending(): Spending {
        return Object.fromEntries(this.ownTotals);
    }

    /** Takes over the totals of a peer. The first totals that are heard of a peer only set the base. */
    hear(peer: string, incarnation: string, spending: Spending, now: number): void {
        const known = this.peers.get(peer);
        if (known !== undefined) {
            const silentMs = Math.max(0, now - known.heardAt - this.settings.silenceMs);
            const share = 1 / (this.peers.size + 1);
            for (const [customer, total] of Object.entries(spending)) {
                const before = known.incarnation === incarnation ? known.totals.get(customer) ?? 0 : 0;
                const bucket = this.buckets.get(customer);
                const withheld = bucket === undefined ? 0 : bucket.inflow(silentMs) * share;
                bucket?.spend(Math.max(total - before - withheld, Math.min(0, total - before)), now);
            }
        }
        this.peers.set(peer, { incarnation, totals: new Map(Object.entries(spending)), heardAt: now });
    }

    /** Removes a peer that announced its end. */
    remove(peer: string): void {
        this.peers.delete(peer);
    }

    /** Number of entries that share the limits, this one included. */
    entryCount(now: number): number {
        this.forget(now);
        return this.peers.size + 1;
    }

    private spend(customer: fleet.Customer, bucket: buckets.ReplicatedBucket, tokens: number, now: number): void {
        bucket.spend(tokens, now);
        this.ownTotals.set(customer.name, (this.ownTotals.get(customer.name) ?? 0) + tokens);
    }

    /** Share of the limits that those entries use that are heard, this one included. */
    private heardShare(now: number): number {
        this.forget(now);
        const heard = [...this.peers.values()].filter(peer => now - peer.heardAt <= this.settings.silenceMs).length;
        return (heard + 1) / (this.peers.size + 1);
    }

    /** An entry that hears nobody may itself be cut off; it forgets nobody and stays within its part of the rates. */
    private forget(now: number): void {
        const peers = [...this.peers];
        const hearsOthers = peers.some(([, peer]) => now - peer.heardAt <= this.settings.silenceMs);
        for (const [name, peer] of peers) {
            if (hearsOthers && now - peer.heardAt > this.settings.forgetMs) {
                this.peers.delete(name);
            }
        }
    }

    private bucket(customer: fleet.Customer, now: number): buckets.ReplicatedBucket {
        const limit = { tokensPerSecond: customer.tokensPerSecond, burstTokens: customer.burstTokens };
        const bucket = this.buckets.get(customer.name)
            ?? new buckets.ReplicatedBucket(limit, this.settings.overdraftTokens, now);
        this.buckets.set(customer.name, bucket);
        bucket.adjust(limit, this.heardShare(now), now);
        return bucket;
    }
}
