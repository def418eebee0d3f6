/** Use of a backend server by customer, as fractions of its capacity. Times are in milliseconds. */
import type * as types from "./types.js";

/** Bursts shorter than this do not count as use above the share. */
const AVERAGE_WINDOW_MS = 10_000;
/** Time for which room is kept after a customer last used it. */
const PEAK_WINDOW_MS = 30_000;
/** Customers idle for longer take no part in the division of the capacity. */
const ACTIVE_WINDOW_MS = 60_000;

interface CustomerUse {
    running: number;
    average: number;
    peak: number;
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

    /** Notes a request of the customer. */
    touch(customer: string, now: number): void {
        this.settle(customer, now).lastActiveAt = now;
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
        const active = this.active(now);
        const total = active.reduce((sum, name) => sum + this.weight(name), 0);
        return this.weight(customer) / Math.max(total, this.weight(customer));
    }

    /**
     * The customer may start a job of this size.
     *
     * One that has used more than its share on average has to leave the room that the others used recently, up to
     * their shares. Otherwise its long jobs would occupy every slot and the others would wait for their ends.
     */
    permits(customer: string, fraction: number, now: number): boolean {
        const share = this.share(customer, now);
        const use = this.settle(customer, now);
        if (use.average <= share || use.running + fraction <= share) {
            return true;
        }
        let running = use.running;
        let reserved = 0;
        for (const name of this.active(now).filter(other => other !== customer)) {
            const other = this.settle(name, now);
            running += other.running;
            reserved += Math.max(0, Math.min(this.share(name, now), other.peak) - other.running);
        }
        return running === 0 || running + reserved + fraction <= 1;
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
            const use = { running: 0, average: 0, peak: 0, updatedAt: now, lastActiveAt: now };
            this.customers.set(customer, use);
            return use;
        }
        const elapsed = Math.max(0, now - known.updatedAt);
        const kept = Math.exp(-elapsed / AVERAGE_WINDOW_MS);
        known.average = known.average * kept + known.running * (1 - kept);
        known.peak = Math.max(known.running, known.peak * Math.exp(-elapsed / PEAK_WINDOW_MS));
        known.updatedAt = now;
        return known;
    }
}
