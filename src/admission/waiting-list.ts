/**
 * Entries whose demand could not be granted, identified by the time since which they have waited.
 *
 * Entries call again after the retry delay. Without this list the entry with the lowest latency to the primary would get
 * every token after a pause, and the others would refuse requests that are within the rate.
 */

interface WaitingEntry {
    readonly since: number;
    readonly expiresAt: number;
}

/** Time after the retry delay at which an entry that has not called again is removed from the list. */
const RETURN_GRACE_MS = 50;

/** Waiting times within this difference count as equal, since calls reach the primary with different delays. */
const AGE_TOLERANCE_MS = 10;

export class WaitingList {
    private readonly waitingEntries = new Map<string, readonly WaitingEntry[]>();

    /** Number of entries that have waited since before `since`. */
    countOlder(customer: string, since: number, now: number): number {
        return this.current(customer, now).filter(entry => entry.since < since - AGE_TOLERANCE_MS).length;
    }

    /** Adds an entry that received the retry delay `nextInMs`. */
    add(customer: string, since: number, nextInMs: number, now: number): void {
        const others = this.without(customer, since, now);
        this.waitingEntries.set(customer, [...others, { since, expiresAt: now + nextInMs + RETURN_GRACE_MS }]);
    }

    /** Removes the entry that has waited since `since`. */
    remove(customer: string, since: number, now: number): void {
        const others = this.without(customer, since, now);
        if (others.length === 0) {
            this.waitingEntries.delete(customer);
            return;
        }
        this.waitingEntries.set(customer, others);
    }

    private without(customer: string, since: number, now: number): readonly WaitingEntry[] {
        return this.current(customer, now).filter(entry => Math.abs(entry.since - since) > AGE_TOLERANCE_MS);
    }

    private current(customer: string, now: number): readonly WaitingEntry[] {
        return (this.waitingEntries.get(customer) ?? []).filter(entry => now < entry.expiresAt);
    }
}
