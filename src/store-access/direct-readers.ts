/** Chooses the processes that read the changes of a kind from the store at once. The others read stale copies. */
import * as rendezvous from "../core/rendezvous.js";
import type * as staggeredWaits from "./staggered-wait.js";

/** Number of readers of a kind, and their share of many processes. */
const MINIMUM_READERS = 8;
const READER_SHARE = 0.15;

export interface ReaderInput {
    readonly kind: string;
    readonly self: string;
    /** Names of the other live processes. */
    readonly peers: readonly string[];
    /** Each process reads the kind: its changes are rare, and late ones do harm. */
    readonly isReadByAll: boolean;
}

/** Readers of the kind, and the place of this process among them by rendezvous hash; undefined if it is none of them. */
export function directReaders({ kind, self, peers, isReadByAll }: ReaderInput): staggeredWaits.Readers | undefined {
    const limit = Math.max(MINIMUM_READERS, Math.ceil(peers.length * READER_SHARE));
    const count = isReadByAll ? peers.length + 1 : Math.min(peers.length + 1, limit);
    const score = (name: string) => rendezvous.score(kind, { id: name, weight: 1 });
    const own = score(self);
    const rank = peers.filter(name => score(name) > own).length;
    return rank < count ? { count, rank } : undefined;
}
