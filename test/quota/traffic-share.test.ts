/** Shares of a common resource by traffic: uneven entries, entries out of reach and restarts. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as transferBudgets from "../../src/placement/transfer-budget.js";
import * as trafficShares from "../../src/quota/traffic-share.js";

const HEARTBEAT_MS = 200;
const ENTRIES = Array.from({ length: 31 }, (_, index) => `entry-${index}`);
/** Tokens of a call with a long prompt, and of its shared parts. */
const PROMPT_TOKENS = 9190;
const SHARED_TOKENS = 6300;
const STORE = {
    name: "store",
    address: "127.0.0.1:9000",
    dataCentre: "one",
    memoryTokens: 1_000_000,
    linkTokensPerMs: 296,
    maximumFollowers: 4,
};

/** Calls a second of an entry: a few entries get most of the traffic. */
function callsPerSecond(index: number): number {
    return index < 4 ? 8 : 0.6;
}

/** The shares of all entries, each with the totals that the others sent up to `untilMs`. */
function sharesAt(untilMs: number, mayReceive = (_from: number, _to: number, _now: number) => true) {
    const shares = ENTRIES.map(name => new trafficShares.TrafficShare(name, () => ENTRIES.length));
    for (let now = 0; now <= untilMs; now += HEARTBEAT_MS) {
        ENTRIES.forEach((name, from) => {
            const spending = { customer: callsPerSecond(from) * PROMPT_TOKENS * now / 1000 };
            shares.forEach((share, to) => {
                if (from === to || mayReceive(from, to, now)) {
                    share.apply(name, "run", spending, now);
                }
            });
        });
    }
    return shares;
}

function sumOf(shares: readonly trafficShares.TrafficShare[], now: number): number {
    return shares.reduce((sum, share) => sum + share.share(now), 0);
}

testing.test("uneven entries: busy ones fetch what idle ones leave, and all together stay within the link", () => {
    const shares = sharesAt(10_000);
    assert.ok(Math.abs(sumOf(shares, 10_000) - 1) < 0.01);
    const admittedBy = (isByTraffic: boolean) => {
        let admitted = 0;
        let asked = 0;
        ENTRIES.forEach((_, index) => {
            const share = shares[index]!;
            const budget = new transferBudgets.TransferBudget(
                () => ENTRIES.length,
                isByTraffic ? now => share.share(now) : undefined,
            );
            for (let now = 10_000; now < 20_000; now += 1000 / callsPerSecond(index)) {
                asked++;
                admitted += budget.admitFetch(STORE, SHARED_TOKENS, now) ? 1 : 0;
            }
        });
        assert.ok(admitted * SHARED_TOKENS <= STORE.linkTokensPerMs * 11_500, `${admitted} fetches`);
        return admitted / asked;
    };
    assert.ok(admittedBy(true) > 1.3 * admittedBy(false), `${admittedBy(true)} and ${admittedBy(false)}`);
});

testing.test("guards against entries that each take the whole when they lose contact", () => {
    const shares = sharesAt(20_000, (_from, _to, now) => now < 10_000);
    assert.ok(sumOf(shares, 20_000) < 1.05);
});

testing.test("an entry without traffic has a share at once, and keeps it over a restart of another", () => {
    const share = new trafficShares.TrafficShare("self", () => 2);
    assert.equal(share.share(0), 0.5);
    share.apply("other", "first", { customer: 0 }, 0);
    share.apply("other", "first", { customer: 100_000 }, 1000);
    const beside = share.share(1000);
    assert.ok(beside > 0 && beside < 0.5);
    share.apply("other", "second", { customer: 0 }, 1200);
    assert.equal(share.share(1200), beside);
    share.apply("self", "run", {}, 1200);
    share.apply("self", "run", { customer: 1_000_000 }, 2200);
    assert.ok(share.share(2200) > 0.5 && share.share(2200) < 1);
});
