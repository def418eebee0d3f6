/** Guards against a customer exceeding its rate across all entries, and against refusing calls within the rate. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as fleet from "../../src/fleet/types.js";
import * as ledgers from "../../src/quota/ledger.js";

const SEED = 11;
const TOKENS_PER_SECOND = 1000;
const BURST_TOKENS = 1000;
const OVERDRAFT_TOKENS = 300;
const SETTINGS = { overdraftTokens: OVERDRAFT_TOKENS, silenceMs: () => 700, expiryMs: 30_000 };
const CUSTOMER: fleet.Customer = {
    name: "gallery",
    keys: [],
    priority: undefined,
    isolated: false,
    rateUnit: "tokens",
    tokensPerSecond: TOKENS_PER_SECOND,
    burstTokens: BURST_TOKENS,
    defaultCallTokens: 1,
};
const HEARTBEAT_MS = 150;
const WINDOW_MS = 8000;

interface Spend {
    readonly at: number;
    readonly tokens: number;
}

/** Maximum number of tokens spent in any time window of the given length. */
function maximumInWindow(spends: readonly Spend[], windowMs: number): number {
    const sums = spends.map(({ at }) => {
        return spends.filter(spend => spend.at >= at && spend.at < at + windowMs)
            .reduce((sum, spend) => sum + spend.tokens, 0);
    });
    return Math.max(0, ...sums);
}

/** Simulates entries that spend as much as they can. `isDelivered` tells whether a heartbeat arrives. */
function simulate(
    entryCount: number,
    durationMs: number,
    isDelivered: (from: number, to: number, at: number) => boolean,
): readonly Spend[] {
    const entries = Array.from({ length: entryCount }, () => new ledgers.QuotaLedger(SETTINGS));
    const spends: Spend[] = [];
    for (let now = 0; now < durationMs; now += 10) {
        if (now % HEARTBEAT_MS === 0) {
            entries.forEach((from, fromIndex) => {
                entries.forEach((to, toIndex) => {
                    if (fromIndex !== toIndex && isDelivered(fromIndex, toIndex, now)) {
                        to.applyPeerSpending(`entry-${fromIndex}`, "run", from.spending(), now);
                    }
                });
            });
        }
        for (const entry of entries) {
            if (entry.admit(CUSTOMER, 20, now) === 0) {
                spends.push({ at: now, tokens: 20 });
            }
        }
    }
    return spends;
}

/** Tokens that all entries may spend in excess between two heartbeats, before they learn of each other's spending. */
function tolerance(entryCount: number): number {
    return TOKENS_PER_SECOND * WINDOW_MS / 1000 * 0.1 + (entryCount - 1) * (BURST_TOKENS * 0.1) + OVERDRAFT_TOKENS +
        BURST_TOKENS;
}

testing.test("guards against entries that each grant the whole rate", () => {
    const spends = simulate(4, 20_000, () => true);
    const limit = TOKENS_PER_SECOND * WINDOW_MS / 1000 + BURST_TOKENS;
    assert.ok(maximumInWindow(spends, WINDOW_MS) <= limit + tolerance(4), `${maximumInWindow(spends, WINDOW_MS)}`);
    const total = spends.reduce((sum, spend) => sum + spend.tokens, 0);
    assert.ok(total >= TOKENS_PER_SECOND * 20 * 0.95, `only ${total} tokens were granted`);
});

testing.test("guards against an entry that spends the whole rate while it is partitioned from the others", () => {
    const spends = simulate(4, 24_000, (from, to, at) => at < 5000 || from !== 0 && to !== 0);
    const late = spends.filter(spend => spend.at >= 8000);
    const limit = TOKENS_PER_SECOND * WINDOW_MS / 1000 + BURST_TOKENS;
    assert.ok(maximumInWindow(late, WINDOW_MS) <= limit + tolerance(4), `${maximumInWindow(late, WINDOW_MS)}`);
});

testing.test("guards against refused calls while the customer stays within its rate", () => {
    const entry = new ledgers.QuotaLedger(SETTINGS);
    entry.applyPeerSpending("peer", "run", {}, 0);
    let refused = 0;
    for (let now = 0; now < 20_000; now += 50) {
        if (now % HEARTBEAT_MS === 0) {
            entry.applyPeerSpending("peer", "run", { gallery: now * TOKENS_PER_SECOND / 1000 * 0.4 }, now);
        }
        refused += entry.admit(CUSTOMER, TOKENS_PER_SECOND * 0.05 * 0.5, now) === 0 ? 0 : 1;
    }
    assert.equal(refused, 0);
});

testing.test("guards against a restarted entry that begins with a full bucket", () => {
    const entry = new ledgers.QuotaLedger(SETTINGS);
    assert.equal(entry.admit(CUSTOMER, OVERDRAFT_TOKENS, 0), 0);
    assert.ok(entry.admit(CUSTOMER, BURST_TOKENS, 1) > 0);
});

testing.test("a refused call is admitted after the returned wait time", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.integer({ min: 1, max: 1200 }), fastCheck.nat(2000), (tokens, spent) => {
            const entry = new ledgers.QuotaLedger(SETTINGS);
            entry.admit(CUSTOMER, Math.min(spent, OVERDRAFT_TOKENS), 0);
            const waitMs = entry.admit(CUSTOMER, tokens, 10);
            assert.ok(waitMs === 0 || entry.admit(CUSTOMER, tokens, 10 + Math.ceil(waitMs) + 1) === 0);
        }),
        { seed: SEED },
    );
});

testing.test("a refund allows another call", () => {
    const entry = new ledgers.QuotaLedger(SETTINGS);
    assert.equal(entry.admit(CUSTOMER, OVERDRAFT_TOKENS, 0), 0);
    assert.ok(entry.admit(CUSTOMER, OVERDRAFT_TOKENS, 0) > 0);
    entry.refund(CUSTOMER, OVERDRAFT_TOKENS, 0);
    assert.equal(entry.admit(CUSTOMER, OVERDRAFT_TOKENS, 0), 0);
});

testing.test("guards against counting spending twice or negatively after a peer's restart", () => {
    const entry = new ledgers.QuotaLedger(SETTINGS);
    entry.admit(CUSTOMER, 1, 0);
    entry.applyPeerSpending("peer", "first", { gallery: 5000 }, 0);
    entry.applyPeerSpending("peer", "second", { gallery: 10 }, 100);
    assert.equal(entry.admit(CUSTOMER, OVERDRAFT_TOKENS, 100), 0);
});

testing.test("guards against a partitioned entry that uses the whole rate after a long silence of its peers", () => {
    const entry = new ledgers.QuotaLedger(SETTINGS);
    ["a", "b", "c"].forEach(peer => entry.applyPeerSpending(peer, "run", {}, 0));
    let spent = 0;
    for (let now = 40_000; now < 60_000; now += 10) {
        spent += entry.admit(CUSTOMER, 20, now) === 0 ? 20 : 0;
    }
    assert.ok(spent <= TOKENS_PER_SECOND / 4 * 20 + BURST_TOKENS / 4 + OVERDRAFT_TOKENS, `${spent}`);
});

testing.test("guards against refusing the first calls of a customer that has spent nothing", () => {
    const ledger = new ledgers.QuotaLedger(SETTINGS);
    ledger.track([CUSTOMER], 0);
    assert.equal(ledger.admit(CUSTOMER, BURST_TOKENS + OVERDRAFT_TOKENS, 2000), 0);
    const untracked = new ledgers.QuotaLedger(SETTINGS);
    assert.ok(untracked.admit(CUSTOMER, BURST_TOKENS + OVERDRAFT_TOKENS, 2000) > 0);
});

testing.test("guards against ignoring the spending of peers before the entry's own first call", () => {
    const ledger = new ledgers.QuotaLedger(SETTINGS);
    ledger.track([CUSTOMER], 0);
    ledger.applyPeerSpending("peer", "run", { [CUSTOMER.name]: 0 }, 2000);
    ledger.applyPeerSpending("peer", "run", { [CUSTOMER.name]: BURST_TOKENS + OVERDRAFT_TOKENS }, 2100);
    assert.ok(ledger.admit(CUSTOMER, 200, 2100) > 0);
});
