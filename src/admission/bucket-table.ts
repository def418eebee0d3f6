/** Buckets of the customers of one group, as its primary keeps them. */
import type * as manifest from "../manifest/types.js";
import * as buckets from "./bucket.js";
import * as constants from "./constants.js";
import type * as messages from "./messages.js";

export type Rates = ReadonlyMap<string, manifest.Rate>;

interface Entry {
    readonly shape: buckets.Shape;
    readonly bucket: buckets.Bucket;
}

/** Levels that a standby replicated, with the time at which it received them. */
export interface ReplicatedLevels {
    readonly levels: readonly messages.Level[];
    readonly receivedAt: number;
}

export class BucketTable {
    private readonly entries = new Map<string, Entry>();
    /** Grants per customer in the present interval, and a decaying measure of those before. */
    private readonly recent = new Map<string, number>();
    private readonly usage = new Map<string, number>();
    private rates: Rates = new Map();
    private rolledAt = Number.NEGATIVE_INFINITY;

    /** `ownedSince` is the time since which no other process can have granted. */
    constructor(rates: Rates, private readonly ownedSince: number) {
        this.setRates(rates, ownedSince);
    }

    /**
     * Buckets of a standby that takes over.
     *
     * The reservation is subtracted from the level refilled up to now, not from the replicated one: tokens that the
     * primary left in a full bucket and granted late must not be refilled a second time.
     */
    static fromReplica(rates: Rates, replica: ReplicatedLevels, now: number): BucketTable {
        const table = new BucketTable(rates, now);
        for (const replicated of replica.levels) {
            const entry = table.entries.get(replicated.customer);
            if (entry !== undefined) {
                const received = { level: replicated.level, at: replica.receivedAt };
                const level = buckets.levelAt(received, entry.shape, now) - replicated.reservation;
                table.entries.set(replicated.customer, { ...entry, bucket: { level, at: now } });
            }
        }
        return table;
    }

    /**
     * Adopts the rates of a configuration. A lowered rate cuts the level at once.
     *
     * A customer that is new here starts as if its bucket had been empty when the ownership began: a former holder may
     * have granted until then under a configuration that this process had not seen.
     */
    setRates(rates: Rates, now: number): void {
        this.rates = rates;
        for (const [customer, rate] of rates) {
            const shape = buckets.shapeOf(rate);
            const known = this.entries.get(customer);
            const bucket = known === undefined
                ? { level: buckets.levelAt({ level: 0, at: this.ownedSince }, shape, now), at: now }
                : buckets.reshape(known.bucket, known.shape, shape, now);
            this.entries.set(customer, { shape, bucket });
        }
    }

    /** Customers that left the manifest keep their bucket, so that a return does not refill it, but get nothing. */
    has(customer: string): boolean {
        return this.rates.has(customer);
    }

    available(customer: string, now: number): number {
        const entry = this.entries.get(customer);
        return entry === undefined || !this.has(customer) ? 0 : buckets.available(entry.bucket, entry.shape, now);
    }

    take(customer: string, count: number, now: number): void {
        const entry = this.entries.get(customer);
        if (entry === undefined || count === 0) {
            return;
        }
        this.entries.set(customer, { ...entry, bucket: buckets.take(entry.bucket, entry.shape, now, count) });
        this.recent.set(customer, (this.recent.get(customer) ?? 0) + count);
    }

    waitFor(customer: string, count: number, now: number): number {
        const entry = this.entries.get(customer);
        return entry === undefined ? 0 : buckets.waitFor(entry.bucket, entry.shape, now, count);
    }

    validity(customer: string): number {
        return this.entries.get(customer)?.shape.validityMs ?? 0;
    }

    /**
     * Levels and reservations for a renewal. `waiting` holds the demand that waits for this renewal.
     *
     * What a takeover forgoes is the unused part of a reservation, so customers with little traffic get none ahead of
     * their demand, and others at most the refill of the horizon.
     */
    levels(waiting: ReadonlyMap<string, number>, horizonMs: number, now: number): readonly messages.Level[] {
        return [...this.entries].map(([customer, entry]) => {
            const ahead = Math.floor(Math.min(this.usage.get(customer) ?? 0, entry.shape.tokensPerMs * horizonMs));
            const wanted = (waiting.get(customer) ?? 0) + ahead;
            const level = buckets.levelAt(entry.bucket, entry.shape, now);
            const possible = Math.max(0, Math.floor(level + entry.shape.tokensPerMs * horizonMs));
            return { customer, level, reservation: this.has(customer) ? Math.min(wanted, possible) : 0 };
        });
    }

    /** Starts the next interval of the usage measure, which sizes reservations, when the present one is over. */
    rollUsage(now: number): void {
        if (now < this.rolledAt + constants.RENEWAL_INTERVAL_MS) {
            return;
        }
        this.rolledAt = now;
        for (const customer of this.entries.keys()) {
            const recent = this.recent.get(customer) ?? 0;
            const decayed = (this.usage.get(customer) ?? 0) * USAGE_DECAY;
            this.usage.set(customer, Math.max(recent * USAGE_HEADROOM, decayed));
        }
        this.recent.clear();
    }
}

const USAGE_DECAY = 0.5;
/** Arrivals vary between two intervals; a shortage costs a round trip to the standby. */
const USAGE_HEADROOM = 1.5;
