/** Guards against calls that reach a different route or service than configured. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as routingTables from "../../src/fleet/routing-table.js";
import type * as types from "../../src/fleet/types.js";

function route(
    name: string,
    host: string,
    pathPrefix: string,
    targets: readonly types.RouteTarget[] = [],
): types.Route {
    return {
        name,
        host,
        pathPrefix,
        kind: "stream",
        resumable: false,
        targets,
        timeoutMs: 1000,
        targetGapMs: 250,
        targetLatencyMs: 100,
        maximumAttempts: 1,
        priority: 0,
        open: false,
    };
}

const TABLE = routingTables.compile({
    version: 1,
    routes: [
        route("short", "a.example", "/a/"),
        route("long", "a.example", "/a/b/"),
        route("other", "b.example", "/a/"),
    ],
    services: new Map(),
    cacheStores: [],
    customers: [],
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

testing.test("the route with the longest path prefix of the host is chosen", () => {
    assert.equal(routingTables.findRoute(TABLE, "a.example", "/a/b/c?x=/z/")?.name, "long");
    assert.equal(routingTables.findRoute(TABLE, "A.example:80", "/a/c")?.name, "short");
    assert.equal(routingTables.findRoute(TABLE, "b.example", "/a/b/")?.name, "other");
    assert.equal(routingTables.findRoute(TABLE, "a.example", "/b/"), undefined);
    assert.equal(routingTables.findRoute(TABLE, "c.example", "/a/"), undefined);
});

testing.test("calls are split by weight, and a call id always maps to the same target", () => {
    const split = route("split", "a", "/", [{ service: "old", weight: 90 }, { service: "new", weight: 10 }]);
    const chosen = Array.from({ length: 4000 }, (_, index) => routingTables.chooseService(split, `call-${index}`));
    const share = chosen.filter(service => service === "new").length / chosen.length;
    assert.ok(share > 0.07 && share < 0.13, `${share}`);
    assert.equal(routingTables.chooseService(split, "call-1"), chosen[1]);
});

testing.test("guards against calls to a target with weight 0", () => {
    const none = route("none", "a", "/", [{ service: "off", weight: 0 }]);
    assert.equal(routingTables.chooseService(none, "call"), undefined);
});
