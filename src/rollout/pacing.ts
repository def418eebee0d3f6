/** Schedules the steps of a rollout so that the last one ends before the deadline. Times are wall time in milliseconds. */
import type * as manifest from "../manifest/types.js";
import type * as types from "./types.js";

/** Margin before the deadline for writing the last status; covers a slow object API and gossip. */
const COMPLETION_MARGIN_MS = 3000;
/** Shortest step close to the deadline; the counts of a step must reach the coordinator before the share grows. */
const MINIMUM_STEP_MS = 2000;
/** Weight of the first step, others have 1; it exposes the least traffic, so most of the time is spent there. */
const FIRST_STEP_WEIGHT = 5;

/** Index of the last step up to the share; -1 before the first. The share need not be one of the steps. */
export function stepIndex(rollout: manifest.Rollout, share: number): number {
    return rollout.steps.filter(step => step <= share).length - 1;
}

/** Time budget of the current step: its weighted part of the time that remained when it began. */
export function stepBudgetMs(rollout: manifest.Rollout, status: types.RolloutStatus): number {
    const index = Math.max(0, stepIndex(rollout, status.share));
    const weights = rollout.steps.map((_, position) => position === 0 ? FIRST_STEP_WEIGHT : 1);
    const remainingWeight = weights.slice(index).reduce((sum, weight) => sum + weight, 0);
    const remainingMs = rollout.deadline - COMPLETION_MARGIN_MS - status.changedAt;
    return Math.max(0, remainingMs * weights[index] / remainingWeight);
}

/**
 * True if the current step may end: its minimum duration has passed, and it has sufficient requests or has used up its
 * time budget.
 */
export function mayEndStep(
    rollout: manifest.Rollout,
    status: types.RolloutStatus,
    hasSufficientRequests: boolean,
    wallTime: number,
): boolean {
    const elapsedMs = wallTime - status.changedAt;
    const budgetMs = stepBudgetMs(rollout, status);
    const minimumMs = Math.min(rollout.stepMs, Math.max(budgetMs, MINIMUM_STEP_MS));
    return elapsedMs >= Math.max(budgetMs, minimumMs) || (hasSufficientRequests && elapsedMs >= minimumMs);
}

/** False if a completion written now might take effect after the deadline. */
export function mayComplete(rollout: manifest.Rollout, wallTime: number): boolean {
    return wallTime < rollout.deadline - COMPLETION_MARGIN_MS / 2;
}
