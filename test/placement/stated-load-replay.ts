/** Replays a load of many entries and few HTTP servers, with the decisions of the entries and a minimal server. */
import type * as fleet from "../../src/fleet/types.js";
import * as views from "../../src/forwarding/fleet-view.js";
import type * as peering from "../../src/peering/types.js";
import * as selection from "../../src/placement/selection.js";
import * as serverHealth from "../../src/placement/server-health.js";
import * as serverLoads from "../../src/placement/server-load.js";

const SLOTS = 6;
const QUEUE = 24;
const WORK_MS = 40;
const HEARTBEAT_MS = 200;
const RETRY_MS = 10;
const SETTINGS = { outdatedPenaltyFromMs: 1200, outdatedExcludedFromMs: 6000, crossDataCentreMs: 6 };

export interface Course {
    readonly entries: number;
    readonly servers: number;
    readonly durationMs: number;
    /** Calls a second of all entries together. */
    readonly callsPerSecond: (now: number) => number;
    /** Duration of work at a server, relative to the usual one. */
    readonly pace: (server: number, now: number) => number;
    /** Entries learn what servers state. */
    readonly usesStatements: boolean;
    /** Share of the heartbeats that are lost, and their delay in milliseconds. */
    readonly lostHeartbeats: number;
    readonly transitMs: number;
    readonly random: () => number;
}

export interface Outcome {
    /** Calls that a server rejected. */
    rejected: number;
    /** Times in milliseconds from arrival to response. */
    readonly times: number[];
}

interface Call {
    readonly entry: Entry;
    readonly arrivedAt: number;
    readonly tried: Set<string>;
}

interface Entry {
    readonly name: string;
    readonly load: serverLoads.ServerLoadTracker;
    readonly view: views.FleetView;
}

interface Server {
    readonly running: { readonly endsAt: number; readonly finish: () => void; }[];
    readonly waiting: (() => void)[];
}

function createEntry(name: string, servers: number): Entry {
    const load = new serverLoads.ServerLoadTracker();
    const health = new serverHealth.ServerHealth();
    const limits = { stateOf: () => "none" as const, retain: () => undefined };
    const view = new views.FleetView({ serverLoad: load, serverHealth: health, serverLimits: limits });
    const listed = Array.from({ length: servers }, (_, index): fleet.BackendServer => ({
        id: `${index}`,
        startedAt: 1,
        service: "booking",
        address: `10.0.0.${index}:80`,
        dataCentre: "one",
        slots: SLOTS,
        state: "ready",
        softwareVersion: "v1",
        weights: new Map(),
    }));
    view.updateServers(listed, 0);
    return { name, load, view };
}

export function replay(course: Course): Outcome {
    const outcome: Outcome = { rejected: 0, times: [] };
    const entries = Array.from({ length: course.entries }, (_, index) => createEntry(`${index}`, course.servers));
    const servers = Array.from({ length: course.servers }, (): Server => ({ running: [], waiting: [] }));
    const events: { readonly at: number; readonly run: () => void; }[] = [];
    let now = 0;

    const statedLoad = (server: number): fleet.StatedLoad => {
        const { running, waiting } = servers[server]!;
        return { running: running.length, waiting: waiting.length, slots: SLOTS, pace: course.pace(server, now) };
    };
    const placeCall = (call: Call) => {
        const { entry } = call;
        const decision = selection.chooseServer(
            entry.view.candidates("booking", undefined, now),
            {
                affinityKey: undefined,
                sharedTokens: 0,
                prefillingServers: new Set(),
                unsharedTokens: 0,
                expectedOutputTokens: 0,
                triedServers: call.tried,
                dataCentre: "one",
                utilization: 0,
                isShort: false,
                isHttpService: true,
                isContended: course.usesStatements,
            },
            { msPerPromptToken: 0.02, callMs: WORK_MS },
            SETTINGS,
            course.random,
        );
        if (decision.kind === "none") {
            call.tried.clear();
            events.push({ at: now + RETRY_MS, run: () => placeCall(call) });
            return;
        }
        const { server } = decision.candidate;
        arrive(call, server, entry.load.place(server.id, 0));
    };
    const arrive = (call: Call, server: fleet.BackendServer, placed: Disposable) => {
        const { statedLoads } = call.entry.view;
        const index = Number(server.id);
        const { running, waiting } = servers[index]!;
        const ownCalls = () => call.entry.load.ownCalls(server.id);
        if (running.length >= SLOTS && waiting.length >= QUEUE) {
            outcome.rejected++;
            if (course.usesStatements) {
                statedLoads.recordRejection(server, { load: statedLoad(index), isEngine: false }, ownCalls(), now);
            }
            placed[Symbol.dispose]();
            call.tried.add(server.id);
            placeCall(call);
            return;
        }
        const begin = () => {
            const endsAt = now + WORK_MS * course.pace(index, now) * (0.5 + course.random());
            running.push({
                endsAt,
                finish: () => {
                    outcome.times.push(now - call.arrivedAt);
                    waiting.shift()?.();
                    if (course.usesStatements) {
                        statedLoads.record(server, statedLoad(index), ownCalls(), now);
                    }
                    placed[Symbol.dispose]();
                },
            });
        };
        if (running.length < SLOTS) {
            begin();
        }
        else {
            waiting.push(begin);
        }
    };
    const sendHeartbeat = (sender: Entry) => {
        const loads = sender.load.snapshot();
        const statements: readonly peering.LoadStatement[] = sender.view.statedLoads.snapshot(now);
        for (const receiver of entries.filter(entry => entry !== sender && course.random() >= course.lostHeartbeats)) {
            events.push({
                at: now + course.transitMs,
                run: () => {
                    receiver.load.applyPeer(sender.name, loads, now);
                    receiver.view.statedLoads.applyPeer(statements, id => receiver.load.ownCalls(id), now);
                },
            });
        }
    };
    for (; now < course.durationMs; now++) {
        for (const { running } of servers) {
            const ended = running.filter(({ endsAt }) => endsAt <= now);
            for (const run of ended) {
                running.splice(running.indexOf(run), 1);
                run.finish();
            }
        }
        const due = events.filter(({ at }) => at <= now);
        due.forEach(event => void events.splice(events.indexOf(event), 1));
        due.forEach(event => event.run());
        entries.filter((_, index) => (now + index * 7) % HEARTBEAT_MS === 0).forEach(sendHeartbeat);
        if (course.random() < course.callsPerSecond(now) / 1000) {
            const entry = entries[Math.floor(course.random() * entries.length)]!;
            placeCall({ entry, arrivedAt: now, tried: new Set() });
        }
    }
    return outcome;
}
