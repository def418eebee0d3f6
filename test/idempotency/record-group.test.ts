/** Guards against record transitions that lose a claim, a result or an exclusion, and against groups that grow. */
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

testing.test("record group: a settlement never touches the claim of another agent", () => {
    const { group } = records.claim(records.emptyGroup, "r", "body", claimOf("new"), 0);
    const settled = records.settle(group, "r", "old", { state: "not-run" }, 0);
    assert.equal(settled.group, group);
    assert.equal(settled.result.applied, false);
    assert.equal(records.complete(group, "r", claimOf("old"), "body", response(1), 0).result.applied, false);
});

testing.test("record group: the holder of a claim corrects a settlement, so that no result is lost", () => {
    const { group } = records.claim(records.emptyGroup, "r", "body", claimOf("c"), 0);
    const settled = records.settle(group, "r", "c", { state: "not-run" }, 0).group;
    assert.equal(records.complete(settled, "r", claimOf("c"), "body", response(1), 0).result.record?.state, "done");
});

testing.test("record group: a release excludes the late attempts of its request and no newer ones", () => {
    const other = records.release(records.emptyGroup, "r", claimOf("a", "first", 1), "body", 0).group;
    const { group } = records.release(other, "r", claimOf("b", "second", 0), "body", 0);
    const kindOf = (wanted: types.Claim) => records.claim(group, "r", "body", wanted, 0).result.kind;
    assert.equal(kindOf(claimOf("c", "first", 0)), "superseded");
    assert.equal(kindOf(claimOf("c", "second", 0)), "superseded");
    assert.equal(kindOf(claimOf("c", "first", 2)), "claimed");
    assert.equal(kindOf(claimOf("c", "third", 0)), "claimed");
});

testing.test("record group: every admitted claim has room for its result below the limit of the object API", () => {
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
        // The first half ends with the largest stored response, the rest stays claimed until the group is full.
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

testing.test("record group: results are kept for 24 hours and then removed", () => {
    const { group } = records.claim(records.emptyGroup, "r", "body", claimOf("c"), 0);
    const done = records.complete(group, "r", claimOf("c"), "body", response(1), 0).group;
    assert.equal(records.prune(done, records.RETENTION_MS - 1), done);
    assert.equal(records.prune(done, records.RETENTION_MS).records.size, 0);
});

testing.test("record group: the stored form is read back unchanged, anything else is refused", () => {
    const claimed = records.claim(records.emptyGroup, "r", "body", claimOf("c"), 5).group;
    const { group } = records.complete(claimed, "r", claimOf("c"), "body", response(20), 6);
    assert.deepEqual(codec.decode("g", codec.encode(group)), { ok: true, value: group });
    for (const text of ["", "{}", '{"records":{"r":{"state":"other"}}}']) {
        assert.equal(codec.decode("g", text).ok, false);
    }
});

testing.test("settlement: a paused holder may still start, and a started call may still run", () => {
    const { group } = records.claim(records.emptyGroup, "r", "body", claimOf("c"), 0);
    const claimed = group.records.get("r") as types.CallRecord;
    const unknown = records.markUnknown(group, "r", claimOf("c"), 0).group.records.get("r") as types.CallRecord;
    const seen = { firstSeenAt: 1000, deadSince: 5000 };
    assert.equal(settlement.settleAt(claimed, { ...seen, deadSince: undefined }, SETTLE_AFTER_MS), undefined);
    assert.equal(settlement.settleAt(claimed, seen, SETTLE_AFTER_MS), 1000 + 63_000 + SETTLE_AFTER_MS);
    const late = settlement.settleAt(claimed, { ...seen, deadSince: 90_000 }, SETTLE_AFTER_MS);
    assert.equal(late, 90_000 + SETTLE_AFTER_MS);
    assert.equal(settlement.settleAt(unknown, { ...seen, deadSince: undefined }, SETTLE_AFTER_MS), 31_000);
});

testing.test("settlement: an answer to a question asked too early proves nothing", () => {
    assert.deepEqual(settlement.conclude({ kind: "absent" }, 99, 100), { kind: "open" });
    assert.deepEqual(settlement.conclude({ kind: "absent" }, 100, 100), { kind: "not-run" });
    assert.deepEqual(settlement.conclude({ kind: "absent" }, 100, undefined), { kind: "open" });
    assert.deepEqual(settlement.conclude({ kind: "no-answer", detail: "" }, 100, 0), { kind: "open" });
});
