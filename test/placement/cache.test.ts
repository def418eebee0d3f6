/** Guards against prefilling parts that a server or store already has cached, and against mixing cache scopes. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as fleet from "../../src/fleet/types.js";
import * as cacheIndexes from "../../src/placement/cache-index.js";
import * as cachePlans from "../../src/placement/cache-plan.js";
import * as transferBudgets from "../../src/placement/transfer-budget.js";

const STORE: fleet.CacheStore = {
    name: "store",
    address: "10.9.0.1:8000",
    dataCentre: "one",
    memoryTokens: 1_000_000,
    linkTokensPerMs: 400,
    maximumFollowers: 12,
};
const ISOLATED = { name: "gallery", isolated: true } as fleet.Customer;
const SHARING = { name: "club", isolated: false } as fleet.Customer;

testing.test("guards against sharing cached parts across weights versions or with isolated customers", () => {
    const scopes = [
        cachePlans.cacheScope("menu", 1, SHARING),
        cachePlans.cacheScope("menu", 2, SHARING),
        cachePlans.cacheScope("menu", 1, ISOLATED),
    ];
    assert.equal(new Set(scopes).size, scopes.length);
    assert.equal(cachePlans.cacheScope("menu", 1, SHARING), cachePlans.cacheScope("menu", 1, undefined));
});

testing.test("the content of a followed store is known from its changes; an evicted part counts as missing", () => {
    const index = new cacheIndexes.CacheIndex();
    index.beginFollowing(STORE.address);
    assert.equal(index.isInStore(STORE.address, "s", "p", 0), false);
    index.apply(STORE.address, [{ isStored: true, scope: "s", part: "p" }]);
    assert.equal(index.isInStore(STORE.address, "s", "p", 60_000), true);
    index.apply(STORE.address, [{ isStored: false, scope: "s", part: "p" }]);
    assert.equal(index.isInStore(STORE.address, "s", "p", 60_000), false);
});

testing.test("guards against assuming the old content of a store that has restarted", () => {
    const index = new cacheIndexes.CacheIndex();
    index.apply(STORE.address, [{ isStored: true, scope: "s", part: "p" }]);
    index.beginFollowing(STORE.address);
    assert.equal(index.isInStore(STORE.address, "s", "p", 0), false);
});

testing.test("the content of a store that is not followed is estimated from the saves of this entry", () => {
    const index = new cacheIndexes.CacheIndex();
    index.recordStoreSave(STORE.address, "s", "p", 100, 0);
    assert.equal(index.isInStore("10.9.0.2:8000", "s", "p", 5000), false);
    assert.equal(index.isInStore(STORE.address, "s", "p", 5000), true);
    assert.equal(index.isInStore(STORE.address, "s", "p", 60_000), false);
});

testing.test("many entries: one that does not follow the store learns of its parts from the saves that its peers announce", () => {
    const saving = new cacheIndexes.CacheIndex();
    const other = new cacheIndexes.CacheIndex();
    saving.recordStoreSave(STORE.address, "s", "p", 100, 0);
    other.applyPeerSaves(saving.announcedSaves(500), 500);
    assert.equal(other.isInStore(STORE.address, "s", "p", 20_000), true);
    assert.equal(other.isInStore(STORE.address, "s", "q", 20_000), false);
    assert.deepEqual(saving.announcedSaves(2000), []);
});

testing.test("many entries: a part counts as evicted once the stores have received as many tokens as they can hold", () => {
    const index = new cacheIndexes.CacheIndex();
    index.setCapacity(1000);
    index.recordStoreSave(STORE.address, "s", "p", 400, 0);
    index.applyPeerSaves([{ partHash: 1, tokens: 900 }], 100);
    assert.equal(index.isInStore(STORE.address, "s", "p", 200), true);
    index.applyPeerSaves([{ partHash: 1, tokens: 900 }], 200);
    assert.equal(index.isInStore(STORE.address, "s", "p", 200), true);
    index.applyPeerSaves([{ partHash: 2, tokens: 200 }], 300);
    assert.equal(index.isInStore(STORE.address, "s", "p", 300), false);
});

const HOLDER = { id: "b", address: "10.0.0.2:8000" } as fleet.BackendServer;
const UNKNOWN: cachePlans.CacheAvailability = {
    store: STORE,
    isInStore: false,
    holder: undefined,
    isHolder: false,
    isPreferred: false,
    sharedTokens: 6300,
    promptTokens: 9190,
};

function plan(changes: Partial<cachePlans.CacheAvailability>, budget = new transferBudgets.TransferBudget(() => 1)) {
    return cachePlans.planCache({ ...UNKNOWN, ...changes }, { budget, now: 0 });
}

testing.test("guards against saving the unique part of each call", () => {
    assert.deepEqual(plan({ isInStore: true }), { fetchFrom: STORE.address, saveTo: undefined });
    assert.equal(plan({}).saveTo, STORE.address);
});

testing.test("a part that only another server holds is fetched from there", () => {
    assert.equal(plan({ holder: HOLDER }).fetchFrom, HOLDER.address);
    assert.equal(plan({ store: undefined, isHolder: true }).fetchFrom, undefined);
});

testing.test("restart of an entry: parts of which it does not know are fetched if the store has them", () => {
    assert.equal(plan({}).fetchFrom, STORE.address);
});

testing.test("parts are spread over several stores, and all entries agree on the store of a part", () => {
    const stores = [STORE, { ...STORE, address: "10.9.0.2:8000" }, { ...STORE, address: "10.9.0.3:8000" }];
    const storeAddresses = Array.from(
        { length: 60 },
        (_, index) => cachePlans.storeForPart(`part-${index}`, stores)?.address,
    );
    assert.equal(new Set(storeAddresses).size, 3);
    const reversed = Array.from(
        { length: 60 },
        (_, index) => cachePlans.storeForPart(`part-${index}`, stores.toReversed())?.address,
    );
    assert.deepEqual(reversed, storeAddresses);
});

testing.test("guards against fetching from a server that has not responded to a call with the part", () => {
    const index = new cacheIndexes.CacheIndex();
    assert.equal(index.holders("s", "p", 0).size, 0);
    index.recordServerHit("s", "p", "one", 100);
    assert.deepEqual(index.holders("s", "p", 200), new Set(["one"]));
    assert.equal(index.holders("s", "p", 60_000).size, 0);
});

testing.test("guards against a saturated store link: a part that a server holds is fetched from that server", () => {
    assert.deepEqual(plan({ isInStore: true, holder: HOLDER }), { fetchFrom: HOLDER.address, saveTo: undefined });
    assert.equal(plan({ isInStore: true, isHolder: true }).fetchFrom, STORE.address);
});

testing.test("new weights: guards against more transfers than the link of the store carries", () => {
    const entryCount = 68;
    const budget = new transferBudgets.TransferBudget(() => entryCount);
    const callsPerSecond = 2;
    const seconds = 20;
    let transferred = 0;
    for (let call = 0; call < callsPerSecond * seconds; call++) {
        const now = call * 1000 / callsPerSecond;
        const { saveTo } = cachePlans.planCache(UNKNOWN, { budget, now });
        transferred += saveTo === undefined ? 0 : UNKNOWN.promptTokens;
    }
    const linkTokens = STORE.linkTokensPerMs * 1000 * seconds;
    assert.ok(transferred * entryCount <= linkTokens, `${transferred * entryCount} of ${linkTokens}`);
    assert.ok(transferred * entryCount >= linkTokens / 4, `${transferred * entryCount} of ${linkTokens}`);
});

testing.test("saturated store link: prefill is chosen over a fetch that would wait", () => {
    const budget = new transferBudgets.TransferBudget(() => 68);
    const fetches = Array.from({ length: 20 }, () => plan({ isInStore: true }, budget).fetchFrom);
    assert.equal(fetches[0], STORE.address);
    assert.equal(fetches.at(-1), undefined);
    assert.equal(plan({ isInStore: true, isHolder: true }, budget).fetchFrom, undefined);
});

testing.test("guards against a budget that runs out on fetches which the preferred server mostly does not need", () => {
    const budget = new transferBudgets.TransferBudget(() => 4);
    const store = { ...STORE, linkTokensPerMs: 458 };
    const saved: boolean[] = [];
    // Calls of an entry of a small deployment: five long ones a second, and ten short ones that are not stored yet.
    for (let now = 0; now < 10_000; now += 100) {
        const long = { ...UNKNOWN, store, isInStore: true, isPreferred: true };
        if (now % 200 === 0) {
            assert.equal(cachePlans.planCache(long, { budget, now }).fetchFrom, store.address);
        }
        const short = { ...UNKNOWN, store, sharedTokens: 198, promptTokens: 826 };
        saved.push(cachePlans.planCache(short, { budget, now }).saveTo !== undefined);
    }
    assert.ok(saved.every(isSaved => isSaved));
});

testing.test("store away: its followers tell the others, which do not use it until it responds again", () => {
    const index = new cacheIndexes.CacheIndex();
    index.applyStoreStatus({ address: STORE.address, incarnation: undefined }, 1000);
    assert.equal(index.isUnreachable(STORE.address, 2400), true);
    assert.equal(index.isUnreachable("10.9.0.2:8000", 2400), false);
    assert.equal(index.isUnreachable(STORE.address, 2500), false);
    index.applyStoreStatus({ address: STORE.address, incarnation: undefined }, 3000);
    index.applyStoreStatus({ address: STORE.address, incarnation: "2" }, 3100);
    assert.equal(index.isUnreachable(STORE.address, 3200), false);
});

testing.test("store restarted: what was saved before counts as lost", () => {
    const index = new cacheIndexes.CacheIndex();
    index.applyStoreStatus({ address: STORE.address, incarnation: "1" }, 0);
    index.recordStoreSave(STORE.address, "s", "p", 100, 100);
    index.applyStoreStatus({ address: STORE.address, incarnation: "1" }, 200);
    assert.equal(index.isInStore(STORE.address, "s", "p", 200), true);
    index.applyStoreStatus({ address: STORE.address, incarnation: "2" }, 300);
    assert.equal(index.isInStore(STORE.address, "s", "p", 300), false);
});
