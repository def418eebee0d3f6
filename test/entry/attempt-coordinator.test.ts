/** Retries of generations that failed on a weights version under rollout. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as boards from "../../src/daemon/board.js";
import * as coordinators from "../../src/entry/attempt-coordinator.js";
import type * as attempts from "../../src/entry/generation-attempt.js";
import type * as quarantinePolicies from "../../src/entry/quarantine-policy.js";
import type * as responseWriters from "../../src/entry/response-writer.js";
import * as serverHealths from "../../src/entry/server-health.js";
import type * as serverSelections from "../../src/entry/server-selection.js";
import * as manifest from "../../src/manifest/types.js";
import * as versionSelectors from "../../src/rollout/version-selector.js";
import * as simulationClock from "../support/simulation-clock.js";

const SERVER = "127.0.0.1:1";
/** Number of requests that a sampled version receives in one burst. */
const BURST_REQUESTS = 16;
const model: manifest.Model = {
    name: "menu",
    weightsVersion: "v1",
    adapters: [],
    pieceTokens: 1024,
    parallelLoads: 2,
};
const rollout = { name: "spring", model: "menu", from: "v1", to: "v2", steps: [0.05, 1], deadline: 1e6, stepMs: 500 };

/** Number of requests in a burst that may be retried after the server failed them on the version. */
function allowedRetries(version: string, share: number): number {
    const board = boards.createBoard();
    const clock = new simulationClock.SimulationClock(1);
    const journal = { emit: () => undefined };
    const status = { rollout: "spring", model: "menu", from: "v1", to: "v2", phase: "shifting" as const };
    board.write("configuration", {
        ...manifest.emptyConfiguration,
        models: new Map([["menu", model]]),
        rollouts: [rollout],
    });
    board.write("rollouts", {
        version: 1,
        statuses: [{ ...status, share, fencingNumber: 1, reason: "", changedAt: 0 }],
        vetoes: new Set(),
    });
    const health = new serverHealths.ServerHealth(() => 0, journal);
    const options = {
        board,
        clock,
        health,
        servers: { attemptEnded: () => undefined } as unknown as serverSelections.ServerSelection,
        quarantinePolicy: { forRequest: () => ({}) } as unknown as quarantinePolicies.QuarantinePolicy,
        versions: new versionSelectors.VersionSelector({ board, wallTime: () => 0, isServable: () => true }),
    } as unknown as coordinators.AttemptCoordinatorOptions;
    const generation = {
        requestId: "request",
        fingerprint: "",
        requirements: { model, weightsVersion: version },
    } as attempts.Generation;
    const allowed = Array.from({ length: BURST_REQUESTS }, () => {
        const coordinator = new coordinators.AttemptCoordinator(
            generation,
            options,
            {} as responseWriters.ResponseWriter,
        );
        health.requestSent(SERVER, true, clock.now());
        coordinator.sink.attemptFailed?.(SERVER, { kind: "engine-failed", detail: "status 500" });
        return coordinator.tryRetry(SERVER);
    });
    return allowed.filter(Boolean).length;
}

testing.describe("retries after failures of a weights version", () => {
    testing.test("a failed burst on a sampled version is retried on the old one, even without other traffic", () => {
        assert.equal(allowedRetries("v2", 0.05), BURST_REQUESTS);
    });

    testing.test("the budget limits retries of the old version, and of a new one that receives all requests", () => {
        assert.ok(allowedRetries("v1", 0.05) < BURST_REQUESTS);
        assert.ok(allowedRetries("v2", 1) < BURST_REQUESTS);
    });
});
