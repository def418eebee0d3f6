/** Token buckets of the customers of one group; kept by the primary. */
import type * as manifest from "../manifest/types.js";
import * as buckets from "./bucket.js";
import * as constants from "./constants.js";
import type * as messages from "./messages.js";

export type Rates = ReadonlyMap<string, manifest.Rate>;

interface CustomerBucket {
    readonly parameters: buckets.BucketParameters;
    readonly bucket: buckets.Bucket;
}

/** Bucket levels that a standby received from its primary, with the time of receipt. */
export interface ReplicatedLevels {
    readonly levels: readonly messages.BucketLevel[];
    readonly receivedAt: number;
}

export class BucketTable {
    private readonly customers = new Map<string, CustomerBucket>();
    /** Grants per customer in the current interval. */
    private readonly grantsInInterval = new Map<string, number>();
    /** Estimated grants per customer and interval; decays while a customer sends less. */
    private readonly usagePerInterval = new Map<string, number>();
    private rates: Rates = new Map();
    private intervalStartedAt = Number.NEGATIVE_INFINITY;

    /** No other process can have granted since `ownedSince`. */
    constructor(rates: Rates, private readonly ownedSince: number) {
        this.setRates(rates, ownedSince);
    }

    /**
     * Creates the buckets of a standby that takes over.
     *
     * The reservation is subtracted from the level refilled up to `now`, not from the replicated level. Otherwise tokens
     * that the primary granted late from a full bucket would be refilled a second time.
     */
    static fromReplica(rates: Rates, replica: ReplicatedLevels, now: number): BucketTable {
        const table = new BucketTable(rates, now);
        for (const replicated of replica.levels) {
            const entry = table.customers.get(replicated.customer);
            if (entry !== undefined) {
                const received = { level: replicated.level, updatedAt: replica.receivedAt };
                const level = buckets.levelAt(received, entry.parameters, now) - replicated.reservation;
                table.customers.set(replicated.customer, { ...entry, bucket: { level, updatedAt: now } });
            }
        }
        return table;
    }

    /**
     * Applies the rates of a configuration. A lower rate limits the level immediately.
     *
     * The bucket of a new customer is treated as empty at the start of the ownership: until then, a previous holder may
     * have granted under a configuration that this process had not received.
     */
    setRates(rates: Rates, now: number): void {
        this.rates = rates;
        for (const [customer, rate] of rates) {
            const parameters = buckets.parametersOf(rate);
            const known = this.customers.get(customer);
            const bucket = known === undefined
                ? { level: buckets.levelAt({ level: 0, updatedAt: this.ownedSince }, parameters, now), updatedAt: now }
                : buckets.changeParameters(known.bucket, known.parameters, parameters, now);
            this.customers.set(customer, { parameters, bucket });
        }
    }

    /**
     * Whether the customer has a rate. A customer removed from the manifest gets no grants but keeps its bucket, so
     * that adding it again does not refill it.
     */
    isConfigured(customer: string): boolean {
        return this.rates.has(customer);
    }

    available(customer: string, now: number): number {
        const entry = this.customers.get(customer);
        return entry === undefined || !this.isConfigured(customer)
            ? 0
            : buckets.available(entry.bucket, entry.parameters, now);
    }

    take(customer: string, count: number, now: number): void {
        const entry = this.customers.get(customer);
        if (entry === undefined || count === 0) {
            return;
        }
        this.customers.set(customer, { ...entry, bucket: buckets.take(entry.bucket, entry.parameters, now, count) });
        this.grantsInInterval.set(customer, (this.grantsInInterval.get(customer) ?? 0) + count);
    }

    msUntilAvailable(customer: string, count: number, now: number): number {
        const entry = this.customers.get(customer);
        return entry === undefined ? 0 : buckets.msUntilAvailable(entry.bucket, entry.parameters, now, count);
    }

    validityMs(customer: string): number {
        return this.customers.get(customer)?.parameters.validityMs ?? 0;
    }

    /**
     * Levels and reservations for a renewal. `deferredDemand` is the demand of the calls that wait for this renewal.
     *
     * A takeover loses the unused part of a reservation. Customers with little traffic therefore get no reservation
     * beyond their demand, and others at most what the bucket refills within the horizon.
     */
    levels(
        deferredDemand: ReadonlyMap<string, number>,
        horizonMs: number,
        now: number,
    ): readonly messages.BucketLevel[] {
        return [...this.customers].map(([customer, entry]) => {
            const usageInHorizon = Math.floor(
                Math.min(this.usagePerInterval.get(customer) ?? 0, entry.parameters.tokensPerMs * horizonMs),
            );
            const wanted = (deferredDemand.get(customer) ?? 0) + usageInHorizon;
            const level = buckets.levelAt(entry.bucket, entry.parameters, now);
            const possible = Math.max(0, Math.floor(level + entry.parameters.tokensPerMs * horizonMs));
            return { customer, level, reservation: this.isConfigured(customer) ? Math.min(wanted, possible) : 0 };
        });
    }

    /** Updates the usage estimate, which sizes the reservations, when the current interval has ended. */
    updateUsage(now: number): void {
        if (now < this.intervalStartedAt + constants.RENEWAL_INTERVAL_MS) {
            return;
        }
        this.intervalStartedAt = now;
        for (const customer of this.customers.keys()) {
            const grants = this.grantsInInterval.get(customer) ?? 0;
            const decayed = (this.usagePerInterval.get(customer) ?? 0) * USAGE_DECAY;
            this.usagePerInterval.set(customer, Math.max(grants * USAGE_HEADROOM, decayed));
        }
        this.grantsInInterval.clear();
    }
}

/** Factor applied to the usage estimate in each renewal interval. */
const USAGE_DECAY = 0.5;
/** Allows for variation of the arrivals between two intervals; a shortage delays the reply by a round trip to the standby. */
const USAGE_HEADROOM = 1.5;
