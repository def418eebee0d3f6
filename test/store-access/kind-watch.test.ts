/** Guards against a watch that stops after lost history, outages or silence of the store. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as clocks from "../../src/clock/clock.js";
import * as outcomes from "../../src/core/outcome.js";
import * as journals from "../../src/logging/journal.js";
import type * as copies from "../../src/store-access/kind-copy.js";
import * as watches from "../../src/store-access/kind-watch.js";
import type * as types from "../../src/store-access/types.js";

/** Time passes only while somebody sleeps. */
function sleepingClock(): clocks.Clock {
    let now = 0;
    return {
        now: () => now,
        wallTime: () => now,
        random: () => 0.5,
        identifier: () => "id",
        sleep: durationMs => {
            now += durationMs;
            return new Promise(resolve => setImmediate(resolve));
        },
    };
}

type Answer = outcomes.Outcome<types.Listing> | outcomes.Outcome<types.Changes>;

/** Answers the calls with a script, then waits for ever. */
function scriptedStore(script: readonly Answer[], calls: string[]): types.RecordStore {
    let index = 0;
    const next = (call: string) => {
        calls.push(call);
        const answer = script[index++];
        return answer === undefined ? new Promise<never>(() => undefined) : Promise.resolve(answer as never);
    };
    return {
        list: () => next("list"),
        watch: (_kind, after, waitMs) => next(`watch ${after}${waitMs < 1000 ? " short" : ""}`),
        put: () => Promise.resolve(outcomes.succeed(undefined)),
    };
}

function record(name: string, revision: number): types.StoredRecord {
    return { name, revision, spec: {}, isDeleting: false };
}

async function play(script: readonly Answer[]) {
    const calls: string[] = [];
    const seen: number[] = [];
    const watch = new watches.KindWatch(
        { kind: "config", waitMs: () => 1000, collectMs: () => 0, ownersWriteAgain: false },
        {
            store: scriptedStore(script, calls),
            clock: sleepingClock(),
            journal: journals.silentJournal,
            changed: (copy: copies.KindCopy) => void seen.push(copy.revision),
        },
    );
    watch.start();
    while (calls.length <= script.length) {
        await new Promise(resolve => setImmediate(resolve));
    }
    return { calls, seen, watch };
}

testing.test("guards against changes that are missed when the history is lost", async () => {
    const { calls, seen } = await play([
        outcomes.succeed({ revision: 5, records: [record("main", 5)] }),
        outcomes.fail("store-history-lost", "5"),
        outcomes.succeed({ revision: 9, records: [record("main", 9)] }),
    ]);
    assert.deepEqual(calls, ["list", "watch 5", "list", "watch 9"]);
    assert.deepEqual(seen, [5, 9]);
});

testing.test("guards against a watch that ends with an outage, or hangs beyond it, and goes on from where it was", async () => {
    const { calls, watch } = await play([
        outcomes.succeed({ revision: 5, records: [record("main", 5)] }),
        outcomes.fail("store-unavailable", "timeout"),
        outcomes.fail("store-unavailable", "status 503"),
        outcomes.succeed({ revision: 8, changes: [{ record: record("main", 8), isDeleted: false }] }),
    ]);
    assert.deepEqual(calls, ["list", "watch 5", "watch 5 short", "watch 5 short", "watch 8"]);
    assert.equal(watch.isConnected, true);
});

testing.test("guards against a peer's older copy that replaces the own one", async () => {
    const { watch, seen } = await play([outcomes.succeed({ revision: 5, records: [record("main", 5)] })]);
    watch.adopt({ revision: 4, records: [] }, "peer");
    assert.equal(watch.copy.records(0).length, 1);
    watch.adopt({ revision: 7, records: [record("main", 7)] }, "peer");
    assert.deepEqual(seen, [5, 7]);
});
