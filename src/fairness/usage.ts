/** Usage of a backend server by customer, as fractions of its capacity. Times are in milliseconds. */
import type * as types from "./types.js";

/** Time constant of the average usage. Shorter bursts do not count as usage above the share. */
const AVERAGE_WINDOW_MS = 10_000;
/** Time constant by which the capacity that is reserved for a customer's recent peak decays. */
const PEAK_WINDOW_MS = 30_000;
/** Multiple of its share that a customer may use at a time while its average usage is within the share. */
const BURST_FACTOR = 2;
/** A customer's demand above this multiple of its share of the total is a surge; usual variations are smaller. */
const SURGE_FACTOR = 1.35;
/**
 * Part of its share that is guaranteed to a surging customer. It gets more only while the server has free capacity,
 * since it uses its share without interruption and so leaves less to the others than its usual traffic does.
 */
const SURGE_GUARANTEED_RATIO = 0.75;
/** Fraction of the capacity kept free for jobs of other customers when a customer exceeds its share. */
const HEADROOM_FRACTION = 0.05;
/** Customers that have been idle for longer are ignored when the capacity is divided. */
const ACTIVE_WINDOW_MS = 60_000;

interface CustomerUsage {
    /** Fraction of the capacity that the running jobs occupy. */
    runningFraction: number;
    /** Exponential moving average of `runningFraction`. */
    averageFraction: number;
    /** Recent maximum of `runningFraction`, which decays over time. */
    peakFraction: number;
    /** Cost of the recent requests in tokens, which decays over time. */
    recentCost: number;
    updatedAt: number;
    lastActiveAt: number;
}

export class Usage {
    private readonly customers = new Map<string, CustomerUsage>();
    private weights: types.Weights = new Map();

    setWeights(weights: types.Weights): void {
        this.weights = weights;
    }

    weight(customer: string): number {
        return this.weights.get(customer) ?? 1;
    }

    /** Records a request of the customer and its cost in tokens. */
    recordRequest(customer: string, cost: number, now: number): void {
        const usage = this.currentUsage(customer, now);
        usage.lastActiveAt = now;
        usage.recentCost += cost;
    }

    /** Adds the capacity fraction of a job that starts; the fraction is negative when a job ends. */
    changeRunning(customer: string, fraction: number, now: number): void {
        const usage = this.currentUsage(customer, now);
        usage.runningFraction = Math.max(0, usage.runningFraction + fraction);
        usage.peakFraction = Math.max(usage.peakFraction, usage.runningFraction);
        usage.lastActiveAt = now;
    }

    /** Fraction of the capacity that the customer is entitled to, by its weight among the active customers. */
    share(customer: string, now: number): number {
        return this.shareOf(customer, this.totalWeight(this.activeCustomers(now)));
    }

    /**
     * Whether the customer may start a job that occupies this fraction of the capacity.
     *
     * A customer whose average usage exceeds its share must leave the capacity free that the others used recently.
     * Otherwise its long jobs would occupy every slot, and the others would wait until they end.
     */
    mayStart(customer: string, fraction: number, now: number): boolean {
        const share = this.share(customer, now);
        const usage = this.currentUsage(customer, now);
        const isSurging = this.isSurging(usage, share, now);
        const isWithinBurst = usage.averageFraction <= share
            && usage.runningFraction + fraction <= share * BURST_FACTOR;
        if (!isSurging && (isWithinBurst || usage.runningFraction + fraction <= share)) {
            return true;
        }
        if (usage.runningFraction + fraction <= share * SURGE_GUARANTEED_RATIO) {
            return true;
        }
        let totalRunning = usage.runningFraction;
        let reserved = 0;
        const active = this.activeCustomers(now);
        // Computed once: a sum per customer made the cost of one job cubic in the number of waiting customers.
        const totalWeight = this.totalWeight(active);
        for (const name of active.filter(other => other !== customer)) {
            const other = this.currentUsage(name, now);
            totalRunning += other.runningFraction;
            const otherShare = this.shareOf(name, totalWeight);
            // The recent peak is reserved for customers whose average is within their share, else at most their share.
            const reservedForOther = other.averageFraction <= otherShare
                ? other.peakFraction
                : Math.min(otherShare, other.peakFraction);
            reserved += Math.max(0, reservedForOther - other.runningFraction);
        }
        const applicableReserve = usage.runningFraction + fraction <= share ? 0 : reserved;
        return totalRunning === 0 || totalRunning + applicableReserve + fraction <= 1 - HEADROOM_FRACTION;
    }

    /** Demand indicates a surge earlier than the average usage, and also while the usage is limited to the share. */
    private isSurging(usage: CustomerUsage, share: number, now: number): boolean {
        const totalCost = this.activeCustomers(now).reduce(
            (sum, name) => sum + this.currentUsage(name, now).recentCost,
            0,
        );
        return usage.recentCost > totalCost * share * SURGE_FACTOR;
    }

    private shareOf(customer: string, totalWeight: number): number {
        return this.weight(customer) / Math.max(totalWeight, this.weight(customer));
    }

    private totalWeight(customers: readonly string[]): number {
        return customers.reduce((sum, name) => sum + this.weight(name), 0);
    }

    private activeCustomers(now: number): readonly string[] {
        const idle = [...this.customers].filter(([, usage]) =>
            usage.runningFraction === 0 && now >= usage.lastActiveAt + ACTIVE_WINDOW_MS
        );
        idle.forEach(([customer]) => this.customers.delete(customer));
        return [...this.customers.keys()];
    }

    private currentUsage(customer: string, now: number): CustomerUsage {
        const usage = this.customers.get(customer);
        if (usage === undefined) {
            const initial = {
                runningFraction: 0,
                averageFraction: 0,
                peakFraction: 0,
                recentCost: 0,
                updatedAt: now,
                lastActiveAt: now,
            };
            this.customers.set(customer, initial);
            return initial;
        }
        const elapsedMs = Math.max(0, now - usage.updatedAt);
        if (elapsedMs === 0) {
            return usage;
        }
        const retained = decay(elapsedMs);
        usage.averageFraction = usage.averageFraction * retained + usage.runningFraction * (1 - retained);
        usage.recentCost *= retained;
        usage.peakFraction = Math.max(
            usage.runningFraction,
            usage.peakFraction * Math.exp(-elapsedMs / PEAK_WINDOW_MS),
        );
        usage.updatedAt = now;
        return usage;
    }
}

function decay(elapsedMs: number): number {
    return Math.exp(-Math.max(0, elapsedMs) / AVERAGE_WINDOW_MS);
}
