/** Guards against calls to servers that were replaced at their address, and against states that are out of date. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as fleet from "../../src/fleet/types.js";
import * as views from "../../src/forwarding/fleet-view.js";
import * as memberTables from "../../src/peering/member-table.js";
import type * as peering from "../../src/peering/types.js";
import * as serverHealth from "../../src/placement/server-health.js";
import * as serverLoads from "../../src/placement/server-load.js";

const ADDRESS = "10.0.0.9:8000";

function server(id: string, startedAt: number, version = 1): fleet.BackendServer {
    return {
        id,
        startedAt,
        service: "menu",
        address: ADDRESS,
        dataCentre: "one",
        slots: 8,
        state: "ready",
        weights: new Map([["m", version]]),
    };
}

function beat(name: string, changes: Partial<peering.Heartbeat>): peering.Heartbeat {
    return {
        member: {
            name,
            role: "entry",
            beatAddress: `${name}:1`,
            documentAddress: `${name}:1`,
            serverAddress: undefined,
        },
        incarnation: "run",
        sequence: 0,
        isLeaving: false,
        changeRevisions: {},
        spentTokens: {},
        serverLoads: {},
        prefills: [],
        targetWeights: [],
        report: undefined,
        ...changes,
    };
}

function report(startedAt: number, version: number, changes: Partial<peering.ServerReport> = {}): peering.ServerReport {
    const weights = [{ model: "m", version }];
    return {
        address: ADDRESS,
        isAlive: true,
        startedAt,
        weights,
        isLoadingWeights: false,
        loadsWeightsSoon: false,
        running: 0,
        waiting: 0,
        ...changes,
    };
}

function create() {
    const members = new memberTables.MemberTable("self");
    const use = new serverLoads.ServerLoadTracker();
    return { members, use, view: new views.FleetView({ members, use, trust: new serverHealth.ServerHealth() }) };
}

testing.test("restart of all: the registry's entry of an earlier run at the same address is not used", () => {
    const { view } = create();
    view.adoptServers([server("old", 1000), server("new", 2000)]);
    assert.deepEqual(view.candidates("menu", "m", 0).map(candidate => candidate.server.id), ["new"]);
});

testing.test("restart of all: an agent's report of a later run takes the registered run out of use", () => {
    const { view, members } = create();
    view.adoptServers([server("old", 1000)]);
    assert.equal(view.candidates("menu", "m", 0)[0]?.isSuspected, false);
    members.receive(beat("agent", { report: report(2000, 3) }), 0);
    const [candidate] = view.candidates("menu", "m", 0);
    assert.equal(candidate?.isSuspected, true);
    assert.equal(candidate?.weightsVersion, 1);
});

testing.test("the agent's report goes before the registry, which lags, until the report is old", () => {
    const { view, members } = create();
    view.adoptServers([server("a", 1000, 1)]);
    members.receive(beat("agent", { report: report(1000, 2, { isLoadingWeights: true }) }), 0);
    const [fresh] = view.candidates("menu", "m", 100);
    assert.deepEqual([fresh?.weightsVersion, fresh?.isUpdatingWeights], [2, true]);
    const [old] = view.candidates("menu", "m", 5000);
    assert.deepEqual([old?.weightsVersion, old?.isUpdatingWeights], [1, false]);
});

testing.test("guards against an entry that sees only its own calls at a server", () => {
    const { view, members, use } = create();
    view.adoptServers([server("a", 1000)]);
    using _placed = use.place("a", 500);
    members.receive(beat("peer", { serverLoads: { a: { calls: 3, pendingPromptTokens: 700 } } }), 0);
    const [candidate] = view.candidates("menu", "m", 100);
    assert.deepEqual([candidate?.calls, candidate?.pendingPromptTokens], [4, 1200]);
    assert.equal(view.candidates("menu", "m", 5000)[0]?.calls, 1);
});

testing.test("guards against weights that are used past their bound because an agent is silent", () => {
    const { view } = create();
    view.adoptServers([server("a", 1000, 1)]);
    view.nameWeights({ model: "m", version: 1, revision: 1 }, 0);
    view.nameWeights({ model: "m", version: 2, revision: 2 }, 1000);
    view.nameWeights({ model: "m", version: 3, revision: 3 }, 5000);
    assert.equal(view.candidates("menu", "m", 9000)[0]?.outdatedForMs, 8000);
    view.sawVersion("a", 3);
    assert.equal(view.candidates("menu", "m", 9000)[0]?.outdatedForMs, undefined);
});

testing.test("guards against a plain service that is out of use for a caller that names a model", () => {
    const { view } = create();
    const service = { name: "menu", maximumConnections: 10, engine: undefined };
    view.adoptConfiguration({
        version: 1,
        routes: [],
        services: new Map([[service.name, service]]),
        cacheStores: [],
        customers: [],
        limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    });
    view.adoptServers([{ ...server("desk", 1000), weights: new Map() }]);
    view.nameWeights({ model: "m", version: 2, revision: 3 }, 0);
    const [candidate] = view.candidates("menu", "m", 60_000);
    assert.equal(candidate?.outdatedForMs, undefined);
    assert.equal(view.servesModels("menu"), false);
});
