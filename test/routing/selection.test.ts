/** Guards against unstable rankings, unbounded state, and frequently used prefixes that overload one server. */
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

testing.test("selection: removing a server other than the first does not change the order of the rest", () => {
    const addresses = fastCheck.uniqueArray(fastCheck.ipV4(), { minLength: 3, maxLength: 12 });
    const holders = fastCheck.array(fastCheck.tuple(fastCheck.nat(11), fastCheck.nat(7)), { maxLength: 4 });
    fastCheck.assert(
        fastCheck.property(addresses, holders, fastCheck.nat(), (all, known, leaving) => {
            const index = new prefixIndex.PrefixIndex();
            for (const [position, depth] of known) {
                const request = { ...REQUEST, chain: CHAIN.slice(0, depth) };
                index.recordReply(request, all[position % all.length], { engineBoot: "x", cachedTokens: 0 }, 0, 1);
            }
            const rank = (present: readonly string[]) =>
                selection.rankServers(REQUEST, candidates(present), index, new serverLoads.ServerLoads(), 2, 0.5)
                    .map(server => server.address);
            const before = rank(all);
            const removed = before[1 + leaving % (before.length - 1)];
            const hasFirstChanged = rank(all.filter(address => address !== removed))[0] !== before[0];
            assert.equal(hasFirstChanged, false, "the first choice changed although it is still present");
            assert.deepEqual(
                rank(all.filter(address => address !== removed)),
                before.filter(address => address !== removed),
            );
        }),
        { seed: 31 },
    );
});

testing.test("index: contains at most its capacity of pairs", () => {
    const replies = fastCheck.array(fastCheck.tuple(fastCheck.nat(3), fastCheck.nat(200), fastCheck.nat(9)));
    fastCheck.assert(
        fastCheck.property(replies, all => {
            const index = new prefixIndex.PrefixIndex({ ...parameters.defaults, indexCapacity: 20 });
            const pairs = new Set<string>();
            all.forEach(([server, first, length], now) => {
                const chain = Array.from({ length }, (_, depth) => String(first + depth));
                const request = { ...REQUEST, chain };
                index.recordReply(request, String(server), { engineBoot: "x", cachedTokens: 0 }, now - 0.5, now);
                chain.forEach(hash => pairs.add(hash));
                const found = [...pairs].reduce((sum, hash) => sum + index.matches([hash], now).size, 0);
                assert.ok(found <= 20 && index.size <= 20);
                assert.equal(found, index.size);
            });
        }),
        { seed: 32 },
    );
});

testing.test("index: the retention decreases only on an early miss and increases only on a late hit", () => {
    const change = (ageMs: number, cachedTokens: number) => {
        const index = new prefixIndex.PrefixIndex();
        const initial = index.retentionMs;
        index.recordReply(REQUEST, "s", { engineBoot: "x", cachedTokens: 0 }, 0, 1);
        assert.equal(index.retentionMs, initial, "the first reply does not change it");
        index.recordReply(REQUEST, "s", { engineBoot: "x", cachedTokens }, 1 + ageMs, 2 + ageMs);
        return index.retentionMs / initial;
    };
    const { initialRetentionMs, retentionGain } = parameters.defaults;
    const [young, old, all] = [initialRetentionMs / 2, initialRetentionMs * 2, 8 * PIECE_TOKENS];
    assert.ok(Math.abs(change(young, 0) - (1 - 4 * retentionGain)) < 1e-9, "a recently used piece was evicted");
    assert.ok(Math.abs(change(old, all) - (1 + retentionGain)) < 1e-9, "an old piece was still cached");
    assert.equal(change(young, all), 1);
    assert.equal(change(old, 0), 1);
});

testing.test("index: a miss of an unconfirmed piece or of an earlier boot does not decrease the retention", () => {
    const index = new prefixIndex.PrefixIndex();
    const initial = index.retentionMs;
    const recordReply = (engineBoot: string, chain: readonly string[], now: number) =>
        index.recordReply({ ...REQUEST, chain }, "s", { engineBoot, cachedTokens: 0 }, now - 1, now);
    recordReply("x", [], 10);
    index.recordSent(CHAIN, "s", 11);
    recordReply("x", CHAIN, 20);
    assert.equal(index.retentionMs, initial, "the piece was sent but not confirmed");
    recordReply("y", CHAIN, 30);
    assert.equal(index.retentionMs, initial, "the piece was in the cache of the earlier boot");
});

testing.test("index: a request in flight counts as cached at a server whose boot is known", () => {
    const index = new prefixIndex.PrefixIndex();
    index.recordSent(CHAIN, "s", 0);
    assert.equal(index.matches(CHAIN, 0).size, 0, "nothing is cached while the boot is unknown");
    index.recordReply({ ...REQUEST, chain: [] }, "s", { engineBoot: "x", cachedTokens: 0 }, 0, 1);
    index.recordSent(CHAIN, "s", 2);
    assert.equal(index.matches(CHAIN, 2).get("s")?.pieces, CHAIN.length);
});

testing.test("selection: only the preferred server is expected to have cached pieces that were sent to another server", () => {
    const all = candidates(["s1", "s2", "s3"]);
    const index = new prefixIndex.PrefixIndex();
    const loads = new serverLoads.ServerLoads();
    const [preferred, other, third] = selection.rankServers(REQUEST, all, index, loads, 0, 0).map(server =>
        server.address
    );
    for (const address of [preferred, other, third]) {
        index.recordReply({ ...REQUEST, chain: [] }, address, { engineBoot: "x", cachedTokens: 0 }, 0, 1);
    }
    index.recordReply(REQUEST, other, { engineBoot: "x", cachedTokens: 0 }, 2, 3);
    const ranked = selection.rankServers(REQUEST, all, index, loads, 3, 0);
    const cached = (address: string) => ranked.find(server => server.address === address)?.expectedCachedTokens;
    assert.equal(cached(preferred), parameters.defaults.preferredServerConfidence * CHAIN.length * PIECE_TOKENS);
    assert.equal(cached(third), 0);
});

testing.test("selection: the round trip adds to the cost, and a server of weight 0 is excluded", () => {
    const request = { chain: [], promptTokens: 0, pieceTokens: PIECE_TOKENS };
    const all = [2, 1, 0].map(networkMs => ({
        address: `s${networkMs}`,
        engineBoot: "",
        weight: networkMs,
        networkMs,
    }));
    const ranked = selection
        .rankServers(request, all, new prefixIndex.PrefixIndex(), new serverLoads.ServerLoads(), 0, 0);
    assert.deepEqual(ranked.map(server => [server.address, server.costMs, server.expectedMs]), [
        ["s1", 1, 1],
        ["s2", 2, 2],
    ]);
});

testing.test("selection: of servers without the prefix, the one with the shorter queue is first", () => {
    const loads = new serverLoads.ServerLoads();
    const all = candidates(["s1", "s2"]);
    for (const busy of ["s1", "s2"]) {
        all.forEach(({ address }) =>
            loads.recordReport(address, { ...IDLE, queuedTokens: address === busy ? 50_000 : 0 }, 1)
        );
        const [first] = selection.rankServers(REQUEST, all, new prefixIndex.PrefixIndex(), loads, 1, 0);
        assert.notEqual(first.address, busy);
    }
});

testing.test("selection: the preferred server is first within the tie tolerance, the cheapest server beyond it", () => {
    const index = new prefixIndex.PrefixIndex();
    const all = candidates(["s1", "s2", "s3"]);
    const preferred = selection.rankServers(REQUEST, all, index, new serverLoads.ServerLoads(), 0, 0)[0].address;
    const tie = parameters.defaults.tieTolerance * REQUEST.promptTokens;
    const first = (queuedTokens: number, random: number) => {
        const loads = new serverLoads.ServerLoads();
        loads.recordReport(preferred, { ...IDLE, queuedTokens }, 0);
        return selection.rankServers(REQUEST, all, index, loads, 0, random)[0].address;
    };
    for (const random of [0, 0.5, 0.99]) {
        assert.equal(first(0.9 * tie, random), preferred);
        assert.notEqual(first(1.1 * tie, random), preferred);
    }
});

testing.test("selection: requests without a full piece are spread over the tied servers", () => {
    const request = { chain: [], promptTokens: 100, pieceTokens: PIECE_TOKENS };
    const first = (random: number) =>
        selection.rankServers(
            request,
            candidates(["s1", "s2", "s3", "s4"]),
            new prefixIndex.PrefixIndex(),
            new serverLoads.ServerLoads(),
            0,
            random,
        )[0].address;
    assert.equal(new Set([0, 0.3, 0.6, 0.9].map(first)).size, 4);
});

testing.test("selection: a frequently used prefix spreads under load and later returns to its preferred server", () => {
    const addresses = ["s1", "s2", "s3", "s4"];
    const index = new prefixIndex.PrefixIndex();
    const loads = new serverLoads.ServerLoads();
    const choose = (now: number) => selection.rankServers(REQUEST, candidates(addresses), index, loads, now, 0.5);
    const serve = (now: number) => {
        const [{ address }] = choose(now);
        index.recordReply(REQUEST, address, { engineBoot: "x", cachedTokens: 0 }, now, now + 1);
        return address;
    };
    const preferred = serve(0);
    assert.equal(serve(10), preferred, "an idle preferred server keeps its prefix");
    loads.recordReport(preferred, { ...IDLE, queuedTokens: 200_000 }, 20);
    const second = serve(20);
    assert.notEqual(second, preferred, "waiting at the preferred server costs more than recomputing");
    assert.ok(
        (index.matches(CHAIN, 30).get(second)?.pieces ?? 0) > 7,
        "the second server is expected to have cached the prefix",
    );
    loads.recordReport(preferred, IDLE, 30);
    assert.equal(serve(40), preferred, "requests return to the preferred server when the load is gone");
    const later = 40 + 4 * index.retentionMs;
    assert.ok((index.matches(CHAIN, later).get(second)?.pieces ?? 0) < 1, "the copy at the second server expires");
});

testing.test("selection: long queues everywhere do not spread a prefix", () => {
    const index = new prefixIndex.PrefixIndex();
    const loads = new serverLoads.ServerLoads();
    const all = candidates(["s1", "s2", "s3", "s4"]);
    const preferred = selection.rankServers(REQUEST, all, index, loads, 0, 0.5)[0].address;
    index.recordReply(REQUEST, preferred, { engineBoot: "x", cachedTokens: 0 }, 0, 1);
    for (const { address } of all) {
        loads.recordReport(address, { ...IDLE, queuedTokens: address === preferred ? 200_000 : 150_000 }, 2);
    }
    assert.equal(selection.rankServers(REQUEST, all, index, loads, 2, 0.5)[0].address, preferred);
    all.filter(({ address }) => address !== preferred).forEach(({ address }) => loads.recordReport(address, IDLE, 2));
    assert.notEqual(
        selection.rankServers(REQUEST, all, index, loads, 2, 0.5)[0].address,
        preferred,
        "the prefix spreads when only its preferred server is overloaded",
    );
});

testing.test("selection: the weight of recomputation grows with the median queue in prompts", () => {
    const { recomputationWeight, congestionWeight } = parameters.defaults;
    const weight = (queuedTokens: number) => selection.recomputationWeight(queuedTokens, 1000, parameters.defaults);
    assert.equal(weight(0), recomputationWeight);
    assert.equal(weight(1000), recomputationWeight * (1 + congestionWeight));
    assert.equal(weight(3000), recomputationWeight * (1 + 3 * congestionWeight));
});

testing.test("redirection: at most once, and only when it saves half the time and 50 ms", () => {
    const decide = (ownMs: number, expectedMs: number, mayRedirect = true) => {
        const own = { queuedTokens: ownMs / 2, uncachedTokens: ownMs / 2, prefillMsPerToken: 1, networkMs: 0 };
        return redirection.decide(own, { address: "s2", expectedMs }, mayRedirect);
    };
    assert.deepEqual(decide(500, 249), { kind: "redirect", address: "s2" });
    assert.deepEqual(decide(500, 249, false), { kind: "accept" });
    assert.deepEqual(decide(500, 251), { kind: "accept" }, "it saves less than half of the time");
    assert.deepEqual(decide(60, 9).kind, "redirect");
    assert.deepEqual(decide(60, 11).kind, "accept", "it saves less than 50 ms");
    const own = { queuedTokens: 10_000, uncachedTokens: 1000, prefillMsPerToken: 0.05, networkMs: 0 };
    assert.deepEqual(redirection.decide(own, undefined, true), { kind: "accept" });
});
