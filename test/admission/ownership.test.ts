/** Rules of budget ownership that only a rare sequence of events can violate; each test runs one such sequence. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as bucketTables from "../../src/admission/bucket-table.js";
import type * as messages from "../../src/admission/messages.js";
import * as ownerships from "../../src/admission/ownership.js";
import type * as types from "../../src/admission/types.js";

const rates = new Map([["c", { requestsPerSecond: 100, burst: 30 }]]);
const primary = { address: "primary", boot: "1" };
const standby = { address: "standby", boot: "1" };
const other = { address: "other", boot: "1" };
const record: types.HolderRecord = { group: 0, epoch: 1, primary, standby };

function createOwnership(
    self: types.HolderRecord["primary"],
    next: types.HolderRecord["primary"] | undefined,
): ownerships.Ownership {
    return new ownerships.Ownership(0, self, { nextStandby: () => next, takeoverRank: () => 5 }, rates);
}

/** A primary in epoch 1 and its standby, which has confirmed renewals at the given times. */
function createPair(confirmations: readonly number[]) {
    const first = createOwnership(primary, other);
    const second = createOwnership(standby, other);
    first.adopt(record, 0);
    second.adopt(record, 0);
    for (const time of confirmations) {
        deliverRenewals(first, second, first.tick(time), time);
    }
    return { first, second };
}

/** Delivers renewals and their replies without delay until there are none left. */
function deliverRenewals(
    from: ownerships.Ownership,
    to: ownerships.Ownership,
    actions: readonly messages.Action[],
    now: number,
): void {
    for (const action of actions) {
        if (action.kind === "send-renewal") {
            const { reply } = to.receiveRenewal(action.renewal, now);
            deliverRenewals(
                from,
                to,
                from.renewalFinished(action.renewal.epoch, action.renewal.sequence, reply, now),
                now,
            );
        }
    }
}

function writtenRecord(actions: readonly messages.Action[]): types.HolderRecord | undefined {
    return actions.find(action => action.kind === "write")?.record;
}

function grantedCount(ownership: ownerships.Ownership, now: number): number {
    const demands = [{ customer: "c", count: 1, waitedMs: 0 }];
    const replies = ownership.acquire(now, 1, demands, now).filter(action => action.kind === "reply");
    return replies.reduce(
        (sum, action) => sum + action.reply.grants.reduce((total, grant) => total + grant.count, 0),
        0,
    );
}

testing.test("ownership: a primary grants nothing after its lease has ended", () => {
    const { first } = createPair([0, 200, 400]);
    assert.equal(first.mayGrant(1399), true);
    assert.equal(first.mayGrant(1400), false);
    assert.equal(grantedCount(first, 1400), 0);
});

testing.test("ownership: no takeover without the store once the primary may have replaced the standby", () => {
    const prompt = createPair([0, 200, 400]).second;
    prompt.provedDead(primary, 1100);
    assert.equal(prompt.mayGrant(1100), true);
    const paused = createPair([0, 200, 400]).second;
    const actions = paused.provedDead(primary, 1450);
    assert.equal(paused.mayGrant(1450), false);
    assert.equal(writtenRecord(actions)?.epoch, 2, "the takeover needs the store");
});

testing.test("ownership: a standby is not replaced while it may still take over without the store", () => {
    const { first } = createPair([0, 200, 400]);
    assert.equal(writtenRecord(first.tick(1449)), undefined);
    assert.deepEqual(writtenRecord(first.tick(1450)), { group: 0, epoch: 2, primary, standby: other });
});

testing.test("ownership: a standby grants no lease while its takeover may take effect", () => {
    const { first, second } = createPair([0, 200]);
    const renewals = first.tick(1249);
    const takeover = writtenRecord(second.tick(1250))!;
    assert.deepEqual(takeover.primary, standby);
    deliverRenewals(first, second, renewals, 1251);
    assert.equal(first.mayGrant(1251), false);
    second.writeFinished(takeover, { kind: "recorded" }, 1260);
    assert.equal(second.mayGrant(1260), true);
});

testing.test("ownership: a write with an unknown outcome does not count as failed", () => {
    const { first, second } = createPair([0, 200]);
    const [{ renewal }] = first.tick(1249).filter(action => action.kind === "send-renewal");
    const takeover = writtenRecord(second.tick(1250))!;
    second.writeFinished(takeover, { kind: "unconfirmed" }, 1260);
    assert.equal(second.receiveRenewal(renewal, 1270).reply.granted, false, "the standby grants no lease");
    assert.deepEqual(writtenRecord(second.tick(1500)), takeover, "the same change is repeated");
    second.writeFinished(takeover, { kind: "unavailable" }, 1510);
    const later = { ...renewal, sequence: renewal.sequence + 1 };
    assert.equal(
        second.receiveRenewal(later, 1520).reply.granted,
        false,
        "a definite failure of the retry does not determine the outcome of the first attempt",
    );
});

testing.test("ownership: a standby without an acknowledged reply takes over only through the store", () => {
    const first = createOwnership(primary, other);
    const second = createOwnership(standby, other);
    second.adopt(record, 0);
    const [renewal] = first.adopt(record, 0).filter(action => action.kind === "send-renewal");
    second.receiveRenewal(renewal.renewal, 1);
    // The reply is lost, so the primary grants without a lease.
    assert.equal(first.mayGrant(1100), true);
    assert.equal(writtenRecord(second.tick(1100)), undefined);
    const takeover = writtenRecord(second.provedDead(primary, 1200))!;
    assert.equal(second.mayGrant(1200), false);
    second.writeFinished(takeover, { kind: "recorded" }, 1210);
    assert.equal(second.mayGrant(1210), true);
    assert.equal(grantedCount(second, 1210), 0, "the buckets start empty");
});

testing.test("ownership: tokens are not refilled twice after a takeover", () => {
    // The bucket was full and the primary granted its reservation late, so 20 - 8 tokens are left, not 20.
    const levels = [{ customer: "c", level: 20, reservation: 8 }];
    const table = bucketTables.BucketTable.fromReplica(rates, { levels, receivedAt: 0 }, 1000);
    assert.equal(table.available("c", 1000), 12);
});

testing.test("ownership: no grants after a handover, and the handover is final", () => {
    const { first, second } = createPair([0, 200]);
    const [handover] = first.drain(300).filter(action => action.kind === "send-renewal");
    assert.equal(handover.renewal.handover, true);
    assert.equal(first.mayGrant(300), false);
    first.renewalFinished(1, handover.renewal.sequence - 1, { granted: true, epoch: 1, sequence: 2 }, 301);
    assert.equal(first.roleName, "primary", "the reply to an earlier renewal does not confirm the handover");
    deliverRenewals(first, second, [handover], 302);
    assert.equal(second.mayGrant(302), true);
    assert.equal(first.roleName, "none");
    first.adopt(record, 310);
    assert.equal(first.mayGrant(310), false, "no grants although the store still names this process as primary");
    assert.equal(first.roleName, "none", "the old record does not make it primary again");
    const [refusal] = first.acquire(1, 1, [{ customer: "c", count: 1, waitedMs: 0 }], 310);
    assert.equal(
        refusal.kind === "reply" && refusal.reply.primaryAddress,
        "standby",
        "entries are redirected to the new primary",
    );
});

testing.test("ownership: a silent standby is not replaced after a handover that may arrive late", () => {
    const { first, second } = createPair([0, 200]);
    const [handover] = first.drain(300).filter(action => action.kind === "send-renewal");
    for (let now = 400; now <= 6000; now += 200) {
        assert.equal(writtenRecord(first.tick(now)), undefined, `replaced at ${now} ms`);
        assert.equal(first.mayGrant(now), false);
    }
    deliverRenewals(first, second, [handover], 6000);
    assert.equal(second.mayGrant(6000), true, "a late handover still takes effect");
});

testing.test("ownership: a restarted process does not inherit the role of its previous incarnation", () => {
    const { first } = createPair([0, 200]);
    const restarted = createOwnership({ address: "standby", boot: "2" }, other);
    restarted.adopt(record, 300);
    const [renewal] = first.tick(400).filter(action => action.kind === "send-renewal");
    assert.equal(restarted.receiveRenewal(renewal.renewal, 400).reply.granted, false);
    first.provedDead(standby, 450);
    assert.equal(first.mayGrant(5000), true, "the primary grants without a lease once the standby is proved dead");
});
