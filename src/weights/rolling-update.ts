/**
 * Order of servers in a rolling update of weights.
 *
 * A server that updates gets no calls until its running calls have finished and the weights are loaded, and loading takes
 * longer when many servers load at once. All agents sort the servers in the same way and know each other's state from
 * heartbeats, so that only a share of the servers updates at any time without further coordination. Meanwhile the
 * updates of the next servers are pending: they get no more long calls, so that they are out of use for less time.
 */
import * as hashing from "../core/hashing.js";

/** Maximum share of the servers that update at once. */
const MAXIMUM_UPDATING_SHARE = 0.3;
/** Time in milliseconds on outdated weights after which a server updates without waiting for the others. */
const MAXIMUM_WAIT_MS = 5500;

/** Final part of `MAXIMUM_WAIT_MS`, in milliseconds, in which the update is pending. */
const FINAL_PENDING_MS = 800;

/**
 * - `now`: the server may update.
 * - `next`: the server updates once the servers before it have; until then its update is pending.
 * - `later`: the server serves as usual.
 */
export type UpdateTiming = "now" | "next" | "later";

/** Weights and update status of a server, as its agent reports them. */
export interface ServerStatus {
    readonly address: string;
    /** Weights version that the server has loaded. */
    readonly version: number;
    /** The server gets no calls, since it is about to load weights or is loading them. */
    readonly isUpdatingWeights: boolean;
}

/**
 * When a server may update to a version. `neighbours` are the other servers that responded recently; `outdatedForMs` is
 * the time since a newer version than the server's own became the desired one.
 */
export function updateTiming(
    self: ServerStatus,
    version: number,
    outdatedForMs: number,
    neighbours: readonly ServerStatus[],
): UpdateTiming {
    if (outdatedForMs >= MAXIMUM_WAIT_MS) {
        return "now";
    }
    const slots = Math.max(1, Math.ceil((neighbours.length + 1) * MAXIMUM_UPDATING_SHARE));
    const ahead = neighbours.filter(neighbour => {
        return neighbour.isUpdatingWeights || neighbour.version < version && updatesBefore(neighbour, self, version);
    });
    if (ahead.length < slots) {
        return "now";
    }
    return ahead.length < 2 * slots || outdatedForMs >= MAXIMUM_WAIT_MS - FINAL_PENDING_MS ? "next" : "later";
}

/** Servers with the oldest weights update first, so that none is skipped when versions follow each other quickly. */
function updatesBefore(left: ServerStatus, right: ServerStatus, version: number): boolean {
    return left.version < right.version
        || left.version === right.version && tieBreak(left.address, version) < tieBreak(right.address, version);
}

/** Depends on the version, so that the same server is not always last. */
function tieBreak(server: string, version: number): number {
    return hashing.hash32(`${server}/${version}`);
}
