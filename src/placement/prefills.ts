/**
 * Tracks which servers are prefilling which shared prompt parts, for the calls of this entry and of its peers.
 *
 * When servers load a new weights version, no store has any of its parts yet. Without this tracking, concurrent calls would
 * make several servers prefill the same parts at once.
 */
import * as hashing from "../core/hashing.js";
import type * as fleet from "../fleet/types.js";
import type * as peering from "../peering/types.js";

/** Parts with fewer tokens are not tracked, since their prefill is as fast as fetching them. */
const MINIMUM_PART_TOKENS = 1000;
/** Time in milliseconds after which a call without a first event no longer counts as prefilling its parts. */
const MAXIMUM_PREFILL_MS = 2000;
/** Time in milliseconds for which a server is known to hold a part that it has prefilled. */
const COMPLETE_RETENTION_MS = 2000;
/** Time in milliseconds after which the prefills that a silent peer reported no longer count. */
const MAXIMUM_HEARTBEAT_AGE_MS = 1000;

/** Records the progress of the prefill of a call's parts at a server. */
export interface PrefillHandle extends Disposable {
    /** Records that the server has prefilled the parts. */
    complete(now: number): void;
}

/** Prefill state of one part. */
export interface PrefillState {
    /** Servers that are prefilling the part or hold it. */
    readonly servers: ReadonlySet<string>;
    /** Servers that hold the part, so that it can be fetched from there. */
    readonly holders: ReadonlySet<string>;
}

interface PrefillRecord {
    readonly entries: readonly peering.Prefill[];
    readonly endsAt: number;
}

export class PrefillTracker {
    private readonly own = new Map<object, PrefillRecord>();
    /** Prefills of the peers' calls, by peer. */
    private readonly peers = new Map<string, PrefillRecord>();
    /** The prefills of this entry and its peers by the hash of their part. */
    private readonly byPart = new Map<number, Set<PrefillRecord>>();

    /**
     * Records that a server starts to prefill parts that no store has. Disposing of the result before it is complete
     * removes the record, since the server has not prefilled them. `held` are the parts that the server holds afterwards.
     */
    begin(
        scope: string,
        parts: readonly fleet.PromptPart[],
        server: string,
        now: number,
        held: readonly fleet.PromptPart[] = parts,
    ): PrefillHandle {
        const identity = {};
        let isCompleted = false;
        const record = (isComplete: boolean, endsAt: number) => {
            const large = (isComplete ? held : parts).filter(part => part.tokens >= MINIMUM_PART_TOKENS);
            const entries = large.map(part => ({ partHash: hashOf(scope, part.id), server, isComplete }));
            if (entries.length > 0) {
                this.replace(this.own, identity, { entries, endsAt });
            }
        };
        record(false, now + MAXIMUM_PREFILL_MS);
        return {
            complete: (at: number) => {
                isCompleted = true;
                record(true, at + COMPLETE_RETENTION_MS);
            },
            [Symbol.dispose]: () => {
                if (!isCompleted) {
                    this.remove(this.own, identity);
                }
            },
        };
    }

    /** Replaces the prefills of a peer with those of its latest heartbeat. */
    applyPeer(peer: string, entries: readonly peering.Prefill[], now: number): void {
        this.remove(this.peers, peer);
        if (entries.length > 0) {
            this.replace(this.peers, peer, { entries, endsAt: now + MAXIMUM_HEARTBEAT_AGE_MS });
        }
    }

    /** Prefills of this entry's calls, for the next heartbeat. */
    snapshot(now: number): readonly peering.Prefill[] {
        for (const [identity, { endsAt }] of this.own) {
            if (now >= endsAt) {
                this.remove(this.own, identity);
            }
        }
        return [...this.own.values()].flatMap(({ entries }) => entries);
    }

    /** State of a part, from the calls of this entry and the heartbeats of its peers. */
    stateOf(scope: string, part: string, now: number): PrefillState {
        const hash = hashOf(scope, part);
        const records = this.byPart.get(hash);
        if (records === undefined) {
            return NO_PREFILL;
        }
        const current = [...records].filter(record => now < record.endsAt);
        const matching = current.flatMap(({ entries }) => entries.filter(prefill => prefill.partHash === hash));
        return {
            servers: new Set(matching.map(prefill => prefill.server)),
            holders: new Set(matching.filter(prefill => prefill.isComplete).map(prefill => prefill.server)),
        };
    }

    private replace<Key>(records: Map<Key, PrefillRecord>, key: Key, record: PrefillRecord): void {
        this.remove(records, key);
        records.set(key, record);
        for (const { partHash } of record.entries) {
            const known = this.byPart.get(partHash) ?? new Set();
            known.add(record);
            this.byPart.set(partHash, known);
        }
    }

    private remove<Key>(records: Map<Key, PrefillRecord>, key: Key): void {
        const record = records.get(key);
        records.delete(key);
        for (const { partHash } of record?.entries ?? []) {
            const known = this.byPart.get(partHash);
            known?.delete(record!);
            if (known?.size === 0) {
                this.byPart.delete(partHash);
            }
        }
    }
}

const NO_PREFILL: PrefillState = { servers: new Set(), holders: new Set() };

function hashOf(scope: string, part: string): number {
    return hashing.hash32(`${scope} ${part}`);
}
