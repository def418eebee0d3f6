/** Guards against a cache view that reports pieces the engine has not cached, or that grows without bound. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as cacheView from "../../src/routing/cache-view.js";

const HASHES = ["a", "b", "c", "d"];
const FIRST_SEQUENCE = 1;

type Message =
    & { readonly requestedAt: number; readonly boot: number; }
    & (
        | { readonly kind: "events"; readonly response: cacheView.CacheEvents; }
        | { readonly kind: "snapshot"; readonly response: cacheView.CacheSnapshot; }
    );

const step = fastCheck.record({
    kind: fastCheck.constantFrom(
        "store",
        "store",
        "evict",
        "clear",
        "poll",
        "poll",
        "snapshot",
        "deliver",
        "deliver",
        "restart",
    ),
    hash: fastCheck.nat(HASHES.length - 1),
    pick: fastCheck.nat(20),
    lost: fastCheck.boolean(),
});

testing.test("cache view: while valid, it equals the cache of the newest observed boot at its position", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.array(step, { maxLength: 100, size: "max" }), steps => {
            const view = new cacheView.CacheView();
            let boot = 0;
            let newestBoot = 0;
            let log: cacheView.CacheEvent[] = [];
            let cache = new Set<string>();
            const states = new Map<string, ReadonlySet<string>>([["0/1", new Set()]]);
            const pending: Message[] = [];
            const change = (kind: cacheView.CacheEventKind, hash: string) => {
                log.push({ sequence: FIRST_SEQUENCE + log.length, kind, hash });
                cache = kind === "cleared" ? new Set() : new Set(cache);
                const apply = { stored: () => cache.add(hash), evicted: () => cache.delete(hash), cleared: () => true };
                apply[kind]();
                states.set(`${boot}/${FIRST_SEQUENCE + log.length}`, cache);
            };
            steps.forEach(({ kind, hash, pick, lost }, now) => {
                const next = FIRST_SEQUENCE + log.length;
                const handlers = {
                    store: () => change("stored", HASHES[hash]),
                    evict: () => change("evicted", HASHES[hash]),
                    clear: () => change("cleared", ""),
                    poll: () => {
                        const after = log.filter(event => event.sequence >= view.position);
                        const events = after.filter((_, position) => !lost || position !== pick % after.length);
                        const response = { boot: String(boot), next, events };
                        pending.push({ kind: "events", requestedAt: now, boot, response });
                    },
                    snapshot: () => {
                        const response = { boot: String(boot), next, hashes: [...cache] };
                        pending.push({ kind: "snapshot", requestedAt: now, boot, response });
                    },
                    deliver: () => {
                        const [message] = pending.splice(pick % Math.max(1, pending.length), 1);
                        newestBoot = Math.max(newestBoot, message?.boot ?? 0);
                        if (message?.kind === "events") {
                            view.apply(message.response, message.requestedAt, now);
                        }
                        if (message?.kind === "snapshot") {
                            view.rebuild(message.response, message.requestedAt, now);
                        }
                    },
                    restart: () => {
                        boot++;
                        log = [];
                        cache = new Set();
                        states.set(`${boot}/${FIRST_SEQUENCE}`, cache);
                    },
                };
                handlers[kind]();
                const visible = HASHES.filter(value => view.matchedPieces([value]) === 1);
                if (view.valid) {
                    assert.ok(Number(view.boot) >= newestBoot, "the view is of an older boot than one observed");
                    const expected = states.get(`${view.boot}/${view.position}`);
                    assert.deepEqual(visible, HASHES.filter(value => expected?.has(value)));
                }
                else {
                    assert.deepEqual(visible, []);
                }
            });
        }),
        { seed: 21, numRuns: 3000 },
    );
});

testing.test("cache view: a sufficiently recent snapshot after a gap makes the view valid again", () => {
    const view = new cacheView.CacheView();
    view.rebuild({ boot: "x", next: 1, hashes: [] }, 0, 1);
    view.apply({ boot: "x", next: 4, events: [{ sequence: 3, kind: "stored", hash: "a" }] }, 2, 3);
    assert.equal(view.valid, false);
    view.rebuild({ boot: "x", next: 2, hashes: ["old"] }, 4, 5);
    assert.equal(view.valid, false, "the snapshot is older than the observed events");
    view.rebuild({ boot: "x", next: 4, hashes: ["a"] }, 6, 7);
    assert.equal(view.matchedPieces(["a"]), 1);
});

testing.test("cache view: a missing event anywhere in a poll response invalidates the view", () => {
    const stored = (sequence: number) => ({ sequence, kind: "stored" as const, hash: String(sequence) });
    const apply = (sequences: readonly number[]) => {
        const view = new cacheView.CacheView();
        view.rebuild({ boot: "x", next: 1, hashes: ["a"] }, 0, 1);
        view.apply({ boot: "x", next: 4, events: sequences.map(stored) }, 2, 3);
        return { valid: view.valid, known: view.matchedPieces(["a"]) };
    };
    assert.deepEqual(apply([1, 2, 3]), { valid: true, known: 1 });
    for (const incomplete of [[2, 3], [1, 3], [1, 2], []]) {
        assert.deepEqual(apply(incomplete), { valid: false, known: 0 }, `only events ${incomplete.join()}`);
    }
});

testing.test("cache view: contains at most its capacity of pieces", () => {
    const view = new cacheView.CacheView(3);
    view.rebuild({ boot: "x", next: 1, hashes: ["a", "b", "c", "d", "e"] }, 0, 1);
    assert.equal(view.size, 3);
    const events = HASHES.map((hash, index) => ({ sequence: index + 1, kind: "stored" as const, hash: `${hash}2` }));
    view.apply({ boot: "x", next: 5, events }, 2, 3);
    assert.equal(view.size, 3);
});
