/** Which versions may serve a request, derived from the rollout statuses, the vetoes and the wall time. */
import type * as manifest from "../manifest/types.js";
import * as types from "./types.js";

/** Current traffic share of the new version, 0 to 1. `wallTime` is in milliseconds since the Unix epoch. */
export function effectiveShare(rollout: manifest.Rollout, rollouts: types.Rollouts, wallTime: number): number {
    const status = types.statusOf(rollouts, rollout);
    if (status === undefined || isWithdrawn(rollout, rollouts, wallTime)) {
        return 0;
    }
    return SHARE_BY_PHASE[status.phase](status);
}

const SHARE_BY_PHASE: Readonly<Record<types.Phase, (status: types.RolloutStatus) => number>> = {
    loading: () => 0,
    shifting: status => status.share,
    done: () => 1,
    "rolled-back": () => 0,
};

/** True once the new version must not serve any request: vetoed, rolled back, or not done by the deadline. */
export function isWithdrawn(rollout: manifest.Rollout, rollouts: types.Rollouts, wallTime: number): boolean {
    // A veto overrides a done rollout: both can be written concurrently, and only the veto reports a regression.
    if (rollouts.vetoes.has(types.identityOf(rollout))) {
        return true;
    }
    const phase = types.statusOf(rollouts, rollout)?.phase;
    return phase === "rolled-back" || (phase !== "done" && wallTime >= rollout.deadline);
}

/** True while a rollout is neither done nor withdrawn, so that its requests are counted. */
export function isInProgress(rollout: manifest.Rollout, rollouts: types.Rollouts, wallTime: number): boolean {
    const isDone = types.statusOf(rollouts, rollout)?.phase === "done";
    return !isDone && !isWithdrawn(rollout, rollouts, wallTime);
}

/** The declared rollout of a model, if any. */
export function rolloutOf(configuration: manifest.Configuration, model: string): manifest.Rollout | undefined {
    return configuration.rollouts.find(rollout => rollout.model === model);
}

/**
 * True if a request may start on the version. The old version of a done rollout continues to serve streams that started
 * on it; the new version of a rollout that was removed from the manifest before it was done gets no requests.
 */
export function mayRun(
    configuration: manifest.Configuration,
    rollouts: types.Rollouts,
    model: manifest.Model,
    version: string,
    wallTime: number,
): boolean {
    if (version === model.weightsVersion) {
        return true;
    }
    const rollout = rolloutOf(configuration, model.name);
    if (rollout?.to === version) {
        return !isWithdrawn(rollout, rollouts, wallTime);
    }
    return rollouts.statuses.some(status =>
        status.model === model.name && status.phase === "done"
        && status.from === version && status.to === model.weightsVersion
    );
}

/** Version that serves a model without traffic splitting: the new one only after its rollout is done. */
export function effectiveVersion(
    configuration: manifest.Configuration,
    rollouts: types.Rollouts,
    model: manifest.Model,
    wallTime: number,
): string {
    const rollout = rolloutOf(configuration, model.name);
    const isDone = rollout !== undefined && effectiveShare(rollout, rollouts, wallTime) === 1
        && types.statusOf(rollouts, rollout)?.phase === "done";
    return isDone ? rollout.to : model.weightsVersion;
}
