/** Guards against calls to servers that were replaced at their address, and against decisions on outdated state. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as fleet from "../../src/fleet/types.js";
import * as views from "../../src/forwarding/fleet-view.js";
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
        softwareVersion: "v1",
        weights: new Map([["m", version]]),
    };
}

function report(startedAt: number, version: number, changes: Partial<peering.ServerReport> = {}): peering.ServerReport {
    const weights = [{ model: "m", version }];
    return {
        address: ADDRESS,
        isAlive: true,
        startedAt,
        weights,
        isUpdatingWeights: false,
        isUpdatePending: false,
        running: 0,
        waiting: 0,
        ...changes,
    };
}

function createView(usesReportedLoad = false) {
    const serverLoad = new serverLoads.ServerLoadTracker();
    return {
        serverLoad,
        view: new views.FleetView({
            serverLoad,
            serverHealth: new serverHealth.ServerHealth(),
            serverLimits: { stateOf: () => "none", retain: () => undefined },
            usesReportedLoad,
        }),
    };
}

testing.test("full restart: the registry's record of an earlier incarnation at the same address is not used", () => {
    const { view } = createView();
    view.updateServers([server("old", 1000), server("new", 2000)], 0);
    assert.deepEqual(view.candidates("menu", "m", 0).map(candidate => candidate.server.id), ["new"]);
});

testing.test("full restart: an agent's report of a later incarnation excludes the registered incarnation", () => {
    const { view } = createView();
    view.updateServers([server("old", 1000)], 0);
    assert.equal(view.candidates("menu", "m", 0)[0]?.isSuspected, false);
    view.applyReport(report(2000, 3), 0);
    const [candidate] = view.candidates("menu", "m", 0);
    assert.equal(candidate?.isSuspected, true);
    assert.equal(candidate?.weightsVersion, 1);
});

testing.test("a recent report of the agent takes precedence over the registry, which lags behind", () => {
    const { view } = createView();
    view.updateServers([server("a", 1000, 1)], 0);
    view.applyReport(report(1000, 2, { isUpdatingWeights: true }), 0);
    const [fresh] = view.candidates("menu", "m", 100);
    assert.deepEqual([fresh?.weightsVersion, fresh?.isUpdatingWeights], [2, true]);
    const [old] = view.candidates("menu", "m", 5000);
    assert.deepEqual([old?.weightsVersion, old?.isUpdatingWeights], [1, false]);
});

testing.test("guards against an entry that counts only its own calls at a server", () => {
    const { view, serverLoad } = createView();
    view.updateServers([server("a", 1000)], 0);
    using _placement = serverLoad.place("a", 500);
    serverLoad.applyPeer("peer", { a: { calls: 3, pendingPromptTokens: 700 } }, 0);
    const [candidate] = view.candidates("menu", "m", 100);
    assert.deepEqual([candidate?.calls, candidate?.pendingPromptTokens], [4, 1200]);
    assert.equal(view.candidates("menu", "m", 5000)[0]?.calls, 1);
});

testing.test("guards against outdated weights that stay in use because an agent sends no reports", () => {
    const { view } = createView();
    view.updateServers([server("a", 1000, 1)], 0);
    view.recordDesiredWeights({ model: "m", version: 1, position: { era: 0, revision: 1 } }, 0);
    view.recordDesiredWeights({ model: "m", version: 2, position: { era: 0, revision: 2 } }, 1000);
    view.recordDesiredWeights({ model: "m", version: 3, position: { era: 0, revision: 3 } }, 5000);
    assert.equal(view.candidates("menu", "m", 9000)[0]?.outdatedForMs, 8000);
    view.recordObservedVersion("a", 3);
    assert.equal(view.candidates("menu", "m", 9000)[0]?.outdatedForMs, undefined);
});

testing.test("guards against a service without engines that rejects callers that name a model", () => {
    const { view } = createView();
    const service = { name: "menu", maximumConnections: 10, engine: undefined };
    view.applyConfiguration({
        version: 1,
        routes: [],
        services: new Map([[service.name, service]]),
        cacheStores: [],
        customers: [],
        limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    });
    view.updateServers([{ ...server("desk", 1000), weights: new Map() }], 0);
    view.recordDesiredWeights({ model: "m", version: 2, position: { era: 0, revision: 3 } }, 0);
    const [candidate] = view.candidates("menu", "m", 60_000);
    assert.equal(candidate?.outdatedForMs, undefined);
    assert.equal(view.servesModels("menu"), false);
});

testing.test("guards against a server that a record with a later start hides, though it is the one that answers at its address", () => {
    const { view } = createView();
    const listed = [server("sound", 1000), server("odd", 9000)];
    view.updateServers(listed, 0);
    const ids = () => view.candidates("menu", "m", 0).map(candidate => candidate.server.id);
    assert.deepEqual(ids(), ["odd"]);
    view.recordAbsence(listed[1]!);
    assert.deepEqual(ids(), ["sound", "odd"]);
    view.updateServers(listed, 100);
    assert.deepEqual(ids(), ["sound", "odd"]);
    view.updateServers([server("sound", 1000), server("odd", 9500)], 200);
    assert.deepEqual(ids(), ["odd"], "its next run");
});

testing.test("contended servers: the calls that an agent reports count while its report is recent and of this run", () => {
    const load = { running: 5, waiting: 3 };
    const callsAt = (usesReportedLoad: boolean, startedAt: number, now: number) => {
        const { view } = createView(usesReportedLoad);
        view.updateServers([server("a", 1000)], 0);
        view.applyReport(report(startedAt, 1, load), 0);
        return Math.round(view.candidates("menu", "m", now)[0]!.calls);
    };
    assert.ok(callsAt(true, 1000, 0) > 0);
    assert.equal(callsAt(true, 1000, 1500), 0, "an old report");
    assert.equal(callsAt(true, 2000, 0), 0, "a report of another run");
    assert.equal(callsAt(false, 1000, 0), 0, "as before where servers are not contended");
});
