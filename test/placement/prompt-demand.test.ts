/** Guards against demand that counts twice, outlives its calls, or is lost with a peer. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as promptDemands from "../../src/placement/prompt-demand.js";

const PEER_DEMAND = { service: "menu", short: { busyServers: 0.2, calls: 3 }, long: { busyServers: 0.5, calls: 1 } };

function isNear(actual: number, expected: number): boolean {
    return Math.abs(actual - expected) <= expected * 0.05;
}

testing.test("steady load: the prefill time of each kind becomes the number of servers that it keeps busy", () => {
    const demands = new promptDemands.PromptDemands(() => 1);
    for (let now = 0; now < 20_000; now += 100) {
        demands.place("menu", "short", 20, now)[Symbol.dispose]();
        demands.place("menu", "long", 150, now)[Symbol.dispose]();
    }
    const { short, long } = demands.total("menu", 20_000);
    assert.ok(isNear(short.busyServers, 0.2), String(short.busyServers));
    assert.ok(isNear(long.busyServers, 1.5), String(long.busyServers));
    assert.equal(demands.total("note", 20_000).short.busyServers, 0);
    assert.ok(demands.total("menu", 50_000).long.busyServers < 0.001);
});

testing.test("calls count while they are in flight, and once", () => {
    const demands = new promptDemands.PromptDemands(() => 1);
    const call = demands.place("menu", "long", 100, 0);
    demands.place("menu", "long", 100, 0);
    assert.equal(demands.total("menu", 0).long.calls, 2);
    call[Symbol.dispose]();
    call[Symbol.dispose]();
    assert.equal(demands.total("menu", 0).long.calls, 1);
    assert.equal(demands.total("menu", 0).short.calls, 0);
});

testing.test("entries sum what their peers report; the latest report replaces earlier ones", () => {
    const demands = new promptDemands.PromptDemands(() => 3);
    demands.applyPeer("a", [PEER_DEMAND], 0);
    demands.applyPeer("a", [PEER_DEMAND], 100);
    demands.applyPeer("b", [PEER_DEMAND], 100);
    const { short, long } = demands.total("menu", 100);
    assert.deepEqual(short, { busyServers: 0.4, calls: 6 });
    assert.deepEqual(long, { busyServers: 1, calls: 2 });
});

testing.test("an entry fails: its demand counts for two seconds, then as the mean of the others", () => {
    const demands = new promptDemands.PromptDemands(() => 4);
    demands.applyPeer("a", [PEER_DEMAND], 0);
    demands.applyPeer("b", [PEER_DEMAND], 0);
    demands.applyPeer("c", [PEER_DEMAND], 0);
    assert.ok(isNear(demands.total("menu", 1900).long.busyServers, 1.5));
    demands.applyPeer("a", [PEER_DEMAND], 2500);
    // Two of four entries are known: this one, without calls, and `a`.
    assert.ok(isNear(demands.total("menu", 2500).long.busyServers, 1));
});

testing.test("what an entry reports is what it counts itself", () => {
    const demands = new promptDemands.PromptDemands(() => 1);
    demands.place("menu", "short", 100, 0);
    const [report] = demands.snapshot(0);
    const receiver = new promptDemands.PromptDemands(() => 1);
    receiver.applyPeer("a", [report!], 0);
    assert.ok(isNear(receiver.total("menu", 0).short.busyServers, demands.total("menu", 0).short.busyServers));
    assert.equal(receiver.total("menu", 0).short.calls, 1);
});
