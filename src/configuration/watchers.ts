/** Selects the processes that watch the object API, and when another process reads it. */
import * as rendezvous from "../core/rendezvous.js";
import type * as membership from "../membership/types.js";

/** Two, so that the loss of one leaves a watcher; more would only add load to the object API. */
const WATCHERS_PER_DATA_CENTRE = 2;
/** Age of the last proof of the store after which a process reads it itself. */
const UNCONFIRMED_AFTER_MS = 3000;
/** Spreads the reads of the processes that lose their watchers together. */
const READ_JITTER_MS = 500;
const FIRST_READ_INTERVAL_MS = 1000;
/** Bounds the reads of 1,210 processes in an outage to about 400 a second, a fifth of what the object API answers. */
const LONGEST_READ_INTERVAL_MS = 4000;

export interface Candidate {
    readonly address: string;
    readonly dataCentre: string;
}

/** RPC addresses of the processes of one data centre that watch the object API. Leaving ones are not chosen. */
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

/** RPC addresses of all watchers, those of the given data centre first. */
export function allWatchers(dataCentre: string, members: membership.Members): readonly string[] {
    const others = new Set([...members.values()].map(member => member.dataCentre));
    others.delete(dataCentre);
    return [dataCentre, ...others].flatMap(place => watchersOf(place, members));
}

/** Time of the first own read, in milliseconds of the monotonic clock. `random` is uniform in [0, 1). */
export function firstReadAt(storeSeenAt: number, startedAt: number, random: number): number {
    const lastProof = Math.max(storeSeenAt, startedAt);
    return lastProof + UNCONFIRMED_AFTER_MS + random * READ_JITTER_MS;
}

/** Wait after a number of failed reads in a row, in milliseconds. `random` is uniform in [0, 1). */
export function readIntervalMs(failures: number, random: number): number {
    const interval = Math.min(LONGEST_READ_INTERVAL_MS, FIRST_READ_INTERVAL_MS * 2 ** failures);
    return interval * (0.5 + random / 2);
}
