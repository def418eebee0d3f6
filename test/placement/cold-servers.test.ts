/** Guards against cold servers that count as warm, and against servers that count as cold for no reason. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as event from "../../src/core/event.js";
import type * as fleet from "../../src/fleet/types.js";
import * as coldServers from "../../src/placement/cold-servers.js";

const COLD_START: fleet.ColdStart = { durationMs: 3000, requestsPerSecond: 16 };
const BOUNDS = { overshootFactor: 1.5, slackRequests: 5 };
/** Unix time in milliseconds at the time 0 of the process. */
const WALL_TIME = 1_000_000;

function server(id: string, changes: Partial<fleet.BackendServer> = {}): fleet.BackendServer {
    return {
        id,
        startedAt: WALL_TIME - 100_000,
        service: "menu",
        address: "10.0.0.1:8000",
        dataCentre: "one",
        slots: 96,
        state: "ready",
        softwareVersion: "v1",
        weights: new Map(),
        coldRemainingMs: 0,
        revision: 1,
        ...changes,
    };
}

interface KnownOptions {
    readonly isFirstStart?: boolean;
    readonly coldStart?: () => fleet.ColdStart | undefined;
}

class Known {
    readonly events: event.Fields[] = [];
    readonly cold: coldServers.ColdServers;

    constructor({ isFirstStart = false, coldStart = () => COLD_START }: KnownOptions = {}) {
        this.cold = new coldServers.ColdServers({
            journal: { emit: (_name, fields = {}) => void this.events.push(fields) },
            bounds: BOUNDS,
            coldStart,
            isFirstStart,
        });
    }

    list(now: number, ...servers: readonly fleet.BackendServer[]): void {
        this.cold.recordServers(servers, { now, wallTime: WALL_TIME + now });
    }

    isCold(id: string, now: number): boolean {
        return this.cold.isCold(id, now);
    }
}

testing.test("the records of the first listing decide, also for servers that have just started", () => {
    const known = new Known();
    known.list(1000, server("a", { startedAt: WALL_TIME }), server("b", { coldRemainingMs: 1500 }));
    assert.equal(known.isCold("a", 1000), false);
    assert.deepEqual([known.isCold("b", 2400), known.isCold("b", 2500)], [true, false]);
    assert.deepEqual(known.cold.limitOf("b", 1000), { requestsPerSecond: 16, toleratedRequests: 29 });
    assert.equal(known.cold.limitOf("b", 2500), undefined);
    assert.deepEqual(known.events, [{ backendServer: "b", remainingMs: 1500, source: "record" }]);
});

testing.test("a server that shows up later is cold from its start, before its record says so", () => {
    const known = new Known();
    known.list(0, server("a"));
    known.list(10_000, server("a"), server("b", { startedAt: WALL_TIME + 9000 }));
    known.list(
        10_000,
        server("a"),
        server("c", { startedAt: undefined }),
        server("b", { startedAt: WALL_TIME + 9000 }),
    );
    known.list(10_000, server("old", { startedAt: WALL_TIME }), server("ahead", { startedAt: WALL_TIME + 60_000 }));
    assert.equal(known.isCold("a", 10_000), false);
    assert.deepEqual([known.isCold("b", 11_900), known.isCold("b", 12_000)], [true, false]);
    assert.deepEqual([known.isCold("c", 12_900), known.isCold("c", 13_000)], [true, false]);
    assert.equal(known.isCold("old", 10_000), false);
    assert.deepEqual([known.isCold("ahead", 12_900), known.isCold("ahead", 13_000)], [true, false]);
});

testing.test("a server that starts again under its id is cold, and one whose record comes back is not", () => {
    const known = new Known();
    known.list(0, server("a"), server("b"));
    known.list(20_000);
    known.list(30_000, server("a", { startedAt: WALL_TIME + 29_900, revision: 2 }), server("b", { revision: 3 }));
    assert.deepEqual([known.isCold("a", 32_800), known.isCold("a", 32_900)], [true, false]);
    assert.equal(known.isCold("b", 30_000), false);
});

testing.test("a record of an earlier run neither ends nor hides the cold time of the later one", () => {
    const known = new Known();
    const restarted = server("a", { startedAt: WALL_TIME + 9900, revision: 5, coldRemainingMs: 2900 });
    known.list(0, server("a"));
    known.list(10_000, restarted);
    known.list(10_100, server("a"));
    assert.equal(known.isCold("a", 12_800), true);
});

testing.test("a server that is cold again tells it by its record or a response, and an unchanged record counts once", () => {
    const known = new Known();
    known.list(0, server("a"), server("b"));
    known.list(10_000, server("a", { coldRemainingMs: 3000, revision: 2 }), server("b"));
    known.list(12_000, server("a", { coldRemainingMs: 3000, revision: 2 }), server("b"));
    assert.deepEqual([known.isCold("a", 12_900), known.isCold("a", 13_000)], [true, false]);
    known.cold.recordResponse("b", 700, 20_000);
    known.cold.recordResponse("b", 0, 20_100);
    known.cold.recordResponse("b", undefined, 20_100);
    known.cold.recordResponse("unknown", 700, 20_100);
    assert.deepEqual([known.isCold("b", 20_600), known.isCold("b", 20_700)], [true, false]);
    // A record that was written before says nothing of the time since.
    known.cold.recordResponse("b", 700, 30_000);
    known.list(30_100, server("b", { coldRemainingMs: 0, revision: 9 }));
    assert.equal(known.isCold("b", 30_600), true);
});

testing.test("all servers of a data centre are cold after its evacuation", () => {
    const known = new Known();
    known.list(0, server("a"), server("b", { dataCentre: "two" }));
    known.cold.recordReturn("one", 10_000);
    assert.deepEqual([known.isCold("a", 12_900), known.isCold("a", 13_000)], [true, false]);
    assert.equal(known.isCold("b", 10_000), false);
});

testing.test("the start of a deployment makes no server cold, and traffic ends it", () => {
    const known = new Known({ isFirstStart: true });
    known.list(0);
    known.list(2000, server("a", { startedAt: WALL_TIME + 1900 }));
    assert.equal(known.isCold("a", 2000), false);
    known.cold.recordTraffic();
    known.list(3000, server("a", { startedAt: WALL_TIME + 1900 }), server("b", { startedAt: WALL_TIME + 2900 }));
    assert.deepEqual([known.isCold("a", 3000), known.isCold("b", 3000)], [false, true]);
});

testing.test("servers of a service without cold starts are never cold, and without a rate they have no limit", () => {
    const never = new Known({ coldStart: () => undefined });
    never.list(0, server("a", { coldRemainingMs: 3000 }));
    assert.equal(never.isCold("a", 0), false);
    const unlimited = new Known({ coldStart: () => ({ durationMs: 3000, requestsPerSecond: undefined }) });
    unlimited.list(0, server("a", { coldRemainingMs: 3000 }));
    assert.equal(unlimited.isCold("a", 0), true);
    assert.equal(unlimited.cold.limitOf("a", 0), undefined);
});

testing.test("servers that are gone are forgotten", () => {
    const known = new Known();
    known.list(0, server("a", { coldRemainingMs: 60_000 }));
    assert.equal(known.cold.count(1000), 1);
    known.list(130_000);
    known.list(131_000, server("a", { startedAt: undefined, revision: 7 }));
    assert.equal(known.isCold("a", 131_000), true);
});
