/** Guards against places that waste time or cached parts. Each test names the load that it replays. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as fleet from "../../src/fleet/types.js";
import * as selection from "../../src/placement/selection.js";
import type * as types from "../../src/placement/types.js";

const SETTINGS = { outdatedCostsFromMs: 1200, outdatedForbiddenFromMs: 6000, crossingMs: 6 };
const PACE: types.Pace = { msPerPromptToken: 0.015, callMs: 80 };

function server(id: string, changes: Partial<fleet.BackendServer> = {}): fleet.BackendServer {
    return {
        id,
        startedAt: 1,
        service: "menu",
        address: `10.0.0.${id}:8000`,
        dataCentre: "one",
        slots: 96,
        state: "ready",
        weights: new Map([["menu", 1]]),
        ...changes,
    };
}

function candidate(id: string, changes: Partial<types.Candidate> = {}): types.Candidate {
    return {
        server: server(id),
        calls: 0,
        unreadTokens: 0,
        weightsVersion: 1,
        outdatedForMs: undefined,
        isMoving: false,
        isWindingDown: false,
        isSuspected: false,
        failureShare: 0,
        ...changes,
    };
}

const REVIEW: types.Demand = {
    affinityKey: "/wall",
    sharedTokens: 6300,
    readers: new Set(),
    ownTokens: 2900,
    outputTokens: 10,
    tried: new Set(),
    dataCentre: "one",
    isPlain: false,
};

function choose(candidates: readonly types.Candidate[], demand = REVIEW): types.Choice {
    return selection.choose(candidates, demand, PACE, SETTINGS, 0.5);
}

function chosen(choice: types.Choice): string {
    return choice.kind === "server" ? choice.candidate.server.id : choice.reason;
}

const IDS = ["1", "2", "3", "4"];
const IDLE = IDS.map(id => candidate(id));
const HOME = chosen(choose(IDLE));

testing.test("calm: all entries send a shared part to the same server, in any order of the list", () => {
    assert.equal(chosen(choose(IDLE.toReversed())), HOME);
    const choice = choose(IDLE);
    assert.ok(choice.kind === "server" && choice.isHome);
});

testing.test("hot key: the home is left when its queue costs more than reading elsewhere", () => {
    const short = IDLE.map(entry => entry.server.id === HOME ? { ...entry, unreadTokens: 3000 } : entry);
    assert.equal(chosen(choose(short)), HOME);
    const long = IDLE.map(entry => entry.server.id === HOME ? { ...entry, unreadTokens: 20_000 } : entry);
    assert.notEqual(chosen(choose(long)), HOME);
});

testing.test("crash: a suspected home is left, and its parts come back to it afterwards", () => {
    const suspected = IDLE.map(entry => ({ ...entry, isSuspected: entry.server.id === HOME }));
    assert.notEqual(chosen(choose(suspected)), HOME);
    assert.equal(chosen(choose(IDLE)), HOME);
});

testing.test("new weights: a server that moves gets nothing, an outdated one only what others cannot take", () => {
    const moving = IDLE.map(entry => ({ ...entry, isMoving: entry.server.id === HOME }));
    assert.notEqual(chosen(choose(moving)), HOME);
    const outdated = IDLE.map(entry => entry.server.id === HOME ? { ...entry, outdatedForMs: 2000 } : entry);
    assert.notEqual(chosen(choose(outdated)), HOME);
    const allOutdated = IDLE.map(entry => ({ ...entry, outdatedForMs: 2000 }));
    assert.equal(chosen(choose(allOutdated)), HOME);
});

testing.test("guards against calls that begin on weights past their bound", () => {
    const expired = IDLE.map(entry => ({ ...entry, outdatedForMs: 6000 }));
    assert.equal(chosen(choose(expired)), "all-outdated");
});

testing.test("guards against new work at a server that leaves", () => {
    const leaving = IDLE.map(entry => {
        return entry.server.id === HOME ? { ...entry, server: server(HOME, { state: "draining" }) } : entry;
    });
    const choice = choose(leaving);
    assert.notEqual(chosen(choice), HOME);
    assert.ok(choice.kind === "server" && choice.home?.id !== HOME);
});

testing.test("overload: a call waits at the entry and not in the queue of a full plain server", () => {
    const booking: types.Demand = { ...REVIEW, affinityKey: undefined, sharedTokens: 0, ownTokens: 0, isPlain: true };
    const full = IDS.map(id => candidate(id, { server: server(id, { slots: 6 }), calls: 9 }));
    assert.equal(chosen(choose(full, booking)), "all-full");
    const free = full.with(2, { ...full[2]!, calls: 8 });
    assert.equal(chosen(choose(free, booking)), "3");
});

testing.test("grey server: one that fails many calls gets them only when the others are loaded", () => {
    const booking: types.Demand = { ...REVIEW, affinityKey: undefined, sharedTokens: 0, ownTokens: 0, isPlain: true };
    const grey = IDS.map(id => {
        const failureShare = id === "1" ? 0.4 : 0;
        return candidate(id, { server: server(id, { slots: 6 }), calls: id === "1" ? 0 : 5, failureShare });
    });
    assert.notEqual(chosen(choose(grey, booking)), "1");
});

testing.test("equal data centres: the near one is chosen", () => {
    const plain: types.Demand = { ...REVIEW, affinityKey: undefined, sharedTokens: 0 };
    const far = IDS.map(id => candidate(id, { server: server(id, { dataCentre: id === "3" ? "one" : "two" }) }));
    assert.equal(chosen(choose(far, plain)), "3");
});

testing.test("new weights: a long answer avoids a server that loads next, a short one stays with its cached parts", () => {
    const winding = IDLE.map(entry => ({ ...entry, isWindingDown: entry.server.id === HOME }));
    assert.notEqual(chosen(choose(winding, { ...REVIEW, outputTokens: 150 })), HOME);
    assert.equal(chosen(choose(winding, { ...REVIEW, outputTokens: 8 })), HOME);
    const busy = winding.map(entry => entry.isWindingDown ? entry : { ...entry, unreadTokens: 100_000 });
    assert.equal(chosen(choose(busy, { ...REVIEW, outputTokens: 150 })), HOME);
});

testing.test("cold parts: guards against a second server that reads what another one reads now", () => {
    const reader = IDS.find(id => id !== HOME)!;
    const demand = { ...REVIEW, readers: new Set([reader]) };
    const busier = IDLE.map(entry => entry.server.id === reader ? { ...entry, unreadTokens: 12_000 } : entry);
    assert.equal(chosen(choose(busier, demand)), reader);
    const overloaded = IDLE.map(entry => entry.server.id === reader ? { ...entry, unreadTokens: 60_000 } : entry);
    assert.notEqual(chosen(choose(overloaded, demand)), reader);
});
