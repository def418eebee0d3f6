/** Keeps the cache index in step with a cache store by reading the store's change feed. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import type * as peering from "../peering/types.js";
import type * as cacheIndexes from "./cache-index.js";

/** Delay in milliseconds after a failed read, or while enough other entries follow the store. */
const RETRY_DELAY_MS = 1000;

/** A batch of changes from a given position of the change feed; `isGap` is set when changes before the batch are lost. */
export interface CacheChanges {
    /** Differs after each restart of the store, which starts empty. */
    readonly incarnation: string;
    /** Position from which to read the next batch. */
    readonly next: number;
    readonly isGap: boolean;
    readonly changes: readonly cacheIndexes.CacheChange[];
}

/**
 * - `changes`: a batch of changes.
 * - `refused`: the store responds, but not with changes; it serves few followers.
 * - `unreachable`: the store does not respond.
 */
export type CacheChangeResult =
    | { readonly kind: "changes"; readonly batch: CacheChanges; }
    | { readonly kind: "refused"; }
    | { readonly kind: "unreachable"; };

/** Reads a store's changes from a position. */
export type CacheChangeSource = (address: string, since: number) => Promise<CacheChangeResult>;

export interface FollowerPorts {
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    readonly source: CacheChangeSource;
    readonly index: cacheIndexes.CacheIndex;
    /** IP:PORT of the store. */
    readonly address: string;
    /** False while enough other entries follow the store. */
    readonly mayFollow: () => boolean;
}

export class StoreFollower implements AsyncDisposable {
    private readonly stop = new AbortController();
    private latestStatus: peering.CacheStoreStatus | undefined;
    private position: { readonly incarnation: string; readonly next: number; } | undefined;

    constructor(private readonly ports: FollowerPorts) {}

    /** What this follower knows of the store, for heartbeats; undefined while it does not follow the store. */
    get status(): peering.CacheStoreStatus | undefined {
        return this.latestStatus;
    }

    start(): void {
        void this.run();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stop.abort();
        return Promise.resolve();
    }

    private async run(): Promise<void> {
        while (!this.stop.signal.aborted) {
            const mayFollow = this.ports.mayFollow();
            if (!mayFollow) {
                this.latestStatus = undefined;
            }
            if (!mayFollow || !await this.readSafely()) {
                this.markLost();
                await this.ports.clock.sleep(RETRY_DELAY_MS, this.stop.signal);
            }
        }
    }

    /** Changes that cannot be applied end the reading of this batch only. */
    private async readSafely(): Promise<boolean> {
        try {
            return await this.readChanges();
        }
        catch (error) {
            const reason = (error as Error).stack ?? String(error);
            this.ports.journal.emit("cache-store-unusable", { address: this.ports.address, reason });
            return false;
        }
    }

    /** Reads and applies one batch of changes. Resolves to `false` when the store does not respond. */
    private async readChanges(): Promise<boolean> {
        const { address, index } = this.ports;
        const previous = this.position;
        const result = await this.ports.source(address, previous?.next ?? 0);
        if (result.kind === "refused") {
            this.latestStatus = undefined;
            return false;
        }
        const batch = result.kind === "changes" ? result.batch : undefined;
        this.latestStatus = { address, incarnation: batch?.incarnation };
        index.applyStoreStatus(this.latestStatus, this.ports.clock.now());
        if (batch === undefined) {
            return false;
        }
        const isContinuous = previous?.incarnation === batch.incarnation && !batch.isGap;
        if (!isContinuous) {
            index.beginFollowing(address);
            this.ports.journal.emit("cache-store-followed", { address, next: batch.next, isGap: batch.isGap });
        }
        index.apply(address, batch.changes);
        this.position = { incarnation: batch.incarnation, next: batch.next };
        return true;
    }

    private markLost(): void {
        if (this.position !== undefined) {
            this.ports.journal.emit("cache-store-lost", { address: this.ports.address });
            this.position = undefined;
            this.ports.index.stopFollowing(this.ports.address);
        }
    }
}
