/**
 * Limits the transfers of cached parts over the network links of the cache stores.
 *
 * Load pattern: after new weights no store has any part, so that every call with a prompt saves its parts. The servers
 * of a large deployment then ask for more than the links of its stores carry; transfers queue for seconds, and with them
 * the calls whose parts are fetched. Each entry spends only its share of a link, without asking the others. Fetches
 * take precedence: they replace prefill that is certain, whereas a save pays off only if the part is used again.
 */
import type * as fleet from "../fleet/types.js";

/** Share of a link that is planned for; the rest absorbs bursts and transfers that are larger than estimated. */
const USABLE_SHARE = 0.9;
/** Unused budget that is kept, as milliseconds of an entry's share of the link. */
const BURST_MS = 500;
/** Fetches may overdraw the budget by as many milliseconds of an entry's share of the link. */
const FETCH_OVERDRAFT_MS = 1000;

interface Budget {
    /** Tokens that may be transferred now; negative after a transfer larger than the budget. */
    level: number;
    updatedAt: number;
}

export class TransferBudget {
    private readonly budgets = new Map<string, Budget>();

    private readonly share: (now: number) => number;

    /**
     * `entryCount` is the number of entries that share the links, this one included; `share` is the part of a link that
     * this entry may use, an equal one by default.
     */
    constructor(entryCount: (now: number) => number, share?: (now: number) => number) {
        this.share = share ?? (now => 1 / Math.max(1, entryCount(now)));
    }

    /** Whether parts may be fetched from the store now; if so, their tokens are spent. */
    admitFetch(store: fleet.CacheStore, tokens: number, now: number): boolean {
        return this.spend(store, tokens, -FETCH_OVERDRAFT_MS, now);
    }

    /** Whether parts may be saved to the store now; if so, their tokens are spent. */
    admitSave(store: fleet.CacheStore, tokens: number, now: number): boolean {
        return this.spend(store, tokens, 0, now);
    }

    /** Spends the tokens if the level is at least `requiredMs` of this entry's share of the link. */
    private spend(store: fleet.CacheStore, tokens: number, requiredMs: number, now: number): boolean {
        const tokensPerMs = store.linkTokensPerMs * USABLE_SHARE * this.share(now);
        const budget = this.budgets.get(store.address) ?? { level: BURST_MS * tokensPerMs, updatedAt: now };
        this.budgets.set(store.address, budget);
        const gained = (now - budget.updatedAt) * tokensPerMs;
        budget.level = Math.min(BURST_MS * tokensPerMs, budget.level + gained);
        budget.updatedAt = now;
        if (budget.level < requiredMs * tokensPerMs) {
            return false;
        }
        budget.level -= tokens;
        return true;
    }
}
