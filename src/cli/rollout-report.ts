/** Reports whether each rollout was done by its deadline, was rolled back, or is still open. */
import type * as manifest from "../manifest/types.js";
import type * as rollouts from "../rollout/types.js";

export type Verdict =
    | "done-in-time"
    | "done-late"
    /** Done; the manifest no longer contains the rollout, so its deadline is unknown. */
    | "done"
    | "rolled-back"
    | "in-progress"
    /** Neither done nor rolled back after its deadline. */
    | "overdue"
    | "not-started";

export interface RolloutReport {
    readonly rollout: string;
    readonly model: string;
    readonly from: string;
    readonly to: string;
    readonly verdict: Verdict;
    /** Share of the traffic that the new version receives, 0 to 1. */
    readonly share: number;
    /** Reason of a rollback; empty otherwise. */
    readonly reason: string;
    /** Milliseconds since the Unix epoch; undefined when the manifest no longer contains the rollout. */
    readonly deadline?: number;
    /** Milliseconds since the Unix epoch; undefined when the rollout has not started. */
    readonly changedAt?: number;
}

/** Reports on every rollout in the statuses or the manifest. `wallTime` is in milliseconds since the Unix epoch. */
export function createReports(
    statuses: readonly rollouts.RolloutStatus[],
    declared: readonly manifest.Rollout[],
    wallTime: number,
): readonly RolloutReport[] {
    const deadlines = new Map(declared.map(rollout => [rollout.name, rollout.deadline]));
    const started = statuses.map(status => {
        const { rollout, model, from, to, share, reason, changedAt } = status;
        const deadline = deadlines.get(rollout);
        const verdict = verdictOf(status, deadline, wallTime);
        return { rollout, model, from, to, share, reason, changedAt, deadline, verdict };
    });
    const startedNames = new Set(statuses.map(status => status.rollout));
    const withoutStatus = declared.filter(rollout => !startedNames.has(rollout.name)).map(rollout => {
        const { name, model, from, to, deadline } = rollout;
        const verdict = wallTime > deadline ? "overdue" as const : "not-started" as const;
        return { rollout: name, model, from, to, share: 0, reason: "", deadline, verdict };
    });
    return [...started, ...withoutStatus];
}

function verdictOf(status: rollouts.RolloutStatus, deadline: number | undefined, wallTime: number): Verdict {
    if (status.phase === "rolled-back") {
        return "rolled-back";
    }
    if (status.phase === "done") {
        return deadline === undefined ? "done" : status.changedAt <= deadline ? "done-in-time" : "done-late";
    }
    return deadline !== undefined && wallTime > deadline ? "overdue" : "in-progress";
}
