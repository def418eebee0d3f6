/** State transitions of rollouts. */
import type * as manifest from "../manifest/types.js";
import * as orderPlans from "./order-plan.js";
import * as pacing from "./pacing.js";
import * as types from "./types.js";

/** Input of a transition besides the status. */
export interface RolloutObservation {
    /** Reason of the veto; `undefined` if there is none. */
    readonly vetoReason: string | undefined;
    /** Possible regression that holds the step but does not justify a rollback. */
    readonly suspectedRegression: string | undefined;
    /** Servers of the model that are not in backoff. */
    readonly serverCount: number;
    /** Those of them that have loaded the new version. */
    readonly loadedCount: number;
    /** Enough requests of the new version were counted to end the step early. */
    readonly hasSufficientRequests: boolean;
}

/** Statuses of rollouts no longer in the manifest that are kept for reports. */
const MAXIMUM_UNDECLARED_STATUSES = 64;

/** Returns the next status, or the given one if nothing changes. `wallTime` is in milliseconds since the Unix epoch. */
export function advance(
    rollout: manifest.Rollout,
    status: types.RolloutStatus | undefined,
    observation: RolloutObservation,
    fencingNumber: number,
    wallTime: number,
): types.RolloutStatus {
    const current = status ?? initialStatus(rollout, fencingNumber, wallTime);
    if (current.phase === "rolled-back") {
        return current;
    }
    const change = nextChange(rollout, current, observation, wallTime);
    return change === undefined ? current : { ...current, ...change, fencingNumber, changedAt: wallTime };
}

type Change = Partial<Pick<types.RolloutStatus, "phase" | "share" | "reason">>;

function nextChange(
    rollout: manifest.Rollout,
    status: types.RolloutStatus,
    observation: RolloutObservation,
    wallTime: number,
): Change | undefined {
    if (observation.vetoReason !== undefined) {
        return rollbackChange(observation.vetoReason);
    }
    if (status.phase === "done") {
        return undefined;
    }
    if (wallTime >= rollout.deadline) {
        return rollbackChange(deadlineReason(status, observation));
    }
    const isReady = (share: number) =>
        observation.loadedCount >= orderPlans.requiredServers(share, observation.serverCount)
        && observation.serverCount > 0;
    if (status.phase === "loading") {
        return isReady(rollout.steps[0]) ? { phase: "shifting", share: rollout.steps[0] } : undefined;
    }
    // A suspected regression holds the step beyond its time budget; a lack of requests does not.
    if (
        observation.suspectedRegression !== undefined
        || !pacing.mayEndStep(rollout, status, observation.hasSufficientRequests, wallTime)
    ) {
        return undefined;
    }
    const next = rollout.steps[pacing.stepIndex(rollout, status.share) + 1];
    if (next !== undefined) {
        return isReady(next) ? { share: next } : undefined;
    }
    return pacing.mayComplete(rollout, wallTime) ? { phase: "done", share: 1 } : undefined;
}

/** Ends a rollout that the manifest no longer declares: done if the model now has the new version, else rolled back. */
export function endUndeclared(
    status: types.RolloutStatus,
    configuration: manifest.Configuration,
    fencingNumber: number,
    wallTime: number,
): types.RolloutStatus {
    if (isTerminal(status)) {
        return status;
    }
    const isAdopted = configuration.models.get(status.model)?.weightsVersion === status.to;
    const change: Change = isAdopted
        ? { phase: "done", share: 1, reason: "the manifest declares the new version" }
        : rollbackChange("removed from the manifest");
    return { ...status, ...change, fencingNumber, changedAt: wallTime };
}

/** True if the phase is done or rolled back. */
export function isTerminal(status: types.RolloutStatus): boolean {
    return status.phase === "done" || status.phase === "rolled-back";
}

/** Next statuses of all rollouts: first those in the manifest, in its order, then the undeclared ones, newest first. */
export function advanceAll(
    configuration: manifest.Configuration,
    rollouts: types.Rollouts,
    observe: (rollout: manifest.Rollout) => RolloutObservation,
    fencingNumber: number,
    wallTime: number,
): readonly types.RolloutStatus[] {
    const declared = configuration.rollouts.map(rollout =>
        advance(rollout, types.statusOf(rollouts, rollout), observe(rollout), fencingNumber, wallTime)
    );
    const identities = new Set(declared.map(types.identityOfStatus));
    const undeclared = rollouts.statuses
        .filter(status => !identities.has(types.identityOfStatus(status)))
        .map(status => endUndeclared(status, configuration, fencingNumber, wallTime))
        .sort((left, right) => right.changedAt - left.changedAt)
        .slice(0, MAXIMUM_UNDECLARED_STATUSES);
    return [...declared, ...undeclared];
}

/** Sets the fencing number in all statuses that are not terminal. */
export function withFencingNumber(
    statuses: readonly types.RolloutStatus[],
    fencingNumber: number,
): readonly types.RolloutStatus[] {
    return statuses.map(status => isTerminal(status) ? status : { ...status, fencingNumber });
}

function initialStatus(rollout: manifest.Rollout, fencingNumber: number, wallTime: number): types.RolloutStatus {
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

function rollbackChange(reason: string): Change {
    return { phase: "rolled-back", share: 0, reason };
}

function deadlineReason(status: types.RolloutStatus, observation: RolloutObservation): string {
    const progress = status.phase === "loading"
        ? `${observation.loadedCount} of ${observation.serverCount} servers had loaded the weights`
        : `the share was ${status.share}`;
    return [
        "the deadline passed",
        progress,
        ...(observation.suspectedRegression === undefined ? [] : [observation.suspectedRegression]),
    ].join("; ");
}
