/** Guards against orders that are repeated wrongly, sent to a busy server, or left out after lost answers and restarts. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as moves from "../../src/weights/move.js";
import type * as types from "../../src/weights/types.js";

const NAMED = { model: "menu", version: 2, revision: 40 };

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

function move(changes: Partial<moves.MoveState> = {}): moves.MoveState {
    return { model: "menu", version: 2, windingDownSince: 0, announcedAt: 0, orderedAt: undefined, ...changes };
}

testing.test("a move is announced first, and ordered when calls have stopped arriving", () => {
    const begin = moves.nextStep({ engine: engine(1), named: NAMED, turn: "now", move: undefined }, 0);
    assert.equal(begin.kind, "announce");
    assert.equal(moves.nextStep({ engine: engine(1), named: NAMED, turn: "now", move: move() }, 10).kind, "wait");
    const step = moves.nextStep({ engine: engine(1), named: NAMED, turn: "now", move: move() }, 100);
    assert.deepEqual(step, {
        kind: "order",
        order: { model: "menu", version: 2, fencingToken: 40, expectedOrderCount: 3 },
    });
});

testing.test("guards against a second order while the first may still be accepted", () => {
    const ordered = move({ orderedAt: 100 });
    const soon = moves.nextStep({ engine: engine(1), named: NAMED, turn: "now", move: ordered }, 300);
    assert.equal(soon.kind, "wait");
    const later = moves.nextStep({ engine: engine(1), named: NAMED, turn: "now", move: ordered }, 600);
    assert.equal(later.kind, "order");
});

testing.test("guards against an order to a busy server, also after a restart of the agent", () => {
    const busy = engine(1, { isBusy: true });
    assert.equal(moves.nextStep({ engine: busy, named: NAMED, turn: "now", move: undefined }, 0).kind, "rest");
    assert.equal(moves.nextStep({ engine: busy, named: NAMED, turn: "now", move: move() }, 500).kind, "wait");
});

testing.test("a move ends when the version is in force, however it came there", () => {
    const step = moves.nextStep({ engine: engine(2), named: NAMED, turn: "later", move: move() }, 500);
    assert.deepEqual(step, { kind: "finish", version: 2 });
});

testing.test("guards against a server that stays out of use for a version that is no longer wanted", () => {
    const newer = { model: "menu", version: 3, revision: 41 };
    const waiting = moves.nextStep({ engine: engine(1), named: newer, turn: "later", move: move() }, 500);
    assert.equal(waiting.kind, "finish");
    const next = moves.nextStep({ engine: engine(1), named: newer, turn: "now", move: move() }, 500);
    assert.equal(next.kind === "announce" && next.move.version, 3);
});

testing.test("a silent server gets no order", () => {
    assert.equal(moves.nextStep({ engine: undefined, named: NAMED, turn: "now", move: undefined }, 0).kind, "rest");
    assert.equal(moves.nextStep({ engine: undefined, named: NAMED, turn: "now", move: move() }, 500).kind, "wait");
});

testing.test("guards against a server that is out of use while its long answers end, when others still serve them", () => {
    const loaded = engine(1, { running: 20 });
    const begin = moves.nextStep({ engine: loaded, named: NAMED, turn: "now", move: undefined }, 0);
    assert.equal(begin.kind === "wind-down" && begin.move.announcedAt, undefined);
    const winding = move({ announcedAt: undefined });
    assert.equal(moves.nextStep({ engine: loaded, named: NAMED, turn: "now", move: winding }, 500).kind, "wait");
    assert.equal(moves.nextStep({ engine: loaded, named: NAMED, turn: "now", move: winding }, 900).kind, "announce");
});

testing.test("the next server winds down, but serves until the servers before it have moved", () => {
    const loaded = engine(1, { running: 20 });
    const begin = moves.nextStep({ engine: loaded, named: NAMED, turn: "next", move: undefined }, 0);
    assert.equal(begin.kind, "wind-down");
    const winding = move({ announcedAt: undefined });
    assert.equal(moves.nextStep({ engine: loaded, named: NAMED, turn: "next", move: winding }, 3000).kind, "wait");
    assert.equal(moves.nextStep({ engine: loaded, named: NAMED, turn: "later", move: winding }, 3000).kind, "finish");
});

testing.test("an idle server moves without winding down", () => {
    const step = moves.nextStep({ engine: engine(1, { running: 1 }), named: NAMED, turn: "now", move: undefined }, 0);
    assert.equal(step.kind, "announce");
});

testing.test("guards against a wind-down that begins anew with each version that is named", () => {
    const winding = move({ announcedAt: undefined });
    const newer = { model: "menu", version: 3, revision: 41 };
    const loaded = engine(1, { running: 20 });
    const step = moves.nextStep({ engine: loaded, named: newer, turn: "now", move: winding }, 900);
    assert.equal(step.kind === "announce" && step.move.version, 3);
});
