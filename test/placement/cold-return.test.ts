/**
 * Guards against requests to cold servers beyond their bound in any second, over all entries together, and against cold
 * servers that are hardly used. Load: a data centre returns cold while each entry holds many calls.
 */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as fleet from "../../src/fleet/types.js";
import type * as peering from "../../src/peering/types.js";
import * as coldRates from "../../src/placement/cold-rate.js";
import * as coldServers from "../../src/placement/cold-servers.js";
import * as selection from "../../src/placement/selection.js";
import * as serverLimits from "../../src/placement/server-limits.js";
import type * as placement from "../../src/placement/types.js";
import * as builders from "../support/placement-builders.js";
import * as simulationClock from "../support/simulation-clock.js";

const COLD_START: fleet.ColdStart = { durationMs: 3000, requestsPerSecond: 16 };
const BOUNDS: coldRates.ColdBounds = { overshootFactor: 1.5, slackRequests: 5 };
/** Requests in any second: the rate of a cold server times the overshoot, and the slack. */
const TOLERATED_REQUESTS = 29;
const SETTINGS = { outdatedPenaltyFromMs: 1200, outdatedExcludedFromMs: 6000, crossDataCentreMs: 6 };
const LATENCY: placement.LatencyEstimate = { msPerPromptToken: 0.015, callMs: 80 };
const STEP_MS = 20;
const HEARTBEAT_MS = 160;
const SLOT_MS = 200;
/** Longest delay in milliseconds of a late heartbeat. */
const LATE_MS = 300;
const RETURN_AT = 6000;
const END_AT = 10_000;
/** Calls that each entry holds in each step while it has many. */
const CALLS_IN_STEP = 4;

interface Course {
    readonly entries: number;
    readonly servers: number;
    /** Calls of the entry in this step. */
    readonly calls?: (entry: number, now: number) => number;
    readonly isCut?: (entry: number, now: number) => boolean;
    /** Whether the entry starts again in this step. */
    readonly restarts?: (entry: number, now: number) => boolean;
    /** Whether the servers become cold a second time, before their first cold time is over. */
    readonly isColdAgain?: boolean;
    /** Time in milliseconds in which the entries learn of each other's requests; it follows their number. */
    readonly slotMs?: (now: number) => number;
    /** Two halves of the entries have been apart since they started. */
    readonly isDivided?: boolean;
}

interface Message {
    readonly from: string;
    readonly incarnation: string;
    readonly arrivesAt: number;
    readonly limits: readonly peering.ServerLimit[];
}

/** An entry: what it knows of cold servers and limits. Its clock begins at its own start. */
class SimulatedEntry {
    readonly cold = new coldServers.ColdServers({
        journal: { emit: () => undefined },
        bounds: BOUNDS,
        coldStart: () => COLD_START,
        isFirstStart: false,
    });
    readonly limits: serverLimits.ServerLimits;
    readonly incarnation: string;

    constructor(
        readonly name: string,
        private readonly startedAt: number,
        clockOffset: number,
        entries: number,
        slotMs: () => number,
    ) {
        this.incarnation = `${name}-${startedAt}`;
        this.clockOffset = clockOffset;
        this.limits = new serverLimits.ServerLimits({
            journal: { emit: () => undefined },
            self: name,
            slotMs,
            ledger: { overdraftTokens: 0, silenceMs: () => 700, expiryMs: 30_000 },
            cold: {
                limitOf: (server, now) => this.cold.limitOf(server, now),
                registeredEntries: () => ({ registered: entries, hasRead: true }),
                startedAt: this.localTime(startedAt),
            },
        });
    }

    private readonly clockOffset: number;

    localTime(now: number): number {
        return now - this.startedAt + this.clockOffset;
    }
}

function serverOf(index: number, changes: Partial<fleet.BackendServer>): fleet.BackendServer {
    return builders.serverOf(`server-${index}`, { startedAt: -100_000, coldRemainingMs: 0, revision: 1, ...changes });
}

function candidateOf(server: fleet.BackendServer, entry: SimulatedEntry, now: number): placement.Candidate {
    return builders.candidateOf(server, {
        limit: entry.limits.stateOf(server.id, now),
        isCold: entry.cold.isCold(server.id, now),
    });
}

function requestOf(index: number): placement.PlacementRequest {
    return {
        affinityKey: `/${index % 40}`,
        sharedTokens: 6300,
        prefillingServers: new Set(),
        unsharedTokens: 2900,
        expectedOutputTokens: 10,
        triedServers: new Set(),
        dataCentre: "one",
        utilization: 0.9,
        isShort: index % 4 === 0,
        isHttpService: false,
    };
}

/** Times of the requests by server from the return on, while all servers are cold. */
function simulate(course: Course, seed: number): ReadonlyMap<string, readonly number[]> {
    const { random } = new simulationClock.SimulationClock(seed);
    let presentTime = 0;
    const halfOf = (name: string) => Number(name.split("-")[1]) % 2;
    const create = (entry: number, now: number) => {
        const slotMs = () => course.slotMs?.(presentTime) ?? SLOT_MS;
        const created = new SimulatedEntry(`entry-${entry}`, now, random() * 10_000, course.entries, slotMs);
        created.cold.recordServers(listed(now), { now: created.localTime(now), wallTime: now });
        return created;
    };
    const listed = (now: number) => {
        const restartedAt = course.isColdAgain === true && now >= RETURN_AT + 1000 ? RETURN_AT + 1000 : RETURN_AT;
        return now < RETURN_AT ? [] : Array.from({ length: course.servers }, (_, index) =>
            serverOf(index, {
                startedAt: RETURN_AT,
                coldRemainingMs: Math.max(0, restartedAt + COLD_START.durationMs - now),
                revision: restartedAt,
            }));
    };
    const entries = Array.from({ length: course.entries }, (_, entry) => create(entry, 0));
    const sent = new Map<string, number[]>();
    let messages: Message[] = [];
    let calls = 0;
    for (let now = 0; now < END_AT; now += STEP_MS) {
        presentTime = now;
        const arrived = messages.filter(({ arrivesAt }) => arrivesAt <= now);
        messages = messages.filter(({ arrivesAt }) => arrivesAt > now);
        const servers = listed(now);
        entries.forEach((own, index) => {
            const isCut = course.isCut?.(index, now) === true;
            if (course.restarts?.(index, now) === true) {
                entries[index] = create(index, now);
                return;
            }
            const local = own.localTime(now);
            for (
                const { from, incarnation, limits } of arrived.filter(message => message.from !== own.name && !isCut)
            ) {
                if (course.isDivided === true && halfOf(from) !== halfOf(own.name)) {
                    continue;
                }
                own.limits.applyPeer(from, incarnation, limits, local);
            }
            own.cold.recordServers(servers, { now: local, wallTime: now });
            const held = course.calls?.(index, now) ?? CALLS_IN_STEP;
            for (let call = 0; call < held && servers.length > 0; call++) {
                const candidates = servers.map(server => candidateOf(server, own, local));
                const choice = selection.chooseServer(candidates, requestOf(calls++), LATENCY, SETTINGS, random);
                if (choice.kind === "none") {
                    break;
                }
                const { id } = choice.candidate.server;
                own.limits.recordRequest(id, local);
                sent.set(id, [...sent.get(id) ?? [], now]);
            }
            if (!isCut && Math.floor(local / HEARTBEAT_MS) !== Math.floor((local - STEP_MS) / HEARTBEAT_MS)) {
                const arrivesAt = now + random() * LATE_MS;
                messages.push({
                    from: own.name,
                    incarnation: own.incarnation,
                    arrivesAt,
                    limits: own.limits.snapshot(local),
                });
            }
        });
    }
    const coldUntil = RETURN_AT + COLD_START.durationMs;
    return new Map([...sent].map(([id, times]) => [id, times.filter(at => at < coldUntil)]));
}

function busiestSecond(times: readonly number[]): number {
    return Math.max(0, ...times.map(from => times.filter(at => at >= from && at < from + 1000).length));
}

/** Returns the mean requests a second of a server. */
function assertWithinBound(course: Course, seeds: number): number {
    let total = 0;
    for (let seed = 1; seed <= seeds; seed++) {
        for (const [server, times] of simulate(course, seed)) {
            const busiest = busiestSecond(times);
            total += times.length;
            assert.ok(
                busiest <= TOLERATED_REQUESTS,
                `seed ${seed}, ${course.entries} entries: ${busiest} requests to ${server} in a second`,
            );
        }
    }
    return total / seeds / course.servers / (COLD_START.durationMs / 1000);
}

for (
    const { entries, servers, seeds, used } of [
        { entries: 1, servers: 4, seeds: 3, used: 15 },
        { entries: 4, servers: 8, seeds: 3, used: 14 },
        { entries: 10, servers: 8, seeds: 3, used: 9 },
        { entries: 26, servers: 11, seeds: 4, used: 14 },
        { entries: 70, servers: 6, seeds: 2, used: 7 },
    ]
) {
    testing.test(`a data centre that returns cold is within its bound in each second, with ${entries} entries`, () => {
        const rate = assertWithinBound({ entries, servers }, seeds);
        assert.ok(rate >= used && rate <= TOLERATED_REQUESTS, `${rate} requests a second at each cold server`);
    });
}

testing.test("guards against requests that are forgotten when the heartbeats change their period", () => {
    const slotMs = (now: number) => 200 * (1 + Math.max(0, RETURN_AT + 1200 - now) / 5000);
    assertWithinBound({ entries: 26, servers: 8, slotMs }, 4);
});

testing.test("guards against two halves of the entries that each take the whole rate", () => {
    assertWithinBound({ entries: 26, servers: 8, isDivided: true }, 4);
});

testing.test("bursts of calls after a pause keep the bound", () => {
    assertWithinBound({ entries: 26, servers: 8, calls: (_entry, now) => now % 1300 < 100 ? 20 : 0 }, 4);
    assertWithinBound({ entries: 70, servers: 4, calls: (_entry, now) => now % 1300 < 100 ? 20 : 0 }, 2);
});

testing.test("entries that are cut off keep to their part, also for the whole time", () => {
    const isCut = (entry: number, now: number) => entry % 3 === 0 && now > RETURN_AT - 3000;
    assertWithinBound({ entries: 26, servers: 8, isCut }, 4);
    assertWithinBound({ entries: 26, servers: 8, isCut: entry => entry % 3 === 0 }, 4);
    assertWithinBound({ entries: 26, servers: 8, isCut: () => true }, 2);
});

testing.test("entries that start again during the cold time, one or many at once, keep the bound", () => {
    const restarts = (entry: number, now: number) => entry % 2 === 0 && now === RETURN_AT + 900;
    assertWithinBound({ entries: 26, servers: 8, restarts }, 4);
    assertWithinBound({ entries: 26, servers: 8, restarts: (_entry, now) => now === RETURN_AT + 400 }, 4);
    assertWithinBound({ entries: 26, servers: 8, restarts: (entry, now) => now === RETURN_AT + entry * 100 }, 4);
});

testing.test("a server that becomes cold again stays within the bound for longer", () => {
    const sent = simulate({ entries: 26, servers: 2, isColdAgain: true }, 1);
    sent.forEach(times => assert.ok(busiestSecond(times) <= TOLERATED_REQUESTS));
});

testing.test("warm servers are preferred to cold ones until they have a queue, with long prompts for longer", () => {
    const base = { pauseMs: 0, failureShare: 0, calls: 0, pendingPromptTokens: 0, weightsVersion: 1 };
    const flags = { outdatedForMs: undefined, isUpdatingWeights: false, isUpdatePending: false, isSuspected: false };
    const cold = (limit: placement.Candidate["limit"]): placement.Candidate => {
        return { ...base, ...flags, server: serverOf(0, {}), isCold: true, limit };
    };
    const warm = (calls: number): placement.Candidate => {
        return { ...base, ...flags, calls, server: serverOf(1, {}), isCold: false, limit: "none" };
    };
    const choose = (candidates: readonly placement.Candidate[], isShort: boolean) => {
        const tokens = isShort ? { sharedTokens: 200, unsharedTokens: 600 } : {};
        const request = { ...requestOf(1), ...tokens, affinityKey: undefined, isShort };
        return selection.chooseServer(candidates, request, LATENCY, SETTINGS, () => 0.5);
    };
    const chosen = (decision: placement.PlacementDecision) => {
        return decision.kind === "server" ? decision.candidate.server.id : decision.reason;
    };
    const busy = (pendingPromptTokens: number) => ({ ...warm(10), pendingPromptTokens });
    assert.equal(chosen(choose([cold("open"), busy(500)], true)), "server-1");
    assert.equal(chosen(choose([cold("open"), busy(5000)], true)), "server-0");
    assert.equal(chosen(choose([cold("open"), busy(5000)], false)), "server-1");
    assert.equal(chosen(choose([cold("open"), busy(30_000)], false)), "server-0");
    assert.equal(chosen(choose([cold("open"), warm(96)], true)), "server-0");
    assert.equal(chosen(choose([cold("closed"), warm(96)], true)), "all-full");
    assert.equal(chosen(choose([cold("closed")], false)), "all-cold");
});

testing.test("an entry that has just started leaves cold servers alone until it knows how many entries share them", () => {
    const known = { active: 1, reachable: 1, registered: 1, hasRead: false, runningMs: 100 };
    assert.equal(coldRates.sharingEntries(known), undefined);
    assert.equal(coldRates.sharingEntries({ ...known, hasRead: true, registered: 26 }), 26);
    assert.equal(coldRates.sharingEntries({ ...known, registered: 4, runningMs: 36_000 }), 4);
    const settled = { active: 26, reachable: 25, registered: 30, hasRead: true, runningMs: 36_000 };
    assert.equal(coldRates.sharingEntries(settled), 26);
    assert.equal(coldRates.sharingEntries({ ...settled, active: 20, reachable: 1 }), 30);
    assert.equal(coldRates.sharingEntries({ ...settled, active: 13, reachable: 13, runningMs: 6000 }), 30);
});
