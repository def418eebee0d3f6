/** Guards against orders that are duplicated, sent to a busy server, or missing after lost responses and restarts. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as types from "../../src/weights/types.js";
import * as updateSteps from "../../src/weights/update-step.js";

const DESIRED = { model: "menu", version: 2, position: { era: 0, revision: 40 } };

function engine(version: number, changes: Partial<types.EngineState> = {}): types.EngineState {
    return {
        startedAt: 1,
        weights: new Map([["menu", version]]),
        isBusy: false,
        orderCount: 3,
        running: 0,
        waiting: 0,
        ...changes,
    };
}

function update(changes: Partial<updateSteps.UpdateState> = {}): updateSteps.UpdateState {
    return { model: "menu", version: 2, pendingSince: 0, announcedAt: 0, orderedAt: undefined, ...changes };
}

testing.test("an update is announced first, and ordered once calls have stopped arriving", () => {
    const begin = updateSteps.nextStep({
        engine: engine(1),
        desired: DESIRED,
        fencingToken: 40,
        timing: "now",
        update: undefined,
    }, 0);
    assert.equal(begin.kind, "announce");
    assert.equal(
        updateSteps.nextStep(
            { engine: engine(1), desired: DESIRED, fencingToken: 40, timing: "now", update: update() },
            10,
        ).kind,
        "wait",
    );
    const step = updateSteps.nextStep({
        engine: engine(1),
        desired: DESIRED,
        fencingToken: 40,
        timing: "now",
        update: update(),
    }, 100);
    assert.deepEqual(step, {
        kind: "order",
        order: { model: "menu", version: 2, fencingToken: 40, expectedOrderCount: 3 },
    });
});

testing.test("guards against a second order while the first may still be accepted", () => {
    const ordered = update({ orderedAt: 100 });
    const soon = updateSteps.nextStep({
        engine: engine(1),
        desired: DESIRED,
        fencingToken: 40,
        timing: "now",
        update: ordered,
    }, 300);
    assert.equal(soon.kind, "wait");
    const later = updateSteps.nextStep({
        engine: engine(1),
        desired: DESIRED,
        fencingToken: 40,
        timing: "now",
        update: ordered,
    }, 600);
    assert.equal(later.kind, "order");
});

testing.test("guards against an order to a busy server, also after a restart of the agent", () => {
    const busy = engine(1, { isBusy: true });
    assert.equal(
        updateSteps.nextStep({ engine: busy, desired: DESIRED, fencingToken: 40, timing: "now", update: undefined }, 0)
            .kind,
        "idle",
    );
    assert.equal(
        updateSteps.nextStep({ engine: busy, desired: DESIRED, fencingToken: 40, timing: "now", update: update() }, 500)
            .kind,
        "wait",
    );
});

testing.test("an update ends when the version is in force, whatever caused it", () => {
    const step = updateSteps.nextStep({
        engine: engine(2),
        desired: DESIRED,
        fencingToken: 40,
        timing: "later",
        update: update(),
    }, 500);
    assert.deepEqual(step, { kind: "finish", version: 2 });
});

testing.test("guards against a server that stays out of use for a superseded version", () => {
    const newer = { model: "menu", version: 3, position: { era: 0, revision: 41 } };
    const waiting = updateSteps.nextStep({
        engine: engine(1),
        desired: newer,
        fencingToken: 41,
        timing: "later",
        update: update(),
    }, 500);
    assert.equal(waiting.kind, "finish");
    const next = updateSteps.nextStep({
        engine: engine(1),
        desired: newer,
        fencingToken: 41,
        timing: "now",
        update: update(),
    }, 500);
    assert.equal(next.kind === "announce" && next.update.version, 3);
});

testing.test("a silent server gets no order", () => {
    assert.equal(
        updateSteps.nextStep({
            engine: undefined,
            desired: DESIRED,
            fencingToken: 40,
            timing: "now",
            update: undefined,
        }, 0).kind,
        "idle",
    );
    assert.equal(
        updateSteps.nextStep(
            { engine: undefined, desired: DESIRED, fencingToken: 40, timing: "now", update: update() },
            500,
        ).kind,
        "wait",
    );
});

testing.test("guards against a server that is out of use while long calls finish on it", () => {
    const loaded = engine(1, { running: 20 });
    const begin = updateSteps.nextStep({
        engine: loaded,
        desired: DESIRED,
        fencingToken: 40,
        timing: "now",
        update: undefined,
    }, 0);
    assert.equal(begin.kind === "set-pending" && begin.update.announcedAt, undefined);
    const pending = update({ announcedAt: undefined });
    assert.equal(
        updateSteps.nextStep(
            { engine: loaded, desired: DESIRED, fencingToken: 40, timing: "now", update: pending },
            500,
        ).kind,
        "wait",
    );
    assert.equal(
        updateSteps.nextStep(
            { engine: loaded, desired: DESIRED, fencingToken: 40, timing: "now", update: pending },
            900,
        ).kind,
        "announce",
    );
});

testing.test("the update of the next server is pending, and the server serves until the servers before it have updated", () => {
    const loaded = engine(1, { running: 20 });
    const begin = updateSteps.nextStep({
        engine: loaded,
        desired: DESIRED,
        fencingToken: 40,
        timing: "next",
        update: undefined,
    }, 0);
    assert.equal(begin.kind, "set-pending");
    const pending = update({ announcedAt: undefined });
    assert.equal(
        updateSteps.nextStep(
            { engine: loaded, desired: DESIRED, fencingToken: 40, timing: "next", update: pending },
            3000,
        ).kind,
        "wait",
    );
    assert.equal(
        updateSteps.nextStep(
            { engine: loaded, desired: DESIRED, fencingToken: 40, timing: "later", update: pending },
            3000,
        ).kind,
        "finish",
    );
});

testing.test("a nearly idle server updates without a pending phase", () => {
    const step = updateSteps.nextStep({
        engine: engine(1, { running: 1 }),
        desired: DESIRED,
        fencingToken: 40,
        timing: "now",
        update: undefined,
    }, 0);
    assert.equal(step.kind, "announce");
});

testing.test("guards against a pending phase that restarts with each new desired version", () => {
    const pending = update({ announcedAt: undefined });
    const newer = { model: "menu", version: 3, position: { era: 0, revision: 41 } };
    const loaded = engine(1, { running: 20 });
    const step = updateSteps.nextStep({
        engine: loaded,
        desired: newer,
        fencingToken: 41,
        timing: "now",
        update: pending,
    }, 900);
    assert.equal(step.kind === "announce" && step.update.version, 3);
});

testing.test("server with a queue: the order waits until all its calls have begun, but not for long", () => {
    const step = (unstarted: number, now: number, isContended: boolean) => {
        return updateSteps.nextStep({
            engine: engine(1, { running: 20, waiting: unstarted, unstarted }),
            desired: DESIRED,
            fencingToken: 40,
            timing: "now",
            isContended,
            update: update(),
        }, now).kind;
    };
    assert.equal(step(6, 100, true), "wait");
    assert.equal(step(0, 150, true), "order");
    assert.equal(step(6, 600, true), "order", "the update is not held up by a server that makes no progress");
    assert.equal(step(6, 100, false), "order", "as before where servers are not contended");
});

testing.test("contended servers: the update stays pending for longer, so that fewer long answers run when it is announced", () => {
    const step = (now: number, running: number) => {
        return updateSteps.nextStep({
            engine: engine(1, { running }),
            desired: DESIRED,
            fencingToken: 40,
            timing: "now",
            isContended: true,
            update: update({ announcedAt: undefined }),
        }, now).kind;
    };
    assert.equal(step(900, 20), "wait");
    assert.equal(step(900, 2), "announce");
    assert.equal(step(900, 5), "announce", "a server with few calls");
    assert.equal(step(2900, 20), "wait");
    assert.equal(step(3000, 20), "announce");
    assert.equal(step(3000, 32), "announce");
});
