/**
 * An entry's part in the rollouts of services: splits calls between the versions, counts their outcomes, and finds out with
 * the counts of all entries whether a new version is worse. Any entry that finds it ends the rollout for all.
 */
import type * as event from "../core/event.js";
import * as hashing from "../core/hashing.js";
import type * as fleet from "../fleet/types.js";
import type * as peering from "../peering/types.js";
import type * as placement from "../placement/types.js";
import type * as quarantine from "../quarantine/suspect-tracker.js";
import * as callOutcomes from "./call-outcome.js";
import * as outcomeTotals from "./collection.js";
import * as evidence from "./evidence.js";
import * as stages from "./service-stage.js";
import type * as types from "./types.js";

/** Names under which the evidence compares the versions; several old ones count as one. */
const VERSIONS: evidence.Versions = { from: "from", to: "to" };
/** Calls of the new version that have to end before it gets more than its first share. */
const SUFFICIENT_CALLS = 15;
/** Time in milliseconds within which calls lost at one server are ascribed to one crash. */
const LOSSES_OF_CRASH_MS = 1000;
/** The servers' load is not known per call; all calls of a route are compared with each other. */
const LOAD_LEVEL: types.LoadLevel = "low";

/** Outcome of one attempt. */
export interface AttemptOutcome {
    readonly service: string;
    readonly softwareVersion: string | undefined;
    readonly route: string;
    readonly server: string;
    /**
     * - `answered`: the whole answer arrived.
     * - `failed`: the server answered with a failure.
     * - `lost`: the connection was lost; one crash loses many calls, which count as one failure.
     * - `abandoned`: the attempt was given up before its outcome was known, which can only show that it was slow.
     */
    readonly end: "answered" | "failed" | "lost" | "abandoned";
    readonly times: callOutcomes.CallTimes;
}

interface Rollout {
    readonly order: fleet.RolloutOrder;
    /** Time at which the order was given, as far as is known. */
    readonly startedAt: number;
    readonly stage: stages.Stage;
    readonly baseline: callOutcomes.LatencyBaseline;
    readonly ownCounts: Map<string, types.OutcomeCount>;
    readonly peerCounts: outcomeTotals.OutcomeTotals;
    /** Servers of older versions that were listed before the rollout was complete. */
    readonly replacedServers: Set<string>;
}

export interface RolloutPorts {
    readonly journal: event.Journal;
    /** Called when a rollout reaches another stage, so that peers learn of it at once. */
    readonly onStageChange: () => void;
}

export class ServiceRollouts {
    private readonly rollouts = new Map<string, Rollout>();
    /** Time of the last lost call, by server. */
    private readonly lastLossAt = new Map<string, number>();

    constructor(private readonly ports: RolloutPorts) {}

    /** Adopts the operator's orders as they are in the store, with the status that was written for them. */
    adopt(orders: readonly fleet.RolloutOrder[], { now, wallTime }: quarantine.Moment): void {
        for (const order of orders) {
            const known = this.rollouts.get(order.service);
            const isSame = known?.order.target === order.target && known.order.durationMs === order.durationMs;
            const elapsedMs = order.startedAt === undefined ? 0 : Math.max(0, wallTime - order.startedAt);
            const rollout = isSame ? known : newRollout(order, now - elapsedMs);
            const startedAt = Math.min(rollout.startedAt, now - elapsedMs);
            this.rollouts.set(order.service, { ...rollout, order, startedAt });
            if (!isSame) {
                const { service, target, durationMs } = order;
                this.ports.journal.emit("service-rollout-ordered", { service, target, durationMs, elapsedMs });
            }
            this.enter(order.service, STAGES[order.state ?? "in-progress"], "status in the store");
        }
        if (this.rollouts.size === 0) {
            this.lastLossAt.clear();
        }
        const services = new Set(orders.map(order => order.service));
        [...this.rollouts.keys()].filter(service => !services.has(service))
            .forEach(service => this.rollouts.delete(service));
    }

    /** Groups of candidates in the order in which a call uses them. */
    groups(
        service: string,
        callId: string,
        candidates: readonly placement.Candidate[],
    ): readonly (readonly placement.Candidate[])[] {
        const rollout = this.rollouts.get(service);
        if (rollout === undefined) {
            return [candidates];
        }
        const isNew = ({ server }: placement.Candidate) => server.softwareVersion === rollout.order.target;
        const updated = candidates.filter(isNew);
        const others = candidates.filter(candidate =>
            !isNew(candidate) && !rollout.replacedServers.has(candidate.server.id)
        );
        const replaced = candidates.filter(candidate =>
            !isNew(candidate) && rollout.replacedServers.has(candidate.server.id)
        );
        const isCanaryCall = hashing.unitHash(`${service}\u0000${callId}`) < stages.SHARES[rollout.stage];
        const groups = GROUPS[rollout.stage]({ updated, old: [...others, ...replaced], others, isCanaryCall });
        return groups.filter((group, index) => index === 0 || group.length > 0);
    }

    /** Counts the outcome of an attempt. */
    record(outcome: AttemptOutcome, now: number): void {
        const rollout = this.rollouts.get(outcome.service);
        if (rollout === undefined || stages.isTerminal(rollout.stage)) {
            return;
        }
        const isSlow = rollout.baseline.isSlow(outcome.route, outcome.times);
        const isOld = outcome.softwareVersion !== rollout.order.target;
        const isFailed = outcome.end === "failed" || outcome.end === "lost" && this.isFirstLoss(outcome.server, now);
        if (isOld && outcome.end === "answered") {
            rollout.baseline.record(outcome.route, outcome.times);
        }
        const isEvidence = isFailed || (outcome.end === "answered" ? isSlow !== undefined : isSlow === true);
        if (!isEvidence) {
            return;
        }
        const weightsVersion = isOld ? VERSIONS.from : VERSIONS.to;
        const key = `${weightsVersion}\n${outcome.route}`;
        const count = rollout.ownCounts.get(key) ?? {
            weightsVersion,
            route: outcome.route,
            loadLevel: LOAD_LEVEL,
            finished: 0,
            failed: 0,
            slow: 0,
        };
        rollout.ownCounts.set(key, {
            ...count,
            finished: count.finished + 1,
            failed: count.failed + Number(isFailed),
            slow: count.slow + Number(!isFailed && isSlow === true),
        });
    }

    /** Moves the rollouts on. Only the `coordinator` advances them; any entry ends one whose version is worse. */
    evaluate(now: number, isCoordinator: boolean): void {
        for (const [service, rollout] of [...this.rollouts].filter(([, { stage }]) => !stages.isTerminal(stage))) {
            const found = judge(rollout);
            const elapsedMs = now - rollout.startedAt;
            const next = stages.advance(rollout.stage, found, elapsedMs, rollout.order.durationMs);
            if (isCoordinator || found.regression !== undefined && next === "rolled-back") {
                this.enter(service, next, found.regression ?? `after ${Math.round(elapsedMs)} ms`);
            }
        }
    }

    /** State of the rollouts, for the next heartbeat. */
    snapshot(now: number): readonly peering.ServiceRollout[] {
        return [...this.rollouts.values()].map(({ order, startedAt, stage, ownCounts }) => ({
            service: order.service,
            target: order.target,
            elapsedMs: now - startedAt,
            stage,
            counts: stages.isTerminal(stage) ? [] : [...ownCounts.values()],
        }));
    }

    /** Adopts what a peer knows of the rollouts, and its counts. */
    applyPeer(peer: string, incarnation: string, states: readonly peering.ServiceRollout[], now: number): void {
        for (const state of states) {
            const rollout = this.rollouts.get(state.service);
            if (rollout?.order.target !== state.target) {
                continue;
            }
            const startedAt = Math.min(rollout.startedAt, now - state.elapsedMs);
            this.rollouts.set(state.service, { ...rollout, startedAt });
            rollout.peerCounts.add({ agent: { address: peer, boot: incarnation }, counts: state.counts });
            this.enter(state.service, state.stage, `reported by ${peer}`);
        }
    }

    /** Orders whose status in the store is not what this entry knows. */
    outdatedStatuses(): readonly { readonly order: fleet.RolloutOrder; readonly state: fleet.RolloutState; }[] {
        return [...this.rollouts.values()]
            .map(({ order, stage }) => ({ order, state: stateOf(stage) }))
            .filter(({ order, state }) => order.state !== state && !isEnded(order));
    }

    /** Time since the order was given, in milliseconds. */
    elapsedMs(service: string, now: number): number {
        return now - (this.rollouts.get(service)?.startedAt ?? now);
    }

    /** Records which servers a rollout replaces; once it is complete they are gone, though still listed for a time. */
    recordServers(servers: readonly fleet.BackendServer[]): void {
        for (const rollout of this.rollouts.values()) {
            const old = servers.filter(server => {
                return server.service === rollout.order.service && server.softwareVersion !== rollout.order.target;
            });
            if (!stages.isTerminal(rollout.stage)) {
                old.forEach(server => rollout.replacedServers.add(server.id));
            }
        }
    }

    private isFirstLoss(server: string, now: number): boolean {
        const isFirst = now - (this.lastLossAt.get(server) ?? Number.NEGATIVE_INFINITY) > LOSSES_OF_CRASH_MS;
        this.lastLossAt.set(server, now);
        return isFirst;
    }

    private enter(service: string, stage: stages.Stage, reason: string): void {
        const rollout = this.rollouts.get(service)!;
        // What the store holds of an ended rollout is final: its old servers are stopped, or its new ones drain.
        const next = isEnded(rollout.order) ? STAGES[rollout.order.state!] : stages.latest(rollout.stage, stage);
        if (next === rollout.stage) {
            return;
        }
        this.rollouts.set(service, { ...rollout, stage: next });
        const { target } = rollout.order;
        this.ports.journal.emit("service-rollout-changed", { service, target, stage: next, reason });
        this.ports.onStageChange();
    }
}

interface Split {
    readonly updated: readonly placement.Candidate[];
    /** Servers of other versions; `others` are those of them that are not replaced by the rollout. */
    readonly old: readonly placement.Candidate[];
    readonly others: readonly placement.Candidate[];
    readonly isCanaryCall: boolean;
}

const canary = ({ updated, old, isCanaryCall }: Split) => isCanaryCall ? [updated, old] : [old];

const GROUPS: Readonly<Record<stages.Stage, (split: Split) => readonly (readonly placement.Candidate[])[]>> = {
    "canary": canary,
    "half": canary,
    "full": ({ updated, old }) => [updated, old],
    "complete": ({ updated, others }) => [[...updated, ...others]],
    "rolled-back": ({ old }) => [old],
};

function newRollout(order: fleet.RolloutOrder, startedAt: number): Rollout {
    return {
        order,
        startedAt,
        stage: "canary",
        baseline: new callOutcomes.LatencyBaseline(),
        ownCounts: new Map(),
        peerCounts: new outcomeTotals.OutcomeTotals(),
        replacedServers: new Set(),
    };
}

/** Stage in which an entry finds a rollout by its status. */
const STAGES: Readonly<Record<fleet.RolloutState, stages.Stage>> = {
    "in-progress": "canary",
    "complete": "complete",
    "rolled-back": "rolled-back",
};

function stateOf(stage: stages.Stage): fleet.RolloutState {
    return stage === "complete" || stage === "rolled-back" ? stage : "in-progress";
}

function isEnded({ state }: fleet.RolloutOrder): boolean {
    return state === "complete" || state === "rolled-back";
}

function judge({ ownCounts, peerCounts }: Rollout): stages.Evidence {
    const counts = evidence.mergeCounts([[...ownCounts.values()], peerCounts.total()]);
    const finished = counts.filter(count => count.weightsVersion === VERSIONS.to)
        .reduce((sum, count) => sum + count.finished, 0);
    return {
        regression: evidence.findRegression(counts, VERSIONS, evidence.COORDINATOR_ERROR_PROBABILITY),
        suspectedRegression: evidence.findSuspectedRegression(counts, VERSIONS),
        isSufficient: finished >= SUFFICIENT_CALLS,
    };
}
