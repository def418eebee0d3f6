/** Retries of generations that a version under a rollout failed. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as boards from "../../src/daemon/board.js";
import type * as answers from "../../src/entry/answer-writer.js";
import type * as attempts from "../../src/entry/generation-attempt.js";
import * as exchanges from "../../src/entry/generation-exchange.js";
import * as serverHealths from "../../src/entry/server-health.js";
import type * as serverSelection from "../../src/entry/server-selection.js";
import type * as suspicions from "../../src/entry/suspicion.js";
import * as manifest from "../../src/manifest/types.js";
import * as versionSelectors from "../../src/rollout/version-selector.js";
import * as virtualTime from "../support/virtual-time.js";

const SERVER = "127.0.0.1:1";
/** A sampled version gets its requests in bursts of this size. */
const BURST = 16;
const model: manifest.Model = {
    name: "menu",
    weightsVersion: "v1",
    adapters: [],
    pieceTokens: 1024,
    parallelLoads: 2,
};
const rollout = { name: "spring", model: "menu", from: "v1", to: "v2", steps: [0.05, 1], deadline: 1e6, stepMs: 500 };

/** Number of a burst's requests that may be sent once more after the server failed them on a version. */
function retriesOfBurst(version: string, share: number): number {
    const board = boards.createBoard();
    const clock = new virtualTime.VirtualTime(1);
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
        servers: { ended: () => undefined } as unknown as serverSelection.ServerSelection,
        suspicion: { of: () => ({}) } as unknown as suspicions.Suspicion,
        versions: new versionSelectors.VersionSelector({ board, wallTime: () => 0, isServable: () => true }),
    } as unknown as exchanges.ExchangeOptions;
    const generation = {
        requestId: "request",
        fingerprint: "",
        demand: { model, weightsVersion: version },
    } as attempts.Generation;
    const taken = Array.from({ length: BURST }, () => {
        const exchange = new exchanges.GenerationExchange(generation, options, {} as answers.AnswerWriter);
        health.sent(SERVER, true, clock.now());
        exchange.sink.attemptFailed?.(SERVER, { kind: "engine-failed", detail: "status 500" });
        return exchange.takeRetry(SERVER);
    });
    return taken.filter(Boolean).length;
}

testing.describe("retries after failures of a version", () => {
    testing.test("a burst on a bad sampled version runs again on the old one, also without other traffic", () => {
        assert.equal(retriesOfBurst("v2", 0.05), BURST);
    });

    testing.test("the budget holds for the old version, and for a new one that gets all requests", () => {
        assert.ok(retriesOfBurst("v1", 0.05) < BURST);
        assert.ok(retriesOfBurst("v2", 1) < BURST);
    });
});
