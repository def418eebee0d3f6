/** Version rollouts. */

export type Phase = "loading" | "shifting" | "done" | "rolled-back";

/** Status of one rollout; kept in the object `rollout/status`. */
export interface RolloutStatus {
    readonly rollout: string;
    readonly model: string;
    readonly from: string;
    readonly to: string;
    readonly phase: Phase;
    /** Share of the traffic that the new version gets, 0 to 1. */
    readonly share: number;
    readonly fencingNumber: number;
    /** Reason of a rollback; empty otherwise. */
    readonly reason: string;
    /** Milliseconds since the Unix epoch. */
    readonly changedAt: number;
}

/** Status of all rollouts; the value of the document `rollouts`. */
export interface Rollouts {
    readonly version: number;
    readonly statuses: readonly RolloutStatus[];
    /** Names of rollouts whose new version is proved bad; never shrinks for a rollout. */
    readonly vetoes: ReadonlySet<string>;
}

export const emptyRollouts: Rollouts = { version: 0, statuses: [], vetoes: new Set() };
