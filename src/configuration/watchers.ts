/** Selects the processes that watch the object API and schedules the reads of the other processes. */
import * as rendezvous from "../core/rendezvous.js";
import type * as membership from "../membership/types.js";

/** Two, so that one watcher remains when the other fails; more would only add load on the object API. */
const WATCHERS_PER_DATA_CENTRE = 2;
/** Time since the object API was last known to be reachable, after which a process reads it directly. */
const UNCONFIRMED_AFTER_MS = 3000;
/** Spreads the reads of processes that lose their watchers at the same time. */
const READ_JITTER_MS = 500;
/** Base interval of the exponential backoff after failed reads. */
const INITIAL_READ_INTERVAL_MS = 1000;
/** During an outage, limits 1,210 processes to about 400 reads/s, a fifth of the capacity of the object API. */
const MAXIMUM_READ_INTERVAL_MS = 4000;

/** A process that may be selected as a watcher. */
export interface Candidate {
    /** RPC address. */
    readonly address: string;
    readonly dataCentre: string;
}

/** RPC addresses of the processes of one data centre that watch the object API. Leaving processes are not selected. */
export function watchersOf(dataCentre: string, members: membership.Members, self?: Candidate): readonly string[] {
    const addresses = new Set<string>();
    for (const [address, member] of members) {
        if (member.dataCentre === dataCentre && member.state === "live") {
            addresses.add(address);
        }
    }
    if (self?.dataCentre === dataCentre) {
        addresses.add(self.address);
    }
    const nodes = [...addresses].map(id => ({ id, weight: 1 }));
    return rendezvous.rank(`store-watch/${dataCentre}`, nodes).slice(0, WATCHERS_PER_DATA_CENTRE).map(node => node.id);
}

/** RPC addresses of all watchers, starting with those of the given data centre. */
export function allWatchers(dataCentre: string, members: membership.Members): readonly string[] {
    const others = new Set([...members.values()].map(member => member.dataCentre));
    others.delete(dataCentre);
    return [dataCentre, ...others].flatMap(name => watchersOf(name, members));
}

/** Time of the first direct read, in milliseconds of the monotonic clock. `random` is uniform in [0, 1). */
export function firstReadAt(storeSeenAt: number, startedAt: number, random: number): number {
    const lastSeenAt = Math.max(storeSeenAt, startedAt);
    return lastSeenAt + UNCONFIRMED_AFTER_MS + random * READ_JITTER_MS;
}

/** Delay before the next read after consecutive failed reads, in milliseconds. `random` is uniform in [0, 1). */
export function readIntervalMs(failures: number, random: number): number {
    const interval = Math.min(MAXIMUM_READ_INTERVAL_MS, INITIAL_READ_INTERVAL_MS * 2 ** failures);
    return interval * (0.5 + random / 2);
}
