/** Guards against parts that are read again although a server or a store holds them, and against scopes that mix. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as fleet from "../../src/fleet/types.js";
import * as indexes from "../../src/placement/cache-index.js";
import * as plans from "../../src/placement/cache-plan.js";

const STORE: fleet.CacheStore = {
    name: "store",
    address: "10.9.0.1:8000",
    dataCentre: "one",
    memoryTokens: 1_000_000,
    maximumFollowers: 12,
};
const ISOLATED = { name: "gallery", isolated: true } as fleet.Customer;
const SHARING = { name: "club", isolated: false } as fleet.Customer;

testing.test("guards against parts of older weights or behind another customer's wall", () => {
    const scopes = [
        plans.cacheScope("menu", 1, SHARING),
        plans.cacheScope("menu", 2, SHARING),
        plans.cacheScope("menu", 1, ISOLATED),
    ];
    assert.equal(new Set(scopes).size, scopes.length);
    assert.equal(plans.cacheScope("menu", 1, SHARING), plans.cacheScope("menu", 1, undefined));
});

testing.test("a followed store is believed; an evicted part is saved again", () => {
    const index = new indexes.CacheIndex();
    index.follow(STORE.address);
    assert.equal(index.isInStore(STORE.address, "s", "p", 0), false);
    index.apply(STORE.address, [{ isStored: true, scope: "s", part: "p" }]);
    assert.equal(index.isInStore(STORE.address, "s", "p", 60_000), true);
    index.apply(STORE.address, [{ isStored: false, scope: "s", part: "p" }]);
    assert.equal(index.isInStore(STORE.address, "s", "p", 60_000), false);
});

testing.test("guards against a restarted store whose old content is still expected", () => {
    const index = new indexes.CacheIndex();
    index.apply(STORE.address, [{ isStored: true, scope: "s", part: "p" }]);
    index.follow(STORE.address);
    assert.equal(index.isInStore(STORE.address, "s", "p", 0), false);
});

testing.test("a store that is not followed is estimated from what this entry had saved", () => {
    const index = new indexes.CacheIndex();
    index.noteSaved(STORE.address, "s", "p", 0);
    assert.equal(index.isInStore("10.9.0.2:8000", "s", "p", 5000), false);
    assert.equal(index.isInStore(STORE.address, "s", "p", 5000), true);
    assert.equal(index.isInStore(STORE.address, "s", "p", 60_000), false);
});

testing.test("guards against saving the part of the call itself with every call", () => {
    const target = { server: { id: "a", address: "10.0.0.1:8000" } } as Parameters<typeof plans.planCache>[1];
    const kept = plans.planCache({ store: STORE, isInStore: true, holder: undefined }, target);
    assert.deepEqual(kept, { fetchFrom: STORE.address, saveTo: undefined });
    const missing = plans.planCache({ store: STORE, isInStore: false, holder: undefined }, target);
    assert.equal(missing.saveTo, STORE.address);
});

testing.test("a part that only another server holds is fetched from there", () => {
    const target = { server: { id: "a", address: "10.0.0.1:8000" } } as Parameters<typeof plans.planCache>[1];
    const holder = { id: "b", address: "10.0.0.2:8000" } as fleet.BackendServer;
    assert.equal(plans.planCache({ store: STORE, isInStore: false, holder }, target).fetchFrom, holder.address);
    const itself = { ...holder, id: "a" };
    assert.equal(plans.planCache({ store: undefined, isInStore: false, holder: itself }, target).fetchFrom, undefined);
});

testing.test("several stores share the parts, and all entries agree on the place", () => {
    const stores = [STORE, { ...STORE, address: "10.9.0.2:8000" }, { ...STORE, address: "10.9.0.3:8000" }];
    const places = Array.from({ length: 60 }, (_, index) => plans.storeOf(`part-${index}`, stores)?.address);
    assert.equal(new Set(places).size, 3);
    const reversed = Array.from(
        { length: 60 },
        (_, index) => plans.storeOf(`part-${index}`, stores.toReversed())?.address,
    );
    assert.deepEqual(reversed, places);
});

testing.test("guards against fetching from a server that was sent a call and turned it away unread", () => {
    const index = new indexes.CacheIndex();
    assert.equal(index.holders("s", "p", 0).size, 0);
    index.noteHeld("s", "p", "one", 100);
    assert.deepEqual(index.holders("s", "p", 200), new Set(["one"]));
    assert.equal(index.holders("s", "p", 60_000).size, 0);
});

testing.test("guards against a store's link that all servers wait for, when a server used the part of late", () => {
    const target = { server: { id: "a", address: "10.0.0.1:8000" } } as Parameters<typeof plans.planCache>[1];
    const holder = { id: "b", address: "10.0.0.2:8000" } as fleet.BackendServer;
    const plan = plans.planCache({ store: STORE, isInStore: true, holder }, target);
    assert.deepEqual(plan, { fetchFrom: holder.address, saveTo: undefined });
    const itself = plans.planCache({ store: STORE, isInStore: true, holder: { ...holder, id: "a" } }, target);
    assert.equal(itself.fetchFrom, STORE.address);
});
