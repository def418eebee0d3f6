/** Types of version rollouts. */

export type Phase = "loading" | "shifting" | "done" | "rolled-back";

/** Status of one rollout; stored in the object `rollout/status`. */
export interface RolloutStatus {
    readonly rollout: string;
    readonly model: string;
    readonly from: string;
    readonly to: string;
    readonly phase: Phase;
    /** Traffic share of the new version, 0 to 1. */
    readonly share: number;
    readonly fencingNumber: number;
    /** Why the rollout was rolled back or ended by a manifest change; otherwise empty. */
    readonly reason: string;
    /** Time of the last change of phase or share, in milliseconds since the Unix epoch. */
    readonly changedAt: number;
}

/** Statuses from the document `rollouts` and the vetoes. */
export interface Rollouts {
    readonly version: number;
    readonly statuses: readonly RolloutStatus[];
    /** Identities of rollouts whose new version is significantly worse; a veto is never removed. */
    readonly vetoes: ReadonlySet<string>;
}

export const emptyRollouts: Rollouts = { version: 0, statuses: [], vetoes: new Set() };

/** Fields that identify a rollout; a name can be reused for other versions. */
export interface RolloutIdentity {
    readonly name: string;
    readonly model: string;
    readonly from: string;
    readonly to: string;
}

/**
 * Identity of a rollout in documents and counts. A name that is reused for other versions has a new identity, to which
 * an old veto does not apply. Changing the steps or the deadline keeps the identity and therefore cannot lift a veto.
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

/** Outcome counts of one version on one route at one load level. */
export interface OutcomeCount {
    readonly weightsVersion: string;
    readonly route: string;
    readonly loadLevel: LoadLevel;
    /** All counted requests, including failed and slow ones. */
    readonly finished: number;
    readonly failed: number;
    readonly slow: number;
}
