/** Guards against transitions that lose a claim, a response or an exclusion, and against groups that grow too large. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as codec from "../../src/idempotency/group-codec.js";
import * as records from "../../src/idempotency/record-group.js";
import * as settlement from "../../src/idempotency/settlement.js";
import type * as types from "../../src/idempotency/types.js";

const SETTLE_AFTER_MS = 30_000;

function claimOf(id: string, requestId = "request", attempt = 0): types.Claim {
    return { id, incarnation: { address: "10.0.0.1:1", boot: "b" }, requestId, attempt, runWithinMs: 60_000 };
}

function response(bytes: number): types.StoredResponse {
    return records.storedResponse({ status: 201, headers: {}, body: Buffer.alloc(bytes, "x") });
}

testing.test("record group: a settlement never changes a record of another claim", () => {
    const { group } = records.claim(records.emptyGroup, "r", "body", claimOf("new"), 0);
    const settled = records.settle(group, "r", "old", { state: "not-run" }, 0);
    assert.equal(settled.group, group);
    assert.equal(settled.result.applied, false);
    assert.equal(records.complete(group, "r", claimOf("old"), "body", response(1), 0).result.applied, false);
});

testing.test("record group: the claim holder replaces a settled state by its response", () => {
    const { group } = records.claim(records.emptyGroup, "r", "body", claimOf("c"), 0);
    const settled = records.settle(group, "r", "c", { state: "not-run" }, 0).group;
    assert.equal(records.complete(settled, "r", claimOf("c"), "body", response(1), 0).result.record?.state, "done");
});

testing.test("record group: a release excludes late attempts of its request, but no newer attempts or requests", () => {
    const firstReleased = records.release(records.emptyGroup, "r", claimOf("a", "first", 1), "body", 0).group;
    const { group } = records.release(firstReleased, "r", claimOf("b", "second", 0), "body", 0);
    const kindOf = (claim: types.Claim) => records.claim(group, "r", "body", claim, 0).result.kind;
    assert.equal(kindOf(claimOf("c", "first", 0)), "superseded");
    assert.equal(kindOf(claimOf("c", "second", 0)), "superseded");
    assert.equal(kindOf(claimOf("c", "first", 2)), "claimed");
    assert.equal(kindOf(claimOf("c", "third", 0)), "claimed");
});

testing.test("record group: the response of every admitted claim fits below the size limit of the object API", () => {
    let group = records.emptyGroup;
    let admitted = 0;
    for (let index = 0;; index++) {
        const claim = claimOf(`claim-${index}`, `request-${index}`);
        const change = records.claim(group, `record-${index}`, "body", claim, 0);
        if (change.result.kind === "full") {
            break;
        }
        admitted++;
        group = change.group;
        // The first 30 calls store a large response; the others stay claimed until the group is full.
        if (index < 30) {
            group = records.complete(group, `record-${index}`, claim, "body", response(16_000), 0).group;
        }
    }
    for (const [id, record] of group.records) {
        group = records.complete(group, id, record.claim, "body", response(16_000), 0).group;
    }
    assert.ok(admitted > 100, `${admitted} claims`);
    assert.ok(codec.encode(group).length < 1024 * 1024);
    assert.ok([...group.records.values()].every(record => record.state === "done"));
});

testing.test("record group: responses are removed after 24 hours", () => {
    const { group } = records.claim(records.emptyGroup, "r", "body", claimOf("c"), 0);
    const done = records.complete(group, "r", claimOf("c"), "body", response(1), 0).group;
    assert.equal(records.prune(done, records.RETENTION_MS - 1), done);
    assert.equal(records.prune(done, records.RETENTION_MS).records.size, 0);
});

testing.test("record group: an encoded group is decoded unchanged, and invalid text is refused", () => {
    const claimed = records.claim(records.emptyGroup, "r", "body", claimOf("c"), 5).group;
    const { group } = records.complete(claimed, "r", claimOf("c"), "body", response(20), 6);
    assert.deepEqual(codec.decode("g", codec.encode(group)), { ok: true, value: group });
    for (const text of ["", "{}", '{"records":{"r":{"state":"other"}}}']) {
        assert.equal(codec.decode("g", text).ok, false);
    }
});

testing.test("settlement: waits for a paused holder that may start and for a started call", () => {
    const { group } = records.claim(records.emptyGroup, "r", "body", claimOf("c"), 0);
    const claimed = group.records.get("r") as types.CallRecord;
    const unknown = records.markUnknown(group, "r", claimOf("c"), 0).group.records.get("r") as types.CallRecord;
    const observation = { firstSeenAt: 1000, deadSince: 5000 };
    assert.equal(
        settlement.earliestSettlement(claimed, { ...observation, deadSince: undefined }, SETTLE_AFTER_MS),
        undefined,
    );
    assert.equal(settlement.earliestSettlement(claimed, observation, SETTLE_AFTER_MS), 1000 + 63_000 + SETTLE_AFTER_MS);
    const afterLateDeath = settlement.earliestSettlement(
        claimed,
        { ...observation, deadSince: 90_000 },
        SETTLE_AFTER_MS,
    );
    assert.equal(afterLateDeath, 90_000 + SETTLE_AFTER_MS);
    assert.equal(
        settlement.earliestSettlement(unknown, { ...observation, deadSince: undefined }, SETTLE_AFTER_MS),
        31_000,
    );
});

testing.test("settlement: a lookup that was sent too early does not settle the call", () => {
    assert.deepEqual(settlement.conclude({ kind: "absent" }, 99, 100), { kind: "unsettled" });
    assert.deepEqual(settlement.conclude({ kind: "absent" }, 100, 100), { kind: "not-run" });
    assert.deepEqual(settlement.conclude({ kind: "absent" }, 100, undefined), { kind: "unsettled" });
    assert.deepEqual(settlement.conclude({ kind: "no-answer", detail: "" }, 100, 0), { kind: "unsettled" });
});
