/** Guards against stand-ins that do not reproduce the faults that the router must handle. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as completions from "../../stand-ins/engine/completion.js";
import * as engines from "../../stand-ins/engine/engine.js";
import * as weightStores from "../../stand-ins/weight-store/weight-store.js";
import * as calls from "../support/engine-calls.js";

const FAST_SETTINGS = { prefill_ms_per_token: 0, decode_ms: 0, weights: ["menu@1"], weights_load_ms: 0 };
const TWO_PIECES = "x".repeat(2 * 4096);

function tokenTexts(response: calls.GenerateResponse): readonly unknown[] {
    return response.events.filter(event => event.type === "token").map(event => event.text);
}

testing.test("engine: a resumed completion continues at the index after the given tokens", async () => {
    await using engine = await engines.createEngine({ settings: FAST_SETTINGS });
    const whole = await calls.generate(engine.address);
    assert.deepEqual(tokenTexts(whole), completions.tokens("hello", 5));
    assert.deepEqual(whole.events.at(-1), { type: "end", count: 5, reason: "length" });
    const resumed = await calls.generate(engine.address, { resume_tokens: completions.tokens("hello", 2) });
    assert.deepEqual(tokenTexts(resumed), completions.tokens("hello", 5).slice(2));
    assert.deepEqual(resumed.events.at(-1), { type: "end", count: 5, reason: "length" });
});

testing.test("engine: a crash marker ends the stream without an end event, and a restart has an empty cache", async () => {
    const engine = await engines.createEngine({ settings: FAST_SETTINGS });
    await calls.generate(engine.address, { prompt: TWO_PIECES });
    const response = await calls.generate(engine.address, { prompt: "[[crash:2]]" });
    assert.equal(response.connectionLost, true);
    assert.equal(engine.crashed, true);
    assert.equal(response.events.some(event => event.type === "end"), false);
    await engine[Symbol.asyncDispose]();
    const port = Number(engine.address.split(":")[1]);
    await using restarted = await engines.createEngine({ port, settings: FAST_SETTINGS });
    assert.notEqual(restarted.boot, engine.boot);
    const start = (await calls.generate(restarted.address, { prompt: TWO_PIECES })).events[0];
    assert.equal(start.cached_tokens, 0);
});

testing.test("engine: cached pieces match only under the same scope and are evicted under memory pressure", async () => {
    await using engine = await engines.createEngine({ settings: { ...FAST_SETTINGS, cache_pieces: 2 } });
    const cachedTokens = async (changes: object) =>
        (await calls.generate(engine.address, { prompt: TWO_PIECES, ...changes })).events[0].cached_tokens;
    assert.equal(await cachedTokens({}), 0);
    assert.equal(await cachedTokens({}), 2048);
    assert.equal(await cachedTokens({ cache_scope: "other" }), 0);
    assert.equal(await cachedTokens({}), 0);
});

testing.test("engine: a dropped cache event leaves a gap in the sequence numbers", async () => {
    await using engine = await engines.createEngine({ settings: { ...FAST_SETTINGS, event_drop_every: 2 } });
    await calls.generate(engine.address, { prompt: "x".repeat(3 * 4096) });
    const response = await calls.get(engine.address, "/v1/cache-events?after=0") as {
        readonly next: number;
        readonly events: readonly { readonly sequence: number; }[];
    };
    assert.deepEqual(response.events.map(event => event.sequence), [1, 3]);
    assert.equal(response.next, 3);
});

testing.test("engine: at most the configured number of requests run, and interactive requests start first", async () => {
    await using engine = await engines.createEngine({ settings: { ...FAST_SETTINGS, max_running: 1, decode_ms: 1 } });
    const finished: string[] = [];
    const send = async (id: string, priority: string, maxTokens: number) => {
        await calls.generate(engine.address, { request_id: id, priority, max_tokens: maxTokens });
        finished.push(id);
    };
    const first = send("first", "batch", 1_000_000);
    await calls.waitForLoad(engine.address, load => load.running === 1);
    const second = send("batch", "batch", 5);
    await calls.waitForLoad(engine.address, load => load.waiting === 1);
    const third = send("interactive", "interactive", 5);
    await calls.waitForLoad(engine.address, load => load.waiting === 2 && load.running === 1);
    await calls.post(engine.address, "/v1/cancel", { request_id: "first" });
    await Promise.all([first, second, third]);
    assert.deepEqual(finished, ["first", "interactive", "batch"]);
});

testing.test("engine: orders with an outdated fencing number are refused only if the engine checks it", async () => {
    await using checking = await engines.createEngine({ settings: FAST_SETTINGS });
    await using ignoring = await engines.createEngine({ settings: { ...FAST_SETTINGS, checks_fencing: false } });
    const order = (engine: engines.Engine, fencing: number, version: string) =>
        calls.post(engine.address, "/v1/orders", {
            fencing_number: fencing,
            kind: "load-weights",
            model: "menu",
            weights_version: version,
        });
    for (const engine of [checking, ignoring]) {
        assert.equal((await order(engine, 2, "2")).status, 200);
    }
    assert.equal((await order(checking, 1, "3")).status, 409);
    assert.equal((await order(ignoring, 1, "3")).status, 200);
});

testing.test("engine: a fault affects only its version and route, after the given number of requests", async () => {
    const faults = [{ weights_version: "2", effect: "fail" as const, after_requests: 1, route: "chat" }];
    await using engine = await engines.createEngine({
        settings: { ...FAST_SETTINGS, weights: ["menu@1", "menu@2"], faults },
    });
    const status = async (changes: object) => (await calls.generate(engine.address, changes)).status;
    assert.equal(await status({ weights_version: "2", route: "chat" }), 200);
    assert.equal(await status({ weights_version: "2", route: "chat" }), 500);
    assert.equal(await status({ weights_version: "2", route: "other" }), 200);
    assert.equal(await status({ weights_version: "1", route: "chat" }), 200);
    assert.equal(await status({ weights_version: "3" }), 409);
});

testing.test("engine: a cancelled request frees its batch slot and its stream is incomplete", async () => {
    await using engine = await engines.createEngine({ settings: { ...FAST_SETTINGS, max_running: 1, decode_ms: 1 } });
    const long = calls.generate(engine.address, { request_id: "long", max_tokens: 1_000_000 });
    await calls.waitForLoad(engine.address, load => load.running === 1);
    await calls.post(engine.address, "/v1/cancel", { request_id: "long" });
    assert.equal((await long).events.at(-1)?.reason, "cancelled");
    assert.equal((await calls.generate(engine.address)).events.at(-1)?.reason, "length");
});

testing.test("weight store: loads beyond the limit are slower, and finished loads are not counted", async () => {
    await using store = await weightStores.createWeightStore({ parallelLoads: 1 });
    const address = store.url.replace("http://", "");
    const beginLoad = async () =>
        (await calls.post(address, "/v1/loads", {})).json as { id: string; slowdown: number; };
    assert.equal((await beginLoad()).slowdown, 1);
    assert.equal((await beginLoad()).slowdown, 2);
    await using engine = await engines.createEngine({ settings: { ...FAST_SETTINGS, weight_store: store.url } });
    const order = { fencing_number: 1, kind: "load-weights", model: "menu", weights_version: "9" };
    assert.equal((await calls.post(engine.address, "/v1/orders", order)).status, 200);
    assert.deepEqual(await calls.get(address, "/control/statistics"), { loads: 3, at_once: 2, most_at_once: 3 });
});
