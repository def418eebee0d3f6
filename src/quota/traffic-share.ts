/**
 * Estimates which part of the traffic of all entries arrives at this one, from the tokens that they charge to customers.
 *
 * Load pattern: callers are spread over the entries by a hash, and entries differ in size, so that some entries get several
 * times the mean. A resource that all entries use without asking each other, such as the link of a cache store, is left
 * unused by idle entries if its shares are equal, while busy ones run out of theirs.
 */
import type * as ledgers from "./ledger.js";

/** Time in milliseconds after which a change of the rate counts half. */
const HALF_LIFE_MS = 2000;
/** Part of the whole that is divided equally, so that an entry whose traffic sets in has a share at once. */
const EQUAL_PART = 0.4;
/** Time in milliseconds after which the traffic of a silent entry no longer counts. */
const SILENCE_MS = 30_000;

interface Traffic {
    readonly incarnation: string;
    /** Tokens since the start of the entry. */
    readonly total: number;
    readonly tokensPerMs: number;
    readonly updatedAt: number;
}

export class TrafficShare {
    private readonly entries = new Map<string, Traffic>();

    /** `self` is the name of this entry; `entryCount` is the number of entries, this one included. */
    constructor(private readonly self: string, private readonly entryCount: (now: number) => number) {}

    /** Applies the tokens that an entry has charged since its start: the totals of a heartbeat, or its own. */
    apply(entry: string, incarnation: string, spending: ledgers.Spending, now: number): void {
        const total = Object.values(spending).reduce((sum, tokens) => sum + tokens, 0);
        const previous = this.entries.get(entry);
        const elapsedMs = now - (previous?.updatedAt ?? now);
        if (previous?.incarnation !== incarnation) {
            this.entries.set(entry, { incarnation, total, tokensPerMs: previous?.tokensPerMs ?? 0, updatedAt: now });
        }
        else if (elapsedMs > 0) {
            const weight = 1 - 2 ** (-elapsedMs / HALF_LIFE_MS);
            // Refunds can exceed the charges of a short time.
            const sample = Math.max(0, total - previous.total) / elapsedMs;
            const tokensPerMs = previous.tokensPerMs + (sample - previous.tokensPerMs) * weight;
            this.entries.set(entry, { incarnation, total, tokensPerMs, updatedAt: now });
        }
    }

    /**
     * Share of this entry, above 0 and at most 1. The traffic of an entry out of reach counts as it was, so that entries
     * that lose contact do not each take the whole.
     */
    share(now: number): number {
        const equalShare = 1 / Math.max(1, this.entryCount(now));
        const own = this.entries.get(this.self)?.tokensPerMs ?? 0;
        let sum = 0;
        for (const [entry, { tokensPerMs, updatedAt }] of this.entries) {
            if (now - updatedAt > SILENCE_MS && entry !== this.self) {
                this.entries.delete(entry);
                continue;
            }
            sum += tokensPerMs;
        }
        return sum <= 0 ? equalShare : EQUAL_PART * equalShare + (1 - EQUAL_PART) * own / sum;
    }
}
