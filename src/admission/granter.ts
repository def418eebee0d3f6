/**
 * Grants admissions from the buckets of a primary, up to its reservations.
 *
 * `Primary` decides whether the process may grant at all. The entry that has waited longest is served first.
 */
import type * as bucketTables from "./bucket-table.js";
import * as constants from "./constants.js";
import type * as messages from "./messages.js";
import type * as waitingLists from "./waiting-list.js";

/** Number of grants that the reservations allow until the next confirmed renewal. */
export interface Reservations {
    readonly allowance: (customer: string) => number;
    readonly grant: (customer: string, count: number) => void;
}

export class Granter {
    constructor(
        private readonly buckets: bucketTables.BucketTable,
        private readonly waitingList: waitingLists.WaitingList,
        private readonly reservations: Reservations,
    ) {}

    /** Whether the buckets could satisfy more of a demand than the reservations allow. */
    needsReservation(demands: readonly messages.Demand[], now: number): boolean {
        return demands.some(demand => {
            const wanted = Math.min(demand.count, this.buckets.available(demand.customer, now));
            return wanted > this.reservations.allowance(demand.customer);
        });
    }

    grant(demand: messages.Demand, now: number): messages.Grant {
        const customer = demand.customer;
        const since = now - demand.waitedMs;
        const olderCount = this.waitingList.countOlder(customer, since, now);
        const available = Math.max(0, this.buckets.available(customer, now) - olderCount);
        const count = Math.min(demand.count, available, this.reservations.allowance(customer));
        this.buckets.take(customer, count, now);
        this.reservations.grant(customer, count);
        this.waitingList.remove(customer, since, now);
        const validForMs = this.buckets.validityMs(customer);
        if (count === demand.count) {
            return { customer, count, nextInMs: 0, validForMs };
        }
        const nextInMs = this.nextInMs(customer, olderCount + 1, now);
        if (count === 0) {
            this.waitingList.add(customer, since, nextInMs, now);
        }
        return { customer, count, nextInMs, validForMs };
    }

    /** A customer that is unknown here may be part of a configuration that this process has not received yet. */
    private nextInMs(customer: string, tokens: number, now: number): number {
        const wait = this.buckets.isConfigured(customer)
            ? this.buckets.msUntilAvailable(customer, tokens, now)
            : constants.RETRY_DELAY_MS;
        return Math.max(1, Math.ceil(wait));
    }
}
