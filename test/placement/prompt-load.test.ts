/**
 * Replays the arrivals of short and of long prompts at the servers of one service, with several entries that learn of each
 * other's calls by heartbeats. Guards against long prompts that hold up the streams of short ones. Titles start with the
 * load.
 */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as promptDemands from "../../src/placement/prompt-demand.js";
import * as promptGroups from "../../src/placement/prompt-groups.js";
import * as selection from "../../src/placement/selection.js";
import * as serverLoads from "../../src/placement/server-load.js";
import type * as types from "../../src/placement/types.js";
import * as builders from "../support/placement-builders.js";
import * as prefillEngines from "../support/prefill-engine.js";
import * as simulationClock from "../support/simulation-clock.js";

const SEED = 11;
const SETTINGS = { outdatedPenaltyFromMs: 1200, outdatedExcludedFromMs: 6000, crossDataCentreMs: 6 };
const LATENCY: types.LatencyEstimate = { msPerPromptToken: 0.03, callMs: 80 };
const ENTRIES = 6;
const HEARTBEAT_MS = 150;
const DURATION_MS = 12_000;
/** Calls before this time are not counted, since the entries do not know the demand yet. */
const WARM_UP_MS = 2000;
const TARGET_GAP_MS = 400;
const TARGET_LATENCY_MS: Readonly<Record<types.PromptKind, number>> = { short: 407, long: 615 };
/** The product's target: 95 of 100 calls are on time. */
const MAXIMUM_LATE_SHARE = 0.05;
const PARTS = 400;
/** Time of the engine steps of each third server, whose machine others use as well, relative to those of the others. */
const BUSY_MACHINE_PACE = 1.6;

interface Kind {
    readonly perSecond: (now: number) => number;
    readonly sharedTokens: number;
    readonly uniqueTokens: number;
    readonly outputTokens: number;
    readonly priority: number;
}

const SHORT: Kind = { perSecond: () => 117, sharedTokens: 198, uniqueTokens: 628, outputTokens: 58, priority: 0 };
const LONG: Kind = { perSecond: () => 58, sharedTokens: 6300, uniqueTokens: 2890, outputTokens: 10, priority: 1 };

interface Load {
    readonly servers: number;
    readonly short: Kind;
    readonly long: Kind;
    readonly isDivided: boolean;
    /** Whether a server has crashed by the given time. */
    readonly isDown?: (index: number, now: number) => boolean;
    /** Time at which the servers lose all cached parts. */
    readonly partsLostAt?: number;
}

interface KindResult {
    calls: number;
    /** Calls whose first event, or a pause between events, was late. */
    late: number;
}

type Results = Record<types.PromptKind, KindResult>;

const CONFIGURATION = builders.configurationOf([builders.streamRoute({ targetGapMs: TARGET_GAP_MS })]);

class Replay {
    readonly results: Results = { short: { calls: 0, late: 0 }, long: { calls: 0, late: 0 } };
    private readonly random = simulationClock.randomGenerator(SEED);
    private readonly engines: readonly prefillEngines.PrefillEngine[];
    private readonly cachedParts: readonly Set<string>[];
    private readonly entries = Array.from({ length: ENTRIES }, () => {
        const demands = new promptDemands.PromptDemands(() => ENTRIES);
        const journal = { emit: () => undefined };
        return {
            loads: new serverLoads.ServerLoadTracker(),
            demands,
            groups: new promptGroups.PromptGroups({ journal, demands }),
        };
    });

    constructor(private readonly load: Load) {
        this.engines = Array.from(
            { length: load.servers },
            (_, index) => new prefillEngines.PrefillEngine(index % 3 === 0 ? BUSY_MACHINE_PACE : 1),
        );
        this.cachedParts = Array.from({ length: load.servers }, () => new Set());
    }

    run(): Results {
        for (let now = 0; now < DURATION_MS; now++) {
            if (now % HEARTBEAT_MS === 0) {
                this.exchange(now);
            }
            if (now === this.load.partsLostAt) {
                this.cachedParts.forEach(parts => parts.clear());
            }
            for (const kind of ["short", "long"] as const) {
                if (this.random() < this.load[kind].perSecond(now) / 1000) {
                    this.place(kind, now);
                }
            }
            this.engines.forEach(engine => engine.advance(now));
        }
        this.engines.forEach(engine => engine.advance(DURATION_MS + 10_000));
        return this.results;
    }

    private exchange(now: number): void {
        const sent = this.entries.map(({ loads, demands }) => ({
            loads: loads.snapshot(),
            demands: demands.snapshot(now),
        }));
        this.entries.forEach(({ loads, demands }, index) => {
            sent.forEach((state, peer) => {
                if (peer !== index) {
                    loads.applyPeer(`e-${peer}`, state.loads, now);
                    demands.applyPeer(`e-${peer}`, state.demands, now);
                }
            });
        });
    }

    private place(kind: types.PromptKind, now: number): void {
        const { sharedTokens, uniqueTokens, outputTokens, priority } = this.load[kind];
        const { loads, groups } = this.entries[Math.floor(this.random() * ENTRIES)]!;
        const part = `${kind}-${Math.floor(this.random() * PARTS)}`;
        const call = {
            service: "menu",
            promptTokens: sharedTokens + uniqueTokens,
            targetLatencyMs: TARGET_LATENCY_MS[kind],
            routePriority: priority,
        };
        const candidates = this.candidates(loads, now);
        const group = this.load.isDivided
            ? groups.groupOf(call, candidates, CONFIGURATION, LATENCY, now)
            : undefined;
        const decision = selection.chooseServer(
            candidates,
            {
                affinityKey: part,
                sharedTokens,
                prefillingServers: new Set(),
                unsharedTokens: uniqueTokens,
                expectedOutputTokens: outputTokens,
                triedServers: new Set(),
                dataCentre: "centre-0",
                utilization: 0.3,
                isShort: kind === "short",
                isHttpService: false,
                group,
            },
            LATENCY,
            SETTINGS,
            this.random,
        );
        const isCounted = now >= WARM_UP_MS;
        const result = this.results[kind];
        result.calls += isCounted ? 1 : 0;
        if (decision.kind === "none") {
            result.late += isCounted ? 1 : 0;
            return;
        }
        const index = Number(decision.candidate.server.id.split("-")[1]);
        const isCached = this.cachedParts[index]!.has(part);
        this.cachedParts[index]!.add(part);
        const uncachedTokens = uniqueTokens + (isCached ? 0 : sharedTokens);
        const placed = loads.place(decision.candidate.server.id, uncachedTokens);
        const prefillMs = uncachedTokens * LATENCY.msPerPromptToken;
        const counted = groups.place(call, kind, prefillMs, now);
        let firstEventMs = 0;
        this.engines[index]!.add({
            arrivedAt: now,
            outputTokens,
            onFirstEvent: at => {
                firstEventMs = at - now;
                placed.promptPrefilled();
            },
            onEnd: longestPauseMs => {
                placed[Symbol.dispose]();
                counted[Symbol.dispose]();
                const isLate = firstEventMs > call.targetLatencyMs || longestPauseMs > TARGET_GAP_MS;
                result.late += isCounted && isLate ? 1 : 0;
            },
        }, uncachedTokens);
    }

    private candidates(loads: serverLoads.ServerLoadTracker, now: number): readonly types.Candidate[] {
        return this.engines.map((_, index) => {
            const id = `i-${index}`;
            return {
                server: {
                    id,
                    startedAt: 1,
                    service: "menu",
                    address: `10.0.0.${index}:80`,
                    dataCentre: `centre-${index % 4}`,
                    slots: 48,
                    state: "ready" as const,
                    softwareVersion: "v1",
                    weights: new Map([["m", 1]]),
                },
                ...loads.totalLoad(id, now),
                weightsVersion: 1,
                outdatedForMs: undefined,
                pauseMs: 0,
                limit: "none" as const,
                isUpdatingWeights: false,
                isUpdatePending: false,
                isSuspected: this.load.isDown?.(index, now) ?? false,
                failureShare: 0,
            };
        });
    }
}

/** Results of the same arrivals with and without a division. */
function replay(load: Omit<Load, "isDivided">): Readonly<Record<"divided" | "shared", Results>> {
    return {
        divided: new Replay({ ...load, isDivided: true }).run(),
        shared: new Replay({ ...load, isDivided: false }).run(),
    };
}

function lateShare({ calls, late }: KindResult): number {
    return late / Math.max(1, calls);
}

function lateCalls({ short, long }: Results): number {
    return short.late + long.late;
}

const STEADY = { servers: 36, short: SHORT, long: LONG };

const MIXED_LOADS: Readonly<Record<string, Omit<Load, "isDivided">>> = {
    "steady load of both kinds": STEADY,
    "burst: long prompts arrive 2.5 times as often for six seconds": {
        ...STEADY,
        long: { ...LONG, perSecond: now => now > 4000 && now < 10_000 ? 145 : 58 },
    },
    "crash: a third of the servers is gone": { ...STEADY, isDown: (index, now) => now > 4000 && index % 3 === 1 },
    "new weights: no part is cached": { ...STEADY, partsLostAt: 5000 },
    "small deployment": {
        servers: 8,
        short: { ...SHORT, perSecond: () => 26 },
        long: { ...LONG, perSecond: () => 13 },
    },
};

for (const [title, load] of Object.entries(MIXED_LOADS)) {
    testing.test(`${title}: short prompts are on time, and fewer calls are late than with shared servers`, () => {
        const { divided, shared } = replay(load);
        const figures = JSON.stringify({ divided, shared });
        assert.ok(lateShare(divided.short) <= MAXIMUM_LATE_SHARE, figures);
        assert.ok(divided.short.late < shared.short.late, figures);
        assert.ok(lateCalls(divided) < lateCalls(shared), figures);
    });
}

testing.test("crash of all servers but two: both kinds share them, and as many calls are on time as without a division", () => {
    const { divided, shared } = replay({ ...STEADY, isDown: (index, now) => now > 8000 && index > 1 });
    assert.ok(lateCalls(divided) <= lateCalls(shared), JSON.stringify({ divided, shared }));
});

testing.test("only short prompts: the division vanishes, and none is late", () => {
    const { divided, shared } = replay({ ...STEADY, long: { ...LONG, perSecond: () => 0 } });
    assert.deepEqual(divided, shared);
    assert.equal(divided.short.late, 0);
});
