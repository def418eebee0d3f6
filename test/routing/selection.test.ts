/** Guards against rankings that change without cause, unbounded state, and hot prefixes that stay on one server. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as parameters from "../../src/routing/parameters.js";
import * as prefixIndex from "../../src/routing/prefix-index.js";
import * as redirection from "../../src/routing/redirection.js";
import * as selection from "../../src/routing/selection.js";
import * as serverLoads from "../../src/routing/server-loads.js";

const PIECE_TOKENS = 1024;
const CHAIN = ["a", "b", "c", "d", "e", "f", "g", "h"];
const REQUEST = { chain: CHAIN, promptTokens: 8.5 * PIECE_TOKENS, pieceTokens: PIECE_TOKENS };
const IDLE = { queuedTokens: 0, running: 0, waiting: 0 };

function candidates(addresses: readonly string[]) {
    return addresses.map(address => ({ address, engineBoot: "", weight: 1, networkMs: 1 }));
}

testing.test("selection: the order of the others is stable when an unrelated server leaves", () => {
    const addresses = fastCheck.uniqueArray(fastCheck.ipV4(), { minLength: 3, maxLength: 12 });
    const holders = fastCheck.array(fastCheck.tuple(fastCheck.nat(11), fastCheck.nat(7)), { maxLength: 4 });
    fastCheck.assert(
        fastCheck.property(addresses, holders, fastCheck.nat(), (all, known, leaving) => {
            const index = new prefixIndex.PrefixIndex();
            for (const [position, depth] of known) {
                const request = { ...REQUEST, chain: CHAIN.slice(0, depth) };
                index.learn(request, all[position % all.length], { engineBoot: "x", cachedTokens: 0 }, 0, 1);
            }
            const rank = (present: readonly string[]) =>
                selection.choose(REQUEST, candidates(present), index, new serverLoads.ServerLoads(), 2, 0.5)
                    .map(server => server.address);
            const before = rank(all);
            const gone = before[1 + leaving % (before.length - 1)];
            const isHome = rank(all.filter(address => address !== gone))[0] !== before[0];
            assert.equal(isHome, false, "the first choice moved although it is still there");
            assert.deepEqual(rank(all.filter(address => address !== gone)), before.filter(address => address !== gone));
        }),
        { seed: 31 },
    );
});

testing.test("index: holds at most its capacity in pairs", () => {
    const replies = fastCheck.array(fastCheck.tuple(fastCheck.nat(3), fastCheck.nat(200), fastCheck.nat(9)));
    fastCheck.assert(
        fastCheck.property(replies, all => {
            const index = new prefixIndex.PrefixIndex({ ...parameters.defaults, indexCapacity: 20 });
            const pairs = new Set<string>();
            all.forEach(([server, first, length], now) => {
                const chain = Array.from({ length }, (_, depth) => String(first + depth));
                const request = { ...REQUEST, chain };
                index.learn(request, String(server), { engineBoot: "x", cachedTokens: 0 }, now - 0.5, now);
                chain.forEach(hash => pairs.add(hash));
                const found = [...pairs].reduce((sum, hash) => sum + index.matches([hash], now).size, 0);
                assert.ok(found <= 20 && index.size <= 20);
                assert.equal(found, index.size);
            });
        }),
        { seed: 32 },
    );
});

testing.test("index: the retention follows replies that disappoint, and replies that surprise", () => {
    const index = new prefixIndex.PrefixIndex();
    const initial = index.retentionMs;
    const learn = (cachedTokens: number, now: number) =>
        index.learn(REQUEST, "s", { engineBoot: "x", cachedTokens }, now - 1, now);
    learn(0, 1);
    learn(0, 1000);
    assert.ok(index.retentionMs < initial);
    const shortened = index.retentionMs;
    learn(8 * PIECE_TOKENS, 20_000);
    assert.ok(index.retentionMs > shortened);
});

testing.test("selection: a hot prefix spreads under load and returns to its home", () => {
    const addresses = ["s1", "s2", "s3", "s4"];
    const index = new prefixIndex.PrefixIndex();
    const loads = new serverLoads.ServerLoads();
    const choose = (now: number) => selection.choose(REQUEST, candidates(addresses), index, loads, now, 0.5);
    const serve = (now: number) => {
        const [{ address }] = choose(now);
        index.learn(REQUEST, address, { engineBoot: "x", cachedTokens: 0 }, now, now + 1);
        return address;
    };
    const home = serve(0);
    assert.equal(serve(10), home, "an idle home keeps its prefix");
    loads.reported(home, { ...IDLE, queuedTokens: 200_000 }, 20);
    const second = serve(20);
    assert.notEqual(second, home, "waiting at the home costs more than recomputing");
    assert.ok((index.matches(CHAIN, 30).get(second)?.pieces ?? 0) > 7, "the second server is known as a home");
    loads.reported(home, IDLE, 30);
    assert.equal(serve(40), home, "requests return when the load is gone");
    const later = 40 + 4 * index.retentionMs;
    assert.ok((index.matches(CHAIN, later).get(second)?.pieces ?? 0) < 1, "the additional home ages out");
});

testing.test("selection: long queues everywhere do not spread a prefix", () => {
    const index = new prefixIndex.PrefixIndex();
    const loads = new serverLoads.ServerLoads();
    const all = candidates(["s1", "s2", "s3", "s4"]);
    const home = selection.choose(REQUEST, all, index, loads, 0, 0.5)[0].address;
    index.learn(REQUEST, home, { engineBoot: "x", cachedTokens: 0 }, 0, 1);
    for (const { address } of all) {
        loads.reported(address, { ...IDLE, queuedTokens: address === home ? 200_000 : 150_000 }, 2);
    }
    assert.equal(selection.choose(REQUEST, all, index, loads, 2, 0.5)[0].address, home);
});

testing.test("redirection: at most once, and only by a margin", () => {
    const own = { queuedTokens: 10_000, uncachedTokens: 1000, prefillMsPerToken: 0.05, networkMs: 0 };
    const better = { address: "s2", expectedMs: 100 };
    assert.deepEqual(redirection.decide(own, better, true), { kind: "redirect", address: "s2" });
    assert.deepEqual(redirection.decide(own, better, false), { kind: "accept" });
    assert.deepEqual(redirection.decide(own, { ...better, expectedMs: 400 }, true), { kind: "accept" });
    assert.deepEqual(
        redirection.decide({ ...own, queuedTokens: 0 }, { ...better, expectedMs: 5 }, true).kind,
        "accept",
    );
    assert.deepEqual(redirection.decide(own, undefined, true), { kind: "accept" });
});
