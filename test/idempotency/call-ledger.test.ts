/** Guards against calls that run without a confirmed claim, and against wrong responses to repeated calls. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as outcomes from "../../src/core/outcome.js";
import * as ledgers from "../../src/idempotency/call-ledger.js";
import * as commits from "../../src/idempotency/group-commit.js";
import * as records from "../../src/idempotency/record-group.js";
import type * as settlement from "../../src/idempotency/settlement.js";
import * as journals from "../../src/logging/journal.js";
import type * as manifest from "../../src/manifest/types.js";
import type * as membership from "../../src/membership/types.js";
import type * as httpClients from "../../src/object-api/http-client.js";
import * as memoryStores from "../support/memory-object-store.js";
import * as simulationClock from "../support/simulation-clock.js";

const SEED = 1;
const ROUTE = { name: "bookings", lookupPath: "/lookup/{key}", settleAfterMs: 30_000 } as manifest.Route;
const TIME_LIMIT_MS = 1_000_000;

class Harness {
    readonly clock = new simulationClock.SimulationClock(SEED);
    readonly store = new memoryStores.MemoryObjectStore();
    liveness: membership.Liveness = "unknown";
    serviceAnswer: settlement.ServiceLookupResult = { kind: "absent" };
    runs = 0;

    ledger(boot: string): ledgers.CallLedger {
        return new ledgers.CallLedger({
            self: { address: `agent-${boot}`, boot },
            store: this.store,
            clock: this.clock,
            journal: journals.silentJournal,
            liveness: { probe: async () => this.liveness },
            service: { lookup: async () => this.serviceAnswer },
        });
    }

    call(key: string, change: Partial<ledgers.Call> = {}): ledgers.Call {
        const deadline = this.clock.now() + 10_000;
        return {
            customer: "anna",
            route: ROUTE,
            key,
            requestId: "request",
            attempt: 0,
            bodyHash: "body",
            deadline,
            ...change,
        };
    }

    /** Runs the call and responds with the number of runs so far, padded to `bytes`. */
    readonly execute = async (permit: ledgers.Permit, bytes = 0): Promise<httpClients.HttpResult> => {
        if (!permit.mayStart()) {
            return { kind: "not-sent", detail: "too late" };
        }
        this.runs++;
        const body = Buffer.from(String(this.runs).padEnd(bytes));
        return { kind: "answered", response: { status: 201, headers: {}, body } };
    };

    /** Advances the virtual time until the promise is settled. */
    async finish<Value>(promise: Promise<Value>): Promise<Value> {
        let isSettled = false;
        const markSettled = () => {
            isSettled = true;
        };
        void promise.then(markSettled, markSettled);
        await this.clock.run(TIME_LIMIT_MS, () => isSettled);
        return promise;
    }
}

function summary(outcome: outcomes.Outcome<ledgers.CallResult>): string {
    return outcome.ok
        ? `${outcome.value.response.body}${outcome.value.replayed ? " replayed" : ""}`
        : outcome.failure.kind;
}

testing.test("call ledger: concurrent calls of one group are written together", async () => {
    const harness = new Harness();
    const ledger = harness.ledger("a");
    const keys = Array.from({ length: 20_000 }, (_, index) => `key-${index}`)
        .filter(key => records.groupName(records.recordId("anna", ROUTE.name, key)) === "idempotency/7")
        .slice(0, 20);
    const results = await harness.finish(Promise.all(keys.map(key => ledger.run(harness.call(key), harness.execute))));
    assert.equal(results.filter(result => result.ok).length, 20);
    assert.ok(harness.store.writes <= 6, `${harness.store.writes} writes`);
});

testing.test("call ledger: a key with another body is refused from memory and from the store", async () => {
    const harness = new Harness();
    const ledger = harness.ledger("a");
    const [first, second] = await harness.finish(Promise.all([
        ledger.run(harness.call("k"), harness.execute),
        ledger.run(harness.call("k", { bodyHash: "other" }), harness.execute),
    ]));
    assert.deepEqual([summary(first), summary(second)], ["1", "idempotency-key-reused"]);
    const other = harness.ledger("b").run(harness.call("k", { bodyHash: "other" }), harness.execute);
    assert.equal(summary(await harness.finish(other)), "idempotency-key-reused");
    assert.equal(
        summary(await harness.finish(harness.ledger("b").run(harness.call("k"), harness.execute))),
        "1 replayed",
    );
});

testing.test("call ledger: a call that ends during a store outage returns its response, which is replayed from memory", async () => {
    const harness = new Harness();
    const ledger = harness.ledger("a");
    const execute = async (permit: ledgers.Permit) => {
        harness.store.fault = "outage";
        return harness.execute(permit);
    };
    assert.equal(summary(await harness.finish(ledger.run(harness.call("k"), execute))), "1");
    assert.equal(summary(await harness.finish(ledger.run(harness.call("k"), harness.execute))), "1 replayed");
    harness.store.fault = "none";
    await harness.finish(ledger.flush(harness.clock.now() + 5000));
    assert.equal(
        summary(await harness.finish(harness.ledger("b").run(harness.call("k"), harness.execute))),
        "1 replayed",
    );
});

testing.test("call ledger: nothing runs in a store outage, and the call runs once afterwards", async () => {
    const harness = new Harness();
    const ledger = harness.ledger("a");
    harness.store.fault = "outage";
    assert.equal(summary(await harness.finish(ledger.run(harness.call("k"), harness.execute))), "call-not-claimed");
    harness.store.fault = "none";
    const repeat = harness.call("k", { requestId: "repeat" });
    assert.equal(summary(await harness.finish(ledger.run(repeat, harness.execute))), "1");
});

testing.test("call ledger: a call is never settled as not run unless its claim holder is proved dead", async () => {
    const harness = new Harness();
    void harness.ledger("a").run(harness.call("k"), () => new Promise(() => undefined));
    const ledger = harness.ledger("b");
    for (let repeat = 0; repeat < 10; repeat++) {
        const result = await harness.finish(
            ledger.run(harness.call("k", { requestId: `r${repeat}` }), harness.execute),
        );
        assert.equal(summary(result), "outcome-unknown");
        await harness.finish(harness.clock.sleep(10_000));
        await ledger.step(harness.clock.now());
    }
    harness.liveness = "dead";
    const afterDeath = ledger.run(harness.call("k", { requestId: "last" }), harness.execute);
    assert.equal(summary(await harness.finish(afterDeath)), "outcome-unknown");
    harness.serviceAnswer = { kind: "ran", response: { status: 200, headers: {}, body: Buffer.from("found") } };
    const found = ledger.run(harness.call("k", { requestId: "found" }), harness.execute);
    assert.equal(summary(await harness.finish(found)), "found replayed");
    assert.equal(harness.runs, 0);
});

testing.test("call ledger: not-run is not reported before the store has confirmed the settlement", async () => {
    const harness = new Harness();
    harness.liveness = "dead";
    void harness.ledger("a").run(harness.call("k"), () => new Promise(() => undefined));
    const ledger = harness.ledger("b");
    await harness.finish(ledger.run(harness.call("k", { requestId: "first" }), harness.execute));
    await harness.finish(harness.clock.sleep(60_000));
    const put = harness.store.put.bind(harness.store);
    harness.store.put = async () => outcomes.fail("store-unavailable", "writes fail");
    const unconfirmed = ledger.run(harness.call("k", { requestId: "second" }), harness.execute);
    assert.equal(summary(await harness.finish(unconfirmed)), "outcome-unknown");
    harness.store.put = put;
    await harness.finish(harness.clock.sleep(5000));
    const repeat = ledger.run(harness.call("k", { requestId: "third" }), harness.execute);
    assert.equal(summary(await harness.finish(repeat)), "1");
});

testing.test("call ledger: a call that reaches its deadline before it starts is reported as not claimed", async () => {
    const harness = new Harness();
    const late = async (permit: ledgers.Permit) => {
        await harness.clock.sleep(20_000);
        return harness.execute(permit);
    };
    const result = await harness.finish(harness.ledger("a").run(harness.call("k"), late));
    assert.equal(summary(result), "call-not-claimed");
    assert.equal(harness.runs, 0);
});

testing.test("call ledger: a cancelled call does not run, but the next attempt of its request does", async () => {
    const harness = new Harness();
    const ledger = harness.ledger("a");
    const cancel = new AbortController();
    cancel.abort();
    await harness.finish(ledger.run(harness.call("k", { signal: cancel.signal }), harness.execute));
    assert.equal(harness.runs, 0);
    await harness.finish(harness.clock.sleep(1000));
    assert.equal(summary(await harness.finish(ledger.run(harness.call("k", { attempt: 1 }), harness.execute))), "1");
});

testing.test("call ledger: a response too large to store is delivered once and not replayed", async () => {
    const harness = new Harness();
    const execute = (permit: ledgers.Permit) => harness.execute(permit, 20_000);
    assert.match(summary(await harness.finish(harness.ledger("a").run(harness.call("k"), execute))), /^1/);
    const repeat = await harness.finish(harness.ledger("b").run(harness.call("k"), execute));
    assert.equal(summary(repeat), "response-not-stored");
    const oversized = async () => ({ kind: "oversized", response: { status: 200, headers: {} } }) as const;
    const tooLarge = await harness.finish(harness.ledger("a").run(harness.call("l"), oversized));
    assert.equal(summary(tooLarge), "response-too-large");
    assert.equal(
        summary(await harness.finish(harness.ledger("b").run(harness.call("l"), execute))),
        "response-not-stored",
    );
});

testing.test("call ledger: unreadable records are neither overwritten nor treated as missing", async () => {
    const harness = new Harness();
    const group = records.groupName(records.recordId("anna", ROUTE.name, "k"));
    await harness.store.put(group, "damaged", 0);
    const result = await harness.finish(harness.ledger("a").run(harness.call("k"), harness.execute));
    assert.equal(summary(result), "idempotency-group-unreadable");
    assert.equal(harness.runs, 0);
    assert.equal(harness.store.writes, 1);
});

testing.test("group commit: a result that needs no write is read from the store, not from the cache", async () => {
    const harness = new Harness();
    const committer = () =>
        new commits.GroupCommitter({ store: harness.store, clock: harness.clock, journal: journals.silentJournal });
    const claim = (id: string) => ({
        id,
        incarnation: { address: "a", boot: "b" },
        requestId: id,
        attempt: 0,
        runWithinMs: 0,
    });
    const [first, second] = [committer(), committer()];
    const claimWith = (id: string): commits.Operation<records.ClaimResult> => (group, wallTime) =>
        records.claim(group, "r", "body", claim(id), wallTime);
    await harness.finish(first.submit("g", claimWith("first")).result);
    const release: commits.Operation<unknown> = (group, wallTime) =>
        records.release(group, "r", claim("first"), "body", wallTime);
    await harness.finish(second.submit("g", release).result);
    const result = await harness.finish(first.submit("g", claimWith("second")).result);
    assert.deepEqual(result, outcomes.succeed({ kind: "claimed" }));
});
