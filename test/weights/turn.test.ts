/** Guards against too many servers that move at once, and against servers that are passed over by versions in a row. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as turns from "../../src/weights/turn.js";

const SERVERS = Array.from({ length: 9 }, (_, index) => `10.0.0.${index}:8000`);
/** Time in milliseconds that a move takes: running streams end, then the weights load. */
const MOVE_MS = 2000;
const STEP_MS = 100;

interface Simulated {
    readonly address: string;
    readonly version: number;
    readonly movingTo: number | undefined;
    readonly doneAt: number;
}

/** Plays versions that are named at given times; returns the largest number of servers that moved together. */
function play(namings: readonly number[], endMs: number) {
    let servers: readonly Simulated[] = SERVERS.map(address => ({
        address,
        version: 1,
        movingTo: undefined,
        doneAt: 0,
    }));
    let most = 0;
    let longestOutdated = 0;
    for (let now = 0; now < endMs; now += STEP_MS) {
        const newest = 1 + namings.filter(at => at <= now).length;
        servers = servers.map(server => {
            if (server.movingTo !== undefined && now >= server.doneAt) {
                return { ...server, version: server.movingTo, movingTo: undefined };
            }
            return server;
        });
        for (const [index, server] of servers.entries()) {
            const since = namings[server.version - 1];
            const outdatedForMs = since === undefined || since > now ? 0 : now - since;
            longestOutdated = Math.max(longestOutdated, outdatedForMs);
            const standings = servers.map(({ address, version, movingTo }) => {
                return { address, version, isMoving: movingTo !== undefined };
            });
            const isIdle = server.movingTo === undefined && server.version < newest;
            const others = standings.filter((_, other) => other !== index);
            if (isIdle && turns.turnOf(standings[index]!, newest, outdatedForMs, others) === "now") {
                servers = servers.with(index, { ...server, movingTo: newest, doneAt: now + MOVE_MS });
            }
        }
        most = Math.max(most, servers.filter(server => server.movingTo !== undefined).length);
    }
    return { most, longestOutdated, versions: servers.map(server => server.version) };
}

testing.test("guards against most servers moving together, which leaves nobody to serve", () => {
    const result = play([0], 9000);
    assert.ok(result.most <= 3, `${result.most} moved together`);
    assert.deepEqual(new Set(result.versions), new Set([2]));
});

testing.test("guards against a server that stays on old weights for 8 s while versions follow each other", () => {
    const result = play([0, 3200, 6400, 9600], 20_000);
    assert.ok(result.longestOutdated < 8000, `${result.longestOutdated} ms`);
    assert.deepEqual(new Set(result.versions), new Set([5]));
});

testing.test("guards against a server that waits without end for neighbours that are never done", () => {
    const stuck = SERVERS.slice(1).map(address => ({ address, version: 1, isMoving: true }));
    const self = { address: SERVERS[0]!, version: 1, isMoving: false };
    assert.notEqual(turns.turnOf(self, 2, 100, stuck), "now");
    assert.equal(turns.turnOf(self, 2, 4800, stuck), "next");
    assert.equal(turns.turnOf(self, 2, 5500, stuck), "now");
});

testing.test("a server without neighbours moves at once", () => {
    assert.equal(turns.turnOf({ address: SERVERS[0]!, version: 1, isMoving: false }, 2, 0, []), "now");
});

testing.test("guards against most servers winding down together, which leaves nobody to run long answers", () => {
    const standings = SERVERS.map(address => ({ address, version: 1, isMoving: false }));
    const all = standings.map(self => turns.turnOf(self, 2, 0, standings.filter(other => other !== self)));
    assert.deepEqual(all.toSorted(), [...Array(3).fill("later"), ...Array(3).fill("next"), ...Array(3).fill("now")]);
});
