/** Guards against statements of servers that are forgotten while they still hold. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as fleet from "../../src/fleet/types.js";
import * as notices from "../../src/placement/server-notices.js";

function server(id: string, startedAt: number | undefined): fleet.BackendServer {
    return {
        id,
        startedAt,
        service: "menu",
        address: "10.0.0.9:8000",
        dataCentre: "one",
        slots: 8,
        state: "ready",
        softwareVersion: undefined,
        weights: new Map(),
    };
}

testing.test("guards against using a leaving server again since its record was missing for a time", () => {
    const known = new notices.ServerNotices();
    known.recordLeaving(server("a", 1000));
    known.recordPause(server("a", 1000), 60_000, 0);
    known.retain(new Set());
    assert.equal(known.isLeaving(server("a", 1000)), true);
    assert.equal(known.remainingPauseMs(server("a", 1000), 0), 60_000);
    assert.equal(known.isLeaving(server("a", 2000)), false, "its next run takes calls");
});

testing.test("guards against using a leaving server again since its record has lost the time of its start", () => {
    const known = new notices.ServerNotices();
    known.recordLeaving(server("a", 1000));
    assert.equal(known.isLeaving(server("a", undefined)), true);
    known.recordPause(server("a", undefined), 60_000, 0);
    assert.equal(known.isLeaving(server("a", 1000)), true);
    assert.equal(known.isLeaving(server("a", 2000)), false, "its next run takes calls");
    known.recordLeaving(server("b", undefined));
    assert.equal(known.isLeaving(server("b", 1000)), true);
});

testing.test("guards against notices of servers that are gone without end", () => {
    const known = new notices.ServerNotices();
    for (let index = 0; index < 5000; index++) {
        known.recordLeaving(server(`server-${index}`, 1));
    }
    known.retain(new Set(["server-0"]));
    const kept = Array.from({ length: 5000 }, (_, index) => index)
        .filter(index => known.isLeaving(server(`server-${index}`, 1)));
    assert.ok(kept.length < 1500, `${kept.length} notices`);
    assert.ok(kept.includes(0), "listed servers keep theirs");
    assert.ok(kept.includes(4999), "the newest are kept");
});
