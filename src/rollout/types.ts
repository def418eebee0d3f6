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
    /** Identities of rollouts whose new version is proved bad; never shrinks for a rollout. */
    readonly vetoes: ReadonlySet<string>;
}

export const emptyRollouts: Rollouts = { version: 0, statuses: [], vetoes: new Set() };

/** What distinguishes one rollout from another one of the same name. */
export interface RolloutIdentity {
    readonly name: string;
    readonly model: string;
    readonly from: string;
    readonly to: string;
}

/**
 * Identity of a rollout in documents and counts. A name that is reused for other versions is another rollout, so an old
 * veto does not bind it; a change of steps or deadline keeps the identity, so that it cannot lift a veto.
 */
export function identityOf(rollout: RolloutIdentity): string {
    return [rollout.name, rollout.model, rollout.from, rollout.to].join(":");
}

export function identityOfStatus(status: RolloutStatus): string {
    return identityOf({ ...status, name: status.rollout });
}

export function statusOf(rollouts: Rollouts, rollout: RolloutIdentity): RolloutStatus | undefined {
    const identity = identityOf(rollout);
    return rollouts.statuses.find(status => identityOfStatus(status) === identity);
}

export type LoadLevel = "low" | "medium" | "high";

/** Counts of one version on one route at one load level. */
export interface OutcomeCount {
    readonly weightsVersion: string;
    readonly route: string;
    readonly loadLevel: LoadLevel;
    /** Requests that ended, the failed and slow ones included. */
    readonly finished: number;
    readonly failed: number;
    readonly slow: number;
}
