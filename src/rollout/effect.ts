/** What a rollout means for a request, from the status, the vetoes and the present wall time alone. */
import type * as manifest from "../manifest/types.js";
import * as types from "./types.js";

/** Share of the traffic that the new version gets now, 0 to 1. `wallTime` is in milliseconds since the Unix epoch. */
export function effectiveShare(rollout: manifest.Rollout, rollouts: types.Rollouts, wallTime: number): number {
    const status = types.statusOf(rollouts, rollout);
    if (status === undefined || isWithdrawn(rollout, rollouts, wallTime)) {
        return 0;
    }
    return SHARES[status.phase](status);
}

const SHARES: Readonly<Record<types.Phase, (status: types.RolloutStatus) => number>> = {
    loading: () => 0,
    shifting: status => status.share,
    done: () => 1,
    "rolled-back": () => 0,
};

/** True once the new version may run no request: vetoed, rolled back, or past the deadline without being done. */
export function isWithdrawn(rollout: manifest.Rollout, rollouts: types.Rollouts, wallTime: number): boolean {
    // A veto outweighs a finished rollout: both can be written at the same moment, and only the veto is a proof.
    if (rollouts.vetoes.has(types.identityOf(rollout))) {
        return true;
    }
    const phase = types.statusOf(rollouts, rollout)?.phase;
    return phase === "rolled-back" || (phase !== "done" && wallTime >= rollout.deadline);
}

/** A rollout that is neither done nor withdrawn, so that its requests are evidence. */
export function isOpen(rollout: manifest.Rollout, rollouts: types.Rollouts, wallTime: number): boolean {
    const isDone = types.statusOf(rollouts, rollout)?.phase === "done";
    return !isDone && !isWithdrawn(rollout, rollouts, wallTime);
}

export function rolloutOf(configuration: manifest.Configuration, model: string): manifest.Rollout | undefined {
    return configuration.rollouts.find(rollout => rollout.model === model);
}

/**
 * True when a request may start on the version. The old version of a finished rollout serves the streams that began on
 * it; the new version of a rollout that left the manifest unfinished serves nothing.
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

/** Version that serves when a model is asked for and no counter decides: the new one only after its rollout is done. */
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
