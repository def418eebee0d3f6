/** Use of a backend server by customer, as fractions of its capacity. Times are in milliseconds. */
import type * as types from "./types.js";

/** Bursts shorter than this do not count as use above the share. */
const AVERAGE_WINDOW_MS = 10_000;
/** Time for which room is kept after a customer last used it. */
const PEAK_WINDOW_MS = 30_000;
/** A customer within its share on average may run this multiple of it. */
const BURST_FACTOR = 2;
/** Demand above this multiple of the share of the whole demand is a surge; arrivals vary by less within the window. */
const SURGE_FACTOR = 1.35;
/**
 * Part of its share that a surging customer gets at any time. It takes the rest while the server has room, since it
 * uses its share without pause, which leaves the others less room than its usual traffic does.
 */
const SURGE_GUARANTEE = 0.75;
/** Part of the capacity that stays free for arrivals of the others when a customer runs beyond its share. */
const HEADROOM = 0.05;
/** Customers idle for longer take no part in the division of the capacity. */
const ACTIVE_WINDOW_MS = 60_000;

interface CustomerUse {
    running: number;
    average: number;
    peak: number;
    /** Cost of the requests within the window. */
    demand: number;
    updatedAt: number;
    lastActiveAt: number;
}

export class Usage {
    private readonly customers = new Map<string, CustomerUse>();
    private weights: types.Weights = new Map();

    setWeights(weights: types.Weights): void {
        this.weights = weights;
    }

    weight(customer: string): number {
        return this.weights.get(customer) ?? 1;
    }

    /** Notes a request of the customer and its cost. */
    request(customer: string, cost: number, now: number): void {
        const use = this.settle(customer, now);
        use.lastActiveAt = now;
        use.demand += cost;
    }

    /** Adds to what the customer runs; negative when a job ends. */
    change(customer: string, fraction: number, now: number): void {
        const use = this.settle(customer, now);
        use.running = Math.max(0, use.running + fraction);
        use.peak = Math.max(use.peak, use.running);
        use.lastActiveAt = now;
    }

    /** Fraction of the capacity that the customer is entitled to among the active ones. */
    share(customer: string, now: number): number {
        return this.shareOf(customer, this.totalWeight(this.active(now)));
    }

    /**
     * The customer may start a job of this size.
     *
     * One that has used more than its share on average has to leave the room that the others used recently. Otherwise
     * its long jobs would occupy every slot and the others would wait for their ends.
     */
    permits(customer: string, fraction: number, now: number): boolean {
        const share = this.share(customer, now);
        const use = this.settle(customer, now);
        const surging = this.demandsTooMuch(use, share, now);
        const withinBurst = use.average <= share && use.running + fraction <= share * BURST_FACTOR;
        if (!surging && (withinBurst || use.running + fraction <= share)) {
            return true;
        }
        if (use.running + fraction <= share * SURGE_GUARANTEE) {
            return true;
        }
        let running = use.running;
        let reserved = 0;
        const active = this.active(now);
        // Added up once: a sum per customer made the cost of one job cubic in the number of waiting customers.
        const total = this.totalWeight(active);
        for (const name of active.filter(other => other !== customer)) {
            const other = this.settle(name, now);
            running += other.running;
            const entitled = this.shareOf(name, total);
            // Customers within their share on average keep the room of their bursts, the others only their share.
            const kept = other.average <= entitled ? other.peak : Math.min(entitled, other.peak);
            reserved += Math.max(0, kept - other.running);
        }
        const kept = use.running + fraction <= share ? 0 : reserved;
        return running === 0 || running + kept + fraction <= 1 - HEADROOM;
    }

    /** Demand shows a surge before the average use does, and while the use is held down to the share. */
    private demandsTooMuch(use: CustomerUse, share: number, now: number): boolean {
        const total = this.active(now).reduce((sum, name) => sum + this.settle(name, now).demand, 0);
        return use.demand > total * share * SURGE_FACTOR;
    }

    private shareOf(customer: string, totalWeight: number): number {
        return this.weight(customer) / Math.max(totalWeight, this.weight(customer));
    }

    private totalWeight(customers: readonly string[]): number {
        return customers.reduce((sum, name) => sum + this.weight(name), 0);
    }

    private active(now: number): readonly string[] {
        const idle = [...this.customers].filter(([, use]) =>
            use.running === 0 && now >= use.lastActiveAt + ACTIVE_WINDOW_MS
        );
        idle.forEach(([customer]) => this.customers.delete(customer));
        return [...this.customers.keys()];
    }

    private settle(customer: string, now: number): CustomerUse {
        const known = this.customers.get(customer);
        if (known === undefined) {
            const use = { running: 0, average: 0, peak: 0, demand: 0, updatedAt: now, lastActiveAt: now };
            this.customers.set(customer, use);
            return use;
        }
        const elapsed = Math.max(0, now - known.updatedAt);
        if (elapsed === 0) {
            return known;
        }
        const remaining = kept(elapsed);
        known.average = known.average * remaining + known.running * (1 - remaining);
        known.demand *= remaining;
        known.peak = Math.max(known.running, known.peak * Math.exp(-elapsed / PEAK_WINDOW_MS));
        known.updatedAt = now;
        return known;
    }
}

function kept(elapsedMs: number): number {
    return Math.exp(-Math.max(0, elapsedMs) / AVERAGE_WINDOW_MS);
}
