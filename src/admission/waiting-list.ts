/**
 * Entries whose demand could not be met, by the time since which they have waited.
 *
 * Entries ask again when they are told to. Without this list the entry with the shortest way to the primary would win
 * every token after a pause, and the others would refuse requests that are within the rate.
 */

interface Ticket {
    readonly since: number;
    readonly expiresAt: number;
}

/** Time after the advised moment at which an entry that did not return loses its place. */
const GRACE_MS = 50;

/** Waiting times reach the primary with different network delays; within this difference nobody is older. */
const TOLERANCE_MS = 10;

export class WaitingList {
    private readonly tickets = new Map<string, readonly Ticket[]>();

    /** Number of entries that have waited longer than since `since`. */
    older(customer: string, since: number, now: number): number {
        return this.current(customer, now).filter(ticket => ticket.since < since - TOLERANCE_MS).length;
    }

    /** Notes an entry that was told to return in `nextInMs`. */
    add(customer: string, since: number, nextInMs: number, now: number): void {
        const others = this.without(customer, since, now);
        this.tickets.set(customer, [...others, { since, expiresAt: now + nextInMs + GRACE_MS }]);
    }

    /** Removes the entry that has waited since `since`. */
    remove(customer: string, since: number, now: number): void {
        const others = this.without(customer, since, now);
        if (others.length === 0) {
            this.tickets.delete(customer);
            return;
        }
        this.tickets.set(customer, others);
    }

    private without(customer: string, since: number, now: number): readonly Ticket[] {
        return this.current(customer, now).filter(ticket => Math.abs(ticket.since - since) > TOLERANCE_MS);
    }

    private current(customer: string, now: number): readonly Ticket[] {
        return (this.tickets.get(customer) ?? []).filter(ticket => now < ticket.expiresAt);
    }
}
