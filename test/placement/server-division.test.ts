/** Guards against divisions that starve a kind of prompts, move servers for nothing, or differ between entries. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as division from "../../src/placement/server-division.js";

const DEMAND = { short: { busyServers: 2, calls: 40 }, long: { busyServers: 6, calls: 20 } };
const INPUT: division.DivisionInput = {
    servers: 36,
    slots: 48,
    demand: DEMAND,
    urgentKind: "short",
    shortServers: undefined,
};
const SERVERS = Array.from({ length: 36 }, (_, index) => ({ id: `i-${index}`, dataCentre: `centre-${index % 4}` }));

testing.test("steady load: short prompts get the servers that they need, long ones the others", () => {
    assert.equal(division.shortServers(INPUT), 4);
    const manyStreams = { ...DEMAND, short: { busyServers: 2, calls: 240 } };
    assert.equal(division.shortServers({ ...INPUT, demand: manyStreams }), 10);
});

testing.test("only one kind of call: both kinds share the servers", () => {
    for (const kind of ["short", "long"] as const) {
        const demand = { ...DEMAND, [kind]: { busyServers: 0.01, calls: 0 } };
        assert.equal(division.shortServers({ ...INPUT, demand, shortServers: 4 }), undefined);
    }
});

testing.test("all servers gone but a few: both kinds share them", () => {
    assert.equal(division.shortServers({ ...INPUT, servers: 3, shortServers: 4 }), undefined);
    assert.equal(division.shortServers({ ...INPUT, servers: 0 }), undefined);
});

testing.test("small changes of load: the groups keep their sizes", () => {
    const shortServers = 8;
    const sizes = [3.4, 3.8, 4.2, 4.6].map(busyServers => {
        return division.shortServers({
            ...INPUT,
            shortServers,
            demand: { ...DEMAND, short: { busyServers, calls: 40 } },
        });
    });
    assert.deepEqual(sizes, [8, 8, 8, 8]);
    const doubled = { ...DEMAND, short: { busyServers: 8, calls: 80 } };
    assert.equal(division.shortServers({ ...INPUT, shortServers, demand: doubled }), 16);
});

testing.test("too few servers for both: the more urgent kind gets what it needs, the other keeps a quarter", () => {
    const demand = { short: { busyServers: 4, calls: 0 }, long: { busyServers: 20, calls: 0 } };
    assert.equal(division.shortServers({ ...INPUT, servers: 16, demand }), 8);
    assert.equal(division.shortServers({ ...INPUT, servers: 16, demand, urgentKind: "long" }), 4);
    assert.equal(division.shortServers({ ...INPUT, servers: 16, demand, urgentKind: undefined }), 3);
    const manyShort = { short: { busyServers: 20, calls: 0 }, long: { busyServers: 4, calls: 0 } };
    assert.equal(division.shortServers({ ...INPUT, servers: 16, demand: manyShort }), 12);
});

testing.test("each kind keeps a server at any demand", () => {
    for (const servers of [4, 5, 9, 36]) {
        for (const busyServers of [0.06, 1, 10, 1000]) {
            for (const urgentKind of ["short", "long", undefined] as const) {
                const demand = { ...DEMAND, short: { busyServers, calls: 1 } };
                const count = division.shortServers({ ...INPUT, servers, demand, urgentKind })!;
                assert.ok(count >= 1 && count <= servers - 1, `${count} of ${servers}`);
            }
        }
    }
});

testing.test("all entries order the servers alike, with each data centre in turn", () => {
    const order = division.orderServers(SERVERS);
    assert.deepEqual(division.orderServers(SERVERS.toReversed()), order);
    assert.equal(new Set(order).size, SERVERS.length);
    for (let start = 0; start < SERVERS.length; start += 4) {
        const centres = order.slice(start, start + 4).map(({ dataCentre }) => dataCentre);
        assert.equal(new Set(centres).size, 4);
    }
});

testing.test("a server leaves: few others change groups", () => {
    const count = 8;
    const before = division.splitServers(division.orderServers(SERVERS), count, new Set()).short;
    for (const { id } of SERVERS) {
        const others = division.orderServers(SERVERS.filter(server => server.id !== id));
        const after = division.splitServers(others, count, new Set()).short;
        const moved = others.filter(server => before.has(server.id) !== after.has(server.id));
        assert.ok(moved.length <= 3, `${moved.length} moved without ${id}`);
    }
});

testing.test("servers for short prompts crash: the next ones in order stand in for them, and the others keep their group", () => {
    const order = division.orderServers(SERVERS);
    const suspected = new Set(order.slice(0, 2).map(({ id }) => id));
    const { short, long } = division.splitServers(order, 4, suspected);
    assert.deepEqual([...short], order.slice(0, 6).map(({ id }) => id));
    assert.deepEqual([...long], order.slice(6).map(({ id }) => id));
});
