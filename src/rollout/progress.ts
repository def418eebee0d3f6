/** Decides the next status of each rollout. Pure. */
import type * as manifest from "../manifest/types.js";
import * as orderPlans from "./order-plan.js";
import * as pacing from "./pacing.js";
import * as types from "./types.js";

/** What the coordinator knows beside the status. */
export interface View {
    /** Why the new version is proved bad; undefined without a veto. */
    readonly veto: string | undefined;
    /** What speaks against the new version without being a proof. */
    readonly suspicion: string | undefined;
    /** Servers of the model that take orders. */
    readonly servers: number;
    /** Those of them that have the new version. */
    readonly loaded: number;
    /** The new version has enough requests in each relevant cell. */
    readonly isSufficient: boolean;
}

/** Settled statuses of earlier rollouts that are kept for the report. */
const MAXIMUM_HISTORY = 64;

/** Returns the given status when nothing changes. `wallTime` is in milliseconds since the Unix epoch. */
export function advance(
    rollout: manifest.Rollout,
    status: types.RolloutStatus | undefined,
    view: View,
    fencingNumber: number,
    wallTime: number,
): types.RolloutStatus {
    const current = status ?? initial(rollout, fencingNumber, wallTime);
    if (current.phase === "rolled-back") {
        return current;
    }
    const change = decide(rollout, current, view, wallTime);
    return change === undefined ? current : { ...current, ...change, fencingNumber, changedAt: wallTime };
}

type Change = Partial<Pick<types.RolloutStatus, "phase" | "share" | "reason">>;

function decide(
    rollout: manifest.Rollout,
    status: types.RolloutStatus,
    view: View,
    wallTime: number,
): Change | undefined {
    if (view.veto !== undefined) {
        return rollback(view.veto);
    }
    if (status.phase === "done") {
        return undefined;
    }
    if (wallTime >= rollout.deadline) {
        return rollback(lateness(status, view));
    }
    const isReady = (share: number) =>
        view.loaded >= orderPlans.requiredServers(share, view.servers) && view.servers > 0;
    if (status.phase === "loading") {
        return isReady(rollout.steps[0]) ? { phase: "shifting", share: rollout.steps[0] } : undefined;
    }
    // Late evidence does not hold a step beyond its part, adverse evidence does.
    if (view.suspicion !== undefined || !pacing.mayEnd(rollout, status, view.isSufficient, wallTime)) {
        return undefined;
    }
    const next = rollout.steps[pacing.stepIndex(rollout, status.share) + 1];
    if (next !== undefined) {
        return isReady(next) ? { share: next } : undefined;
    }
    return pacing.mayComplete(rollout, wallTime) ? { phase: "done", share: 1 } : undefined;
}

/** Ends the rollout of a status that the manifest no longer declares. */
export function endUndeclared(
    status: types.RolloutStatus,
    configuration: manifest.Configuration,
    fencingNumber: number,
    wallTime: number,
): types.RolloutStatus {
    if (isSettled(status)) {
        return status;
    }
    const isAdopted = configuration.models.get(status.model)?.weightsVersion === status.to;
    const change: Change = isAdopted
        ? { phase: "done", share: 1, reason: "the manifest declares the new version" }
        : rollback("removed from the manifest");
    return { ...status, ...change, fencingNumber, changedAt: wallTime };
}

export function isSettled(status: types.RolloutStatus): boolean {
    return status.phase === "done" || status.phase === "rolled-back";
}

/** All statuses after one round: those of the manifest in its order, then the newest of the settled earlier ones. */
export function advanceAll(
    configuration: manifest.Configuration,
    rollouts: types.Rollouts,
    viewOf: (rollout: manifest.Rollout) => View,
    fencingNumber: number,
    wallTime: number,
): readonly types.RolloutStatus[] {
    const declared = configuration.rollouts.map(rollout =>
        advance(rollout, types.statusOf(rollouts, rollout), viewOf(rollout), fencingNumber, wallTime)
    );
    const identities = new Set(declared.map(types.identityOfStatus));
    const history = rollouts.statuses
        .filter(status => !identities.has(types.identityOfStatus(status)))
        .map(status => endUndeclared(status, configuration, fencingNumber, wallTime))
        .sort((left, right) => right.changedAt - left.changedAt)
        .slice(0, MAXIMUM_HISTORY);
    return [...declared, ...history];
}

/** Puts the fencing number of a new coordinator on the statuses that can still change. */
export function stamp(statuses: readonly types.RolloutStatus[], fencingNumber: number): readonly types.RolloutStatus[] {
    return statuses.map(status => isSettled(status) ? status : { ...status, fencingNumber });
}

function initial(rollout: manifest.Rollout, fencingNumber: number, wallTime: number): types.RolloutStatus {
    return {
        rollout: rollout.name,
        model: rollout.model,
        from: rollout.from,
        to: rollout.to,
        phase: "loading",
        share: 0,
        fencingNumber,
        reason: "",
        changedAt: wallTime,
    };
}

function rollback(reason: string): Change {
    return { phase: "rolled-back", share: 0, reason };
}

function lateness(status: types.RolloutStatus, view: View): string {
    const progress = status.phase === "loading"
        ? `${view.loaded} of ${view.servers} servers had loaded the weights`
        : `the share was ${status.share}`;
    return ["the deadline passed", progress, ...(view.suspicion === undefined ? [] : [view.suspicion])].join("; ");
}
