/**
 * Stages of a rollout on the servers of one service: a small share first, and only shortly before the deadline all calls,
 * so that a version that turns bad late or under load has served few of them.
 */

export type Stage = "canary" | "half" | "full" | "complete" | "rolled-back";

/** Share of the calls that go to the new version, by stage. */
export const SHARES: Readonly<Record<Stage, number>> = {
    "canary": 0.04,
    "half": 0.5,
    "full": 1,
    "complete": 1,
    "rolled-back": 0,
};

/** Order of the stages, in which they can only advance; a rollback ends each of them. */
const RANKS: Readonly<Record<Stage, number>> = { "canary": 0, "half": 1, "full": 2, "complete": 3, "rolled-back": 4 };

/** Times in milliseconds before the deadline at which stages begin. */
const HALF_BEFORE_MS = 4500;
const FULL_BEFORE_MS = 3800;
const COMPLETE_BEFORE_MS = 2600;
/** Time in milliseconds before the deadline from which a rollout is not moved on any more, but rolled back. */
const ROLLBACK_BEFORE_MS = 1500;
/** Longest part of the whole time that the stages after the first may take, for orders with little time. */
const MAXIMUM_SHIFT_SHARE = 0.5;

export interface Evidence {
    /** Why the new version is significantly worse; undefined if it is not. */
    readonly regression: string | undefined;
    /** The same at a weaker significance level, which holds the rollout. */
    readonly suspectedRegression: string | undefined;
    /** Enough calls of the new version have ended to judge it. */
    readonly isSufficient: boolean;
}

/** Whether a rollout has ended. */
export function isTerminal(stage: Stage): boolean {
    return stage === "complete" || stage === "rolled-back";
}

/** The further advanced of two stages. */
export function latest(left: Stage, right: Stage): Stage {
    return RANKS[left] >= RANKS[right] ? left : right;
}

/** The stage that follows after `elapsedMs` of `durationMs`; the same one if nothing changes. */
export function advance(stage: Stage, evidence: Evidence, elapsedMs: number, durationMs: number): Stage {
    if (stage === "complete" || stage === "rolled-back") {
        return stage;
    }
    const remainingMs = durationMs - elapsedMs;
    if (evidence.regression !== undefined || remainingMs <= scaled(ROLLBACK_BEFORE_MS, durationMs)) {
        return "rolled-back";
    }
    return evidence.suspectedRegression !== undefined ? stage : STEPS[stage](evidence, remainingMs, durationMs);
}

type OpenStage = Exclude<Stage, "complete" | "rolled-back">;

const STEPS: Readonly<Record<OpenStage, (evidence: Evidence, remainingMs: number, durationMs: number) => Stage>> = {
    canary: (evidence, remainingMs, durationMs) => {
        return evidence.isSufficient && remainingMs <= scaled(HALF_BEFORE_MS, durationMs) ? "half" : "canary";
    },
    half: (_, remainingMs, durationMs) => remainingMs <= scaled(FULL_BEFORE_MS, durationMs) ? "full" : "half",
    full: (_, remainingMs, durationMs) => remainingMs <= scaled(COMPLETE_BEFORE_MS, durationMs) ? "complete" : "full",
};

function scaled(beforeMs: number, durationMs: number): number {
    return beforeMs * Math.min(1, durationMs * MAXIMUM_SHIFT_SHARE / HALF_BEFORE_MS);
}
