/** Servers, candidates, routes and configurations for tests of placement, with the values that no test depends on. */
import type * as fleet from "../../src/fleet/types.js";
import type * as placement from "../../src/placement/types.js";

export function serverOf(id: string, changes: Partial<fleet.BackendServer> = {}): fleet.BackendServer {
    return {
        id,
        startedAt: 1,
        service: "menu",
        address: `${id}:8000`,
        dataCentre: "one",
        slots: 96,
        state: "ready",
        softwareVersion: "v1",
        weights: new Map([["menu", 1]]),
        ...changes,
    };
}

export function candidateOf(
    server: fleet.BackendServer,
    changes: Partial<placement.Candidate> = {},
): placement.Candidate {
    return {
        server,
        calls: 0,
        pendingPromptTokens: 0,
        weightsVersion: 1,
        outdatedForMs: undefined,
        isUpdatingWeights: false,
        pauseMs: 0,
        limit: "none",
        isUpdatePending: false,
        isSuspected: false,
        failureShare: 0,
        ...changes,
    };
}

export function streamRoute(changes: Partial<fleet.Route> = {}): fleet.Route {
    return {
        name: "r",
        host: "h",
        pathPrefix: "/",
        kind: "stream",
        resumable: false,
        targets: [{ service: "menu", weight: 1 }],
        timeoutMs: 5000,
        targetLatencyMs: 400,
        targetGapMs: 400,
        maximumAttempts: 1,
        priority: 0,
        open: true,
        ...changes,
    };
}

export function configurationOf(routes: readonly fleet.Route[]): fleet.Configuration {
    return {
        version: 1,
        routes,
        services: new Map(),
        cacheStores: [],
        customers: [],
        limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    };
}
