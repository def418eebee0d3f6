/** Rules of the budget ownership whose breach needs a rare sequence of events, one sequence each. */
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
const record: types.Holder = { group: 0, epoch: 1, primary, standby };

function owner(self: types.Holder["primary"], next: types.Holder["primary"] | undefined): ownerships.Ownership {
    return new ownerships.Ownership(0, self, { standby: () => next, position: () => 5 }, rates);
}

/** A primary in epoch 1 whose standby confirmed at the given times, and that standby. */
function pair(confirmations: readonly number[]) {
    const first = owner(primary, other);
    const second = owner(standby, other);
    first.adopt(record, 0);
    second.adopt(record, 0);
    for (const time of confirmations) {
        exchange(first, second, first.tick(time), time);
    }
    return { first, second };
}

/** Delivers renewals and their replies without delay until none is left. */
function exchange(
    from: ownerships.Ownership,
    to: ownerships.Ownership,
    actions: readonly messages.Action[],
    now: number,
): void {
    for (const action of actions) {
        if (action.kind === "send-renewal") {
            const { reply } = to.renewal(action.renewal, now);
            exchange(from, to, from.renewalFinished(action.renewal.epoch, action.renewal.sequence, reply, now), now);
        }
    }
}

function written(actions: readonly messages.Action[]): types.Holder | undefined {
    return actions.find(action => action.kind === "write")?.holder;
}

function granted(holder: ownerships.Ownership, now: number): number {
    const demands = [{ customer: "c", count: 1, waitedMs: 0 }];
    const replies = holder.acquire(now, 1, demands, now).filter(action => action.kind === "reply");
    return replies.reduce(
        (sum, action) => sum + action.reply.grants.reduce((total, grant) => total + grant.count, 0),
        0,
    );
}

testing.test("ownership: guards against grants of a primary after its lease", () => {
    const { first } = pair([0, 200, 400]);
    assert.equal(first.mayGrant(1399), true);
    assert.equal(first.mayGrant(1400), false);
    assert.equal(granted(first, 1400), 0);
});

testing.test("ownership: guards against a takeover by proof after the primary may have replaced this standby", () => {
    const prompt = pair([0, 200, 400]).second;
    prompt.proved(primary, 1100);
    assert.equal(prompt.mayGrant(1100), true);
    const paused = pair([0, 200, 400]).second;
    const actions = paused.proved(primary, 1450);
    assert.equal(paused.mayGrant(1450), false);
    assert.equal(written(actions)?.epoch, 2, "it needs the store");
});

testing.test("ownership: guards against a replacement of the standby while that may still take over by proof", () => {
    const { first } = pair([0, 200, 400]);
    assert.equal(written(first.tick(1449)), undefined);
    assert.deepEqual(written(first.tick(1450)), { group: 0, epoch: 2, primary, standby: other });
});

testing.test("ownership: guards against a lease granted while a takeover may take effect", () => {
    const { first, second } = pair([0, 200]);
    const renewals = first.tick(1249);
    const takeover = written(second.tick(1250))!;
    assert.deepEqual(takeover.primary, standby);
    exchange(first, second, renewals, 1251);
    assert.equal(first.mayGrant(1251), false);
    second.writeFinished(takeover, { kind: "recorded" }, 1260);
    assert.equal(second.mayGrant(1260), true);
});

testing.test("ownership: guards against a write in doubt that counts as failed", () => {
    const { first, second } = pair([0, 200]);
    const [{ renewal }] = first.tick(1249).filter(action => action.kind === "send-renewal");
    const takeover = written(second.tick(1250))!;
    second.writeFinished(takeover, { kind: "unconfirmed" }, 1260);
    assert.equal(second.renewal(renewal, 1270).reply.granted, false, "the standby grants no lease");
    assert.deepEqual(written(second.tick(1500)), takeover, "the same change is repeated");
    second.writeFinished(takeover, { kind: "unavailable" }, 1510);
    const later = { ...renewal, sequence: renewal.sequence + 1 };
    assert.equal(second.renewal(later, 1520).reply.granted, false, "a definite failure does not settle the first try");
});

testing.test("ownership: guards against a takeover by a standby that the primary does not rely on yet", () => {
    const first = owner(primary, other);
    const second = owner(standby, other);
    second.adopt(record, 0);
    const [renewal] = first.adopt(record, 0).filter(action => action.kind === "send-renewal");
    second.renewal(renewal.renewal, 1);
    // The reply is lost, so the primary grants alone.
    assert.equal(first.mayGrant(1100), true);
    assert.equal(written(second.tick(1100)), undefined);
    const takeover = written(second.proved(primary, 1200))!;
    assert.equal(second.mayGrant(1200), false);
    second.writeFinished(takeover, { kind: "recorded" }, 1210);
    assert.equal(second.mayGrant(1210), true);
    assert.equal(granted(second, 1210), 0, "the buckets start empty");
});

testing.test("ownership: guards against tokens that are refilled twice after a takeover", () => {
    // The bucket was full, then the primary granted its reservation late: 20 - 8 are left, not 20.
    const levels = [{ customer: "c", level: 20, reservation: 8 }];
    const table = bucketTables.BucketTable.fromReplica(rates, { levels, receivedAt: 0 }, 1000);
    assert.equal(table.available("c", 1000), 12);
});

testing.test("ownership: guards against grants after a handover, and against a handover that is undone", () => {
    const { first, second } = pair([0, 200]);
    const [handover] = first.drain(300).filter(action => action.kind === "send-renewal");
    assert.equal(handover.renewal.handover, true);
    assert.equal(first.mayGrant(300), false);
    first.renewalFinished(1, handover.renewal.sequence - 1, { granted: true, epoch: 1, sequence: 2 }, 301);
    assert.equal(first.roleName, "primary", "the reply to an earlier renewal confirms nothing");
    exchange(first, second, [handover], 302);
    assert.equal(second.mayGrant(302), true);
    assert.equal(first.roleName, "none");
    first.adopt(record, 310);
    assert.equal(first.mayGrant(310), false, "the store still names the former primary");
    assert.equal(first.roleName, "none", "the former record does not make it the primary again");
    const [refusal] = first.acquire(1, 1, [{ customer: "c", count: 1, waitedMs: 0 }], 310);
    assert.equal(refusal.kind === "reply" && refusal.reply.primaryAddress, "standby", "entries learn the successor");
});

testing.test("ownership: guards against the replacement of a silent standby that a late handover makes the holder", () => {
    const { first, second } = pair([0, 200]);
    const [handover] = first.drain(300).filter(action => action.kind === "send-renewal");
    for (let now = 400; now <= 6000; now += 200) {
        assert.equal(written(first.tick(now)), undefined, `replaced at ${now} ms`);
        assert.equal(first.mayGrant(now), false);
    }
    exchange(first, second, [handover], 6000);
    assert.equal(second.mayGrant(6000), true, "the handover that arrives late still takes effect");
});

testing.test("ownership: guards against a restarted process that takes the place of its former incarnation", () => {
    const { first } = pair([0, 200]);
    const restarted = owner({ address: "standby", boot: "2" }, other);
    restarted.adopt(record, 300);
    const [renewal] = first.tick(400).filter(action => action.kind === "send-renewal");
    assert.equal(restarted.renewal(renewal.renewal, 400).reply.granted, false);
    first.proved(standby, 450);
    assert.equal(first.mayGrant(5000), true, "the primary continues alone with proof");
});
