/**
 * When each server of a service loads new weights.
 *
 * Loading takes longer when too many servers load at once, and takes their capacity away. All agents compute the same
 * order from the same list, so that they need no agreement; they see a new version at nearly the same time.
 */
import * as hashing from "../core/hashing.js";

/** Share of the servers that load at once. */
const WAVE_SHARE = 0.25;
/** Time in milliseconds from one wave to the next: runs that finish, and a load of about half a second. */
const WAVE_MS = 600;

/** Delay in milliseconds after which a server may load a version. Servers that are not listed go last. */
export function waveDelayMs(servers: readonly string[], self: string, version: number): number {
    const ordered = servers.toSorted((left, right) => position(left, version) - position(right, version));
    const size = Math.max(1, Math.ceil(ordered.length * WAVE_SHARE));
    const index = ordered.includes(self) ? ordered.indexOf(self) : ordered.length;
    return Math.floor(index / size) * WAVE_MS;
}

/** Differs by version, so that no server is always the last one. */
function position(server: string, version: number): number {
    return hashing.hash32(`${server}/${version}`);
}
