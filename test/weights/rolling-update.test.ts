/** Guards against too many servers updating at once, and against servers that are skipped by successive versions. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as rollingUpdates from "../../src/weights/rolling-update.js";

const SERVERS = Array.from({ length: 9 }, (_, index) => `10.0.0.${index}:8000`);
/** Duration of an update in milliseconds: running streams end, then the weights load. */
const UPDATE_MS = 2000;
const STEP_MS = 100;

interface SimulatedServer {
    readonly address: string;
    readonly version: number;
    readonly updatingTo: number | undefined;
    readonly doneAt: number;
}

/**
 * Simulates a rolling update with desired versions set at the given times. Returns the largest number of servers that
 * updated at once, the longest time on outdated weights and the final versions.
 */
function simulate(versionTimes: readonly number[], endMs: number) {
    let servers: readonly SimulatedServer[] = SERVERS.map(address => ({
        address,
        version: 1,
        updatingTo: undefined,
        doneAt: 0,
    }));
    let maximumUpdating = 0;
    let maximumOutdatedMs = 0;
    for (let now = 0; now < endMs; now += STEP_MS) {
        const newest = 1 + versionTimes.filter(at => at <= now).length;
        servers = servers.map(server => {
            if (server.updatingTo !== undefined && now >= server.doneAt) {
                return { ...server, version: server.updatingTo, updatingTo: undefined };
            }
            return server;
        });
        for (const [index, server] of servers.entries()) {
            const since = versionTimes[server.version - 1];
            const outdatedForMs = since === undefined || since > now ? 0 : now - since;
            maximumOutdatedMs = Math.max(maximumOutdatedMs, outdatedForMs);
            const statuses = servers.map(({ address, version, updatingTo }) => {
                return { address, version, isUpdatingWeights: updatingTo !== undefined };
            });
            const needsUpdate = server.updatingTo === undefined && server.version < newest;
            const others = statuses.filter((_, other) => other !== index);
            if (needsUpdate && rollingUpdates.updateTiming(statuses[index]!, newest, outdatedForMs, others) === "now") {
                servers = servers.with(index, { ...server, updatingTo: newest, doneAt: now + UPDATE_MS });
            }
        }
        maximumUpdating = Math.max(maximumUpdating, servers.filter(server => server.updatingTo !== undefined).length);
    }
    return { maximumUpdating, maximumOutdatedMs, versions: servers.map(server => server.version) };
}

testing.test("guards against most servers updating at once, which leaves too few to serve", () => {
    const result = simulate([0], 9000);
    assert.ok(result.maximumUpdating <= 3, `${result.maximumUpdating} servers updated at once`);
    assert.deepEqual(new Set(result.versions), new Set([2]));
});

testing.test("guards against a server that stays on outdated weights for 8 s during successive versions", () => {
    const result = simulate([0, 3200, 6400, 9600], 20_000);
    assert.ok(result.maximumOutdatedMs < 8000, `${result.maximumOutdatedMs} ms`);
    assert.deepEqual(new Set(result.versions), new Set([5]));
});

testing.test("guards against a server that waits forever for neighbours that never finish", () => {
    const stuck = SERVERS.slice(1).map(address => ({ address, version: 1, isUpdatingWeights: true }));
    const self = { address: SERVERS[0]!, version: 1, isUpdatingWeights: false };
    assert.notEqual(rollingUpdates.updateTiming(self, 2, 100, stuck), "now");
    assert.equal(rollingUpdates.updateTiming(self, 2, 4800, stuck), "next");
    assert.equal(rollingUpdates.updateTiming(self, 2, 5500, stuck), "now");
});

testing.test("a server without neighbours updates immediately", () => {
    assert.equal(
        rollingUpdates.updateTiming({ address: SERVERS[0]!, version: 1, isUpdatingWeights: false }, 2, 0, []),
        "now",
    );
});

testing.test("guards against pending updates of most servers at once, which leaves too few for long calls", () => {
    const statuses = SERVERS.map(address => ({ address, version: 1, isUpdatingWeights: false }));
    const all = statuses.map(self => rollingUpdates.updateTiming(self, 2, 0, statuses.filter(other => other !== self)));
    assert.deepEqual(all.toSorted(), [...Array(3).fill("later"), ...Array(3).fill("next"), ...Array(3).fill("now")]);
});
