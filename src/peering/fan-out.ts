/**
 * Chooses the peers to which a process sends a heartbeat directly.
 *
 * Load pattern: with hundreds of processes, a full mesh of heartbeats takes most of the processor time of a small entry and
 * most of the traffic between data centres. A heartbeat goes directly to the peers in the own data centre, and to one
 * entry in each other data centre, which passes it on there. That entry alternates between the first two in rendezvous
 * order of the sender, so that the loss of one delays every second heartbeat until its silence is noticed. Nothing is
 * lost with an entry that passes heartbeats on: each heartbeat repeats the whole state of its sender.
 */
import * as rendezvous from "../core/rendezvous.js";
import type * as types from "./types.js";

/** Number of peers up to which each is told directly. */
const MAXIMUM_PEERS_OF_MESH = 24;
/** Entries in another data centre that pass on the heartbeats of one sender, in turn. */
const RELAYS_PER_SENDER = 2;

export interface FanOutInput {
    readonly self: types.Member;
    /** All known peers. */
    readonly peers: readonly types.Member[];
    /** Whether a heartbeat of the peer has arrived lately. */
    readonly isLive: (peer: types.Member) => boolean;
    /** Number of the heartbeat. */
    readonly sequence: number;
}

export interface FanOut {
    /** Peers that receive the heartbeat, and those passed on, at the regular period. */
    readonly local: readonly types.Member[];
    /** Entries of other data centres that pass the heartbeat on. */
    readonly relays: readonly types.Member[];
}

export function fanOut({ self, peers, isLive, sequence }: FanOutInput): FanOut {
    if (peers.length <= MAXIMUM_PEERS_OF_MESH) {
        return { local: peers, relays: [] };
    }
    const local: types.Member[] = [];
    const remote = new Map<string, types.Member[]>();
    for (const peer of peers) {
        // A peer of an unknown data centre is a seed or a process of an older version, which passes nothing on.
        if (peer.dataCentre === undefined || self.dataCentre === undefined || peer.dataCentre === self.dataCentre) {
            local.push(peer);
            continue;
        }
        const group = remote.get(peer.dataCentre) ?? [];
        group.push(peer);
        remote.set(peer.dataCentre, group);
    }
    const relays = [...remote.values()].flatMap(group => {
        const candidates = group.filter(peer => peer.role === "entry" && isLive(peer));
        const ranked = rendezvous.rank(self.name, candidates.map(peer => ({ id: peer.name, weight: 1, peer })));
        const first = ranked.slice(0, RELAYS_PER_SENDER);
        // Without a live entry there, the heartbeat goes directly to all peers of the data centre.
        return first.length === 0 ? group : [first[sequence % first.length]!.peer];
    });
    return { local, relays };
}
