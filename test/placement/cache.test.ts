/** Guards against prefilling parts that a server or store already has cached, and against mixing cache scopes. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as fleet from "../../src/fleet/types.js";
import * as cacheIndexes from "../../src/placement/cache-index.js";
import * as cachePlans from "../../src/placement/cache-plan.js";

const STORE: fleet.CacheStore = {
    name: "store",
    address: "10.9.0.1:8000",
    dataCentre: "one",
    memoryTokens: 1_000_000,
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

testing.test("guards against saving the unique part of each call", () => {
    const target = { server: { id: "a", address: "10.0.0.1:8000" } } as Parameters<typeof cachePlans.planCache>[1];
    const stored = cachePlans.planCache({ store: STORE, isInStore: true, holder: undefined }, target);
    assert.deepEqual(stored, { fetchFrom: STORE.address, saveTo: undefined });
    const missing = cachePlans.planCache({ store: STORE, isInStore: false, holder: undefined }, target);
    assert.equal(missing.saveTo, STORE.address);
});

testing.test("a part that only another server holds is fetched from there", () => {
    const target = { server: { id: "a", address: "10.0.0.1:8000" } } as Parameters<typeof cachePlans.planCache>[1];
    const holder = { id: "b", address: "10.0.0.2:8000" } as fleet.BackendServer;
    assert.equal(cachePlans.planCache({ store: STORE, isInStore: false, holder }, target).fetchFrom, holder.address);
    const self = { ...holder, id: "a" };
    assert.equal(
        cachePlans.planCache({ store: undefined, isInStore: false, holder: self }, target).fetchFrom,
        undefined,
    );
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

testing.test("guards against a saturated store link: a part that a server used recently is fetched from that server", () => {
    const target = { server: { id: "a", address: "10.0.0.1:8000" } } as Parameters<typeof cachePlans.planCache>[1];
    const holder = { id: "b", address: "10.0.0.2:8000" } as fleet.BackendServer;
    const plan = cachePlans.planCache({ store: STORE, isInStore: true, holder }, target);
    assert.deepEqual(plan, { fetchFrom: holder.address, saveTo: undefined });
    const self = cachePlans.planCache({ store: STORE, isInStore: true, holder: { ...holder, id: "a" } }, target);
    assert.equal(self.fetchFrom, STORE.address);
});
