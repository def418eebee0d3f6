/** The watches of an entry on the store, and when each of them reads. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import type * as budgets from "../memory/budget.js";
import type * as memberTables from "../peering/member-table.js";
import * as directReaders from "../store-access/direct-readers.js";
import type * as copies from "../store-access/kind-copy.js";
import * as watches from "../store-access/kind-watch.js";
import * as restoration from "../store-access/restoration.js";
import * as staggeredWaits from "../store-access/staggered-wait.js";
import type * as types from "./types.js";

/**
 * Long-poll wait in milliseconds of the watches whose changes may be in force some seconds later. A longer wait needs fewer
 * calls but detects a silent connection later; the watches with shorter waits detect it for all of them.
 */
const WATCH_WAIT_MS = 6000;
/**
 * Waits of the watches whose changes have to be in force in time: the wait of one of their readers ends within this part of
 * that time, which leaves the rest for noticing that nothing came and for telling the others.
 */
const WAIT_INTERVAL_SHARE = 0.5;
const MAXIMUM_STAGGERED_WAIT_MS = 20_000;
/** Time in milliseconds without heartbeats after which an entry no longer counts as a reader of the store. */
const READER_SILENCE_MS = 3000;
/**
 * Time in milliseconds over which server changes are batched, and the part of the limit for changes that batching may take
 * with many entries; the rest is for heartbeats that tell of the change and for reading it from a peer.
 */
const SERVERS_BATCH_DELAY_MS = 300;
const MAXIMUM_BATCH_SHARE = 0.2;
/**
 * Number of entries up to which these times apply, and the maximum factor by which they grow with more entries. Each
 * entry calls the store for each change, and with more entries it learns of a change sooner from a peer.
 */
const MAXIMUM_ENTRIES_AT_BASE_WAIT = 8;
const MAXIMUM_WAIT_FACTOR = 3;

export type WatchedKind = "configuration" | "servers" | "weights" | "suspects" | "rollouts" | "evacuations";

/** Evacuations are watched only where the deployment may have them, since each watch needs calls to the store. */
export type EntryWatches =
    & Readonly<Record<Exclude<WatchedKind, "evacuations">, watches.KindWatch>>
    & { readonly evacuations?: watches.KindWatch; };

export interface EntryWatchPorts extends Required<Pick<watches.WatchPorts, "onEraChange" | "onSilentConnection">> {
    readonly settings: Pick<types.ProcessSettings, "name" | "changeLimitMs" | "capabilities">;
    readonly platform: types.Platform;
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    readonly members: Pick<memberTables.MemberTable, "recentHeartbeats">;
    /** Number of entries, including this one. */
    readonly entryCount: (now: number) => number;
    /** Counts what the copies take. */
    readonly memory?: budgets.MemoryBudget | undefined;
    readonly onChange: Readonly<Record<WatchedKind, (copy: copies.KindCopy) => void>>;
}

/** What differs between the watches; the name of a kind in the store is the platform's. */
type KindOptions = Pick<watches.WatchOptions, "restoration"> & Partial<Omit<watches.WatchOptions, "kind">>;

export function createWatches(ports: EntryWatchPorts): EntryWatches {
    const { clock, journal, platform, onEraChange, onSilentConnection } = ports;
    const { configurationVersion, serverVersion, weightsVersion } = platform;
    const schedule = new ReadSchedule(ports);
    const create = (name: WatchedKind, options: KindOptions) => {
        const kind = platform.kinds[name];
        const defaults = {
            kind,
            waitMs: () => schedule.waitMs,
            batchDelayMs: () => 0,
            ownersReregister: false,
            mayBeStale: () => schedule.directReaders(kind) === undefined,
        };
        const onChange = ports.onChange[name];
        return new watches.KindWatch(
            { ...defaults, ...options },
            { store: platform.store, clock, journal, onChange, onEraChange, onSilentConnection, memory: ports.memory },
        );
    };
    return {
        configuration: create("configuration", {
            waitMs: schedule.staggeredWaitMs(platform.kinds.configuration),
            restoration: restoration.byVersion(configurationVersion),
            mayBeStale: () => false,
        }),
        servers: create("servers", {
            waitMs: schedule.staggeredWaitMs(platform.kinds.servers),
            batchDelayMs: () => schedule.serversBatchDelayMs,
            ownersReregister: true,
            restoration: restoration.byVersion(serverVersion, { beginsWithTime: true }),
        }),
        weights: create("weights", { restoration: restoration.byVersion(weightsVersion) }),
        rollouts: create("rollouts", { restoration: restoration.unordered }),
        suspects: create("suspects", { restoration: restoration.asStored }),
        ...ports.settings.capabilities.placementConstraints
            ? { evacuations: create("evacuations", { restoration: restoration.unordered }) }
            : {},
    };
}

/**
 * Which entries read the changes of a kind from the store at once, and for how long they wait for them. In a large
 * deployment some entries, chosen by rendezvous hashing for each kind, read them at once; the others read stale copies of
 * the store, and learn of newer revisions from heartbeats.
 */
class ReadSchedule {
    constructor(private readonly ports: EntryWatchPorts) {}

    get waitMs(): number {
        return WATCH_WAIT_MS * this.waitFactor;
    }

    get serversBatchDelayMs(): number {
        const longestMs = this.ports.settings.changeLimitMs * MAXIMUM_BATCH_SHARE;
        return Math.min(SERVERS_BATCH_DELAY_MS * this.waitFactor, longestMs);
    }

    /** Waits that end one after the other at the direct readers. */
    staggeredWaitMs(kind: string): watches.WatchOptions["waitMs"] {
        const wait = new staggeredWaits.StaggeredWait({
            intervalMs: this.ports.settings.changeLimitMs * WAIT_INTERVAL_SHARE,
            maximumMs: MAXIMUM_STAGGERED_WAIT_MS,
        });
        return isFirst => wait.next(this.directReaders(kind), isFirst, this.ports.clock.now()) ?? this.waitMs;
    }

    /** Entries that read changes of a kind from the store at once; undefined if this one does not. */
    directReaders(kind: string): staggeredWaits.Readers | undefined {
        const { clock, members, platform, settings } = this.ports;
        const peers = members.recentHeartbeats(clock.now(), READER_SILENCE_MS)
            .map(({ heartbeat }) => heartbeat.member)
            .filter(member => member.role === "entry");
        return directReaders.directReaders({
            kind,
            self: settings.name,
            peers: peers.map(({ name }) => name),
            isReadByAll: kind === platform.kinds.configuration,
        });
    }

    /** Factor by which the waits grow with the number of entries. */
    private get waitFactor(): number {
        const factor = this.ports.entryCount(this.ports.clock.now()) / MAXIMUM_ENTRIES_AT_BASE_WAIT;
        return Math.min(MAXIMUM_WAIT_FACTOR, Math.max(1, factor));
    }
}
