/** Guards against routing by cached prefixes of an earlier engine boot, another customer or older weights. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as bootTracker from "../../src/routing/boot-tracker.js";
import * as prefixIndex from "../../src/routing/prefix-index.js";
import * as prefix from "../../src/routing/prefix.js";
import * as selection from "../../src/routing/selection.js";
import * as serverLoads from "../../src/routing/server-loads.js";

const PIECE_TOKENS = 4;
const CHAINS = [["a", "b", "c"], ["a", "b", "d"], ["e"]];
const ADDRESSES = ["10.0.0.1:1", "10.0.0.2:1"];

interface Reply {
    readonly address: string;
    readonly chain: readonly string[];
    readonly sentAt: number;
    boot?: number;
}

const step = fastCheck.record({
    kind: fastCheck.constantFrom("send", "send", "process", "process", "deliver", "deliver", "restart", "forget"),
    server: fastCheck.nat(ADDRESSES.length - 1),
    pick: fastCheck.nat(20),
});

testing.test("index: with late and reordered replies, a match is never of an older boot than one observed", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.array(step, { maxLength: 80, size: "max" }), steps => {
            const index = new prefixIndex.PrefixIndex();
            const boots = new Map(ADDRESSES.map(address => [address, 0]));
            const newestBoots = new Map(ADDRESSES.map(address => [address, 0]));
            const stored = new Set<string>();
            const pending: Reply[] = [];
            steps.forEach(({ kind, server, pick }, now) => {
                const address = ADDRESSES[server];
                const boot = boots.get(address) ?? 0;
                const chain = CHAINS[pick % CHAINS.length];
                const handlers = {
                    send: () => {
                        index.recordSent(chain, address, now);
                        pending.push({ address, chain, sentAt: now });
                    },
                    process: () => {
                        const reply = pending.find(item => item.address === address && item.boot === undefined);
                        Object.assign(reply ?? {}, { boot });
                        reply?.chain.forEach(hash => stored.add(`${address} ${boot} ${hash}`));
                    },
                    deliver: () => {
                        const ready = pending.filter(item => item.boot !== undefined);
                        const reply = ready[pick % Math.max(1, ready.length)];
                        if (reply?.boot !== undefined) {
                            pending.splice(pending.indexOf(reply), 1);
                            const request = { chain: reply.chain, promptTokens: 20, pieceTokens: PIECE_TOKENS };
                            const report = { engineBoot: String(reply.boot), cachedTokens: 0 };
                            index.recordReply(request, reply.address, report, reply.sentAt, now);
                            newestBoots.set(reply.address, Math.max(newestBoots.get(reply.address) ?? 0, reply.boot));
                        }
                    },
                    restart: () => boots.set(address, boot + 1),
                    forget: () => index.invalidate(address, now),
                };
                handlers[kind]();
                for (const [matchedAddress, match] of CHAINS.flatMap(hashes => [...index.matches(hashes, now)])) {
                    assert.ok(
                        Number(match.boot) >= (newestBoots.get(matchedAddress) ?? 0),
                        "the match is of an older boot than one observed",
                    );
                }
            });
        }),
        { seed: 11, numRuns: 2000 },
    );
});

testing.test("index: a boot conflict is resolved by a reply to a request sent after it", () => {
    const index = new prefixIndex.PrefixIndex();
    const request = { chain: ["a", "b"], promptTokens: 10, pieceTokens: PIECE_TOKENS };
    const recordReply = (engineBoot: string, sentAt: number, now: number) =>
        index.recordReply(request, "s", { engineBoot, cachedTokens: 0 }, sentAt, now);
    recordReply("old", 0, 10);
    recordReply("new", 5, 11);
    assert.equal(index.bootOf("s"), undefined, "the order of two overlapping boots is unknown");
    recordReply("old", 6, 12);
    assert.equal(index.bootOf("s"), undefined, "a reply to a request sent before the conflict is ignored");
    recordReply("new", 12, 13);
    assert.equal(index.matches(request.chain, 13).get("s")?.boot, "new");
});

testing.test("index: a reply in a boot conflict, or to a request sent before it, adds no pieces", () => {
    const index = new prefixIndex.PrefixIndex();
    const recordReply = (engineBoot: string, chain: readonly string[], sentAt: number, now: number) =>
        index.recordReply(
            { chain, promptTokens: 10, pieceTokens: PIECE_TOKENS },
            "s",
            { engineBoot, cachedTokens: 0 },
            sentAt,
            now,
        );
    recordReply("old", [], 0, 10);
    recordReply("new", ["a"], 5, 11);
    assert.equal(index.size, 0, "the boots overlap");
    recordReply("new", ["a"], 6, 12);
    assert.equal(index.size, 0, "the request was sent before the conflict");
});

testing.test("boot tracker: another boot in reply to a request sent before the last known reply conflicts", () => {
    const tracker = new bootTracker.BootTracker();
    assert.equal(tracker.observe("old", 0, 1), "changed");
    assert.equal(tracker.observe("old", 2, 10), "known");
    assert.equal(tracker.observe("new", 5, 11), "conflict");
});

testing.test("selection: a server whose member document has another boot has no expected cached tokens", () => {
    const index = new prefixIndex.PrefixIndex();
    const request = { chain: ["a", "b"], promptTokens: 10, pieceTokens: PIECE_TOKENS };
    index.recordReply(request, "s", { engineBoot: "old", cachedTokens: 0 }, 0, 1);
    index.recordReply(request, "s", { engineBoot: "old", cachedTokens: 0 }, 2, 3);
    const expected = (engineBoot: string) => {
        const candidates = [{ address: "s", engineBoot, weight: 1, networkMs: 0 }];
        return selection.rankServers(request, candidates, index, new serverLoads.ServerLoads(), 3, 0)[0]
            .expectedCachedTokens;
    };
    assert.ok(expected("old") > 0);
    assert.ok(expected("") > 0);
    assert.equal(expected("new"), 0);
});

testing.test("selection: a preferred server with a new boot has no expected cached tokens from its earlier boot", () => {
    const index = new prefixIndex.PrefixIndex();
    const request = { chain: ["a", "b"], promptTokens: 10, pieceTokens: PIECE_TOKENS };
    const short = { chain: [], promptTokens: 3, pieceTokens: PIECE_TOKENS };
    index.recordReply(request, "s", { engineBoot: "old", cachedTokens: 0 }, 0, 1);
    index.recordReply(short, "s", { engineBoot: "new", cachedTokens: 0 }, 2, 3);
    const candidates = [{ address: "s", engineBoot: "", weight: 1, networkMs: 0 }];
    const [ranked] = selection.rankServers(request, candidates, index, new serverLoads.ServerLoads(), 3, 0);
    assert.equal(ranked.expectedCachedTokens, 0);
});

testing.test("prefix: equal prompts share hashes only if their cache scopes are equal", () => {
    const name = fastCheck.constantFrom("a", "b", "ab", "");
    const scope = fastCheck.record({ customer: name, model: name, adapter: name, weightsVersion: name });
    const field = fastCheck.constantFrom("customer", "model", "adapter", "weightsVersion");
    const prompt = fastCheck.string({ minLength: 8, maxLength: 64 });
    fastCheck.assert(
        fastCheck.property(scope, field, name, prompt, (left, changed, value, text) => {
            const right = { ...left, [changed]: value };
            const [first, second] = [left, right].map(item => prefix.prefixOf(item, text, 2));
            const isSame = left[changed] === value;
            assert.ok(first.chain.length > 0);
            assert.equal(first.scope === second.scope, isSame);
            assert.equal(first.chain.some(hash => second.chain.includes(hash)), isSame);
        }),
        { seed: 12, numRuns: 500 },
    );
});

testing.test("prefix: equal pieces after different prefixes have different hashes", () => {
    const piece = fastCheck.string({ unit: fastCheck.constantFrom("a", "b"), minLength: 8, maxLength: 8 });
    const pieces = fastCheck.array(piece, { minLength: 1, maxLength: 6, size: "max" });
    const scope = { customer: "c", model: "m", adapter: "", weightsVersion: "1" };
    fastCheck.assert(
        fastCheck.property(piece, piece, pieces, (left, right, rest) => {
            fastCheck.pre(left !== right);
            const chains = [left, right].map(first => prefix.prefixOf(scope, [first, ...rest].join(""), 2).chain);
            assert.equal(new Set(chains.flat()).size, 2 * (rest.length + 1));
            const repeated = prefix.prefixOf(scope, left.repeat(3), 2).chain;
            assert.equal(new Set(repeated).size, 3);
        }),
        { seed: 14 },
    );
});

testing.test("prefix: only full pieces are hashed, and chains share exactly the common full pieces", () => {
    const text = fastCheck.string({ unit: "grapheme", maxLength: 64 });
    const scope = { customer: "c", model: "m", adapter: "", weightsVersion: "1" };
    fastCheck.assert(
        fastCheck.property(text, text, text, (common, left, right) => {
            const bytes = [left, right].map(tail => Buffer.from(common + tail));
            const [first, second] = [left, right].map(tail => prefix.prefixOf(scope, common + tail, 2).chain);
            assert.equal(first.length, Math.floor(bytes[0].length / 8));
            first.forEach((hash, piece) => {
                const end = (piece + 1) * 8;
                const isShared = end <= bytes[1].length && bytes[0].subarray(0, end).equals(bytes[1].subarray(0, end));
                assert.equal(second[piece] === hash, isShared);
            });
        }),
        { seed: 13 },
    );
});
