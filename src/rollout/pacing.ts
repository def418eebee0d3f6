/** Times the steps of a rollout so that the last one ends before the deadline. Pure; times are wall time. */
import type * as manifest from "../manifest/types.js";
import type * as types from "./types.js";

/** Time in milliseconds before the deadline by which the last status must be written; covers a slow store and gossip. */
const COMPLETION_MARGIN_MS = 3000;
/** Shortest step when time is short; the counts of a step must reach the coordinator before the share grows. */
const MINIMUM_STEP_MS = 2000;
/** The first step has the smallest exposure, so most of the waiting for evidence belongs there. */
const FIRST_STEP_WEIGHT = 5;

/** Position of the present share in the steps; -1 before the first. Also defined after an operator changed the steps. */
export function stepIndex(rollout: manifest.Rollout, share: number): number {
    return rollout.steps.filter(step => step <= share).length - 1;
}

/** Longest duration of the present step in milliseconds: its part of the time that was left when it began. */
export function partMs(rollout: manifest.Rollout, status: types.RolloutStatus): number {
    const index = Math.max(0, stepIndex(rollout, status.share));
    const weights = rollout.steps.map((_, position) => position === 0 ? FIRST_STEP_WEIGHT : 1);
    const ahead = weights.slice(index).reduce((sum, weight) => sum + weight, 0);
    const left = rollout.deadline - COMPLETION_MARGIN_MS - status.changedAt;
    return Math.max(0, left * weights[index] / ahead);
}

/** True when the present step may end. Late evidence alone does not hold it beyond its part. */
export function mayEnd(
    rollout: manifest.Rollout,
    status: types.RolloutStatus,
    isSufficient: boolean,
    wallTime: number,
): boolean {
    const elapsed = wallTime - status.changedAt;
    const part = partMs(rollout, status);
    const shortest = Math.min(rollout.stepMs, Math.max(part, MINIMUM_STEP_MS));
    return elapsed >= Math.max(part, shortest) || (isSufficient && elapsed >= shortest);
}

/** False when a completion written now might come into force after the deadline. */
export function mayComplete(rollout: manifest.Rollout, wallTime: number): boolean {
    return wallTime < rollout.deadline - COMPLETION_MARGIN_MS / 2;
}
