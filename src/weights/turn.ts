/**
 * Whose turn it is to load new weights.
 *
 * A server that moves takes no calls until its runs have finished and the weights are loaded, and loading takes longer
 * when many servers load at once. All agents order the servers in the same way and know each other's state from beats,
 * so that only a share of the servers moves at any time without an agreement between them. The next ones wind down
 * while these move: they get no more calls that run for long, so that they are out of use for a shorter time.
 */
import * as hashing from "../core/hashing.js";

/** Share of the servers that move at once. */
const MOVING_SHARE = 0.3;
/** Time in milliseconds on older weights after which a server moves without waiting for the others. */
const LONGEST_WAIT_MS = 5500;

/** Last part of that time in milliseconds, in which the server winds down. */
const LAST_WIND_DOWN_MS = 800;

/**
 * - `now`: the server may move.
 * - `next`: it moves once those before it have; it can wind down meanwhile.
 * - `later`: it serves as usual.
 */
export type Turn = "now" | "next" | "later";

/** A server of the service as its agent reports it. */
export interface Standing {
    readonly address: string;
    /** Version of the weights that it has. */
    readonly version: number;
    readonly isMoving: boolean;
}

/**
 * Whose turn it is to move to a version. `neighbours` are the other servers that answered of late; `outdatedForMs` is
 * the time since a version newer than its own was named.
 */
export function turnOf(
    self: Standing,
    version: number,
    outdatedForMs: number,
    neighbours: readonly Standing[],
): Turn {
    if (outdatedForMs >= LONGEST_WAIT_MS) {
        return "now";
    }
    const places = Math.max(1, Math.ceil((neighbours.length + 1) * MOVING_SHARE));
    const before = neighbours.filter(neighbour => {
        return neighbour.isMoving || neighbour.version < version && goesBefore(neighbour, self, version);
    });
    if (before.length < places) {
        return "now";
    }
    return before.length < 2 * places || outdatedForMs >= LONGEST_WAIT_MS - LAST_WIND_DOWN_MS ? "next" : "later";
}

/** Servers with the oldest weights go first, so that none is passed over when versions follow each other quickly. */
function goesBefore(left: Standing, right: Standing, version: number): boolean {
    return left.version < right.version
        || left.version === right.version && position(left.address, version) < position(right.address, version);
}

/** Differs by version, so that no server is always the last one. */
function position(server: string, version: number): number {
    return hashing.hash32(`${server}/${version}`);
}
