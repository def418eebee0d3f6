/** Follows the content of the store of cached parts by its changes. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import type * as indexes from "./cache-index.js";

/** Pause in milliseconds after a call that failed, or while this entry leaves the following to others. */
const PAUSE_MS = 1000;

/** Changes of a store since a number; `isGap` tells that some before them are lost. */
export interface CacheChanges {
    /** Changes with every start of the store, which begins empty. */
    readonly incarnation: string;
    readonly next: number;
    readonly isGap: boolean;
    readonly changes: readonly indexes.CacheChange[];
}

/** Reads the changes of a store. Nothing when the store does not answer. */
export type CacheChangeSource = (address: string, since: number) => Promise<CacheChanges | undefined>;

export interface FollowerPorts {
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    readonly source: CacheChangeSource;
    readonly index: indexes.CacheIndex;
    /** IP:PORT of the store. */
    readonly address: string;
    /** False while enough other entries follow the store. */
    readonly mayFollow: () => boolean;
}

export class StoreFollower implements AsyncDisposable {
    private readonly stop = new AbortController();
    private position: { readonly incarnation: string; readonly next: number; } | undefined;

    constructor(private readonly ports: FollowerPorts) {}

    start(): void {
        void this.run();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stop.abort();
        return Promise.resolve();
    }

    private async run(): Promise<void> {
        while (!this.stop.signal.aborted) {
            const isFollowed = this.ports.mayFollow() && await this.follow();
            if (!isFollowed) {
                this.lose();
                await this.ports.clock.sleep(PAUSE_MS, this.stop.signal);
            }
        }
    }

    /** False when the store did not answer. */
    private async follow(): Promise<boolean> {
        const { address, index } = this.ports;
        const known = this.position;
        const batch = await this.ports.source(address, known?.next ?? 0);
        if (batch === undefined) {
            return false;
        }
        const isContinuous = known?.incarnation === batch.incarnation && !batch.isGap;
        if (!isContinuous) {
            index.follow(address);
            this.ports.journal.emit("cache-store-followed", { address, next: batch.next, isGap: batch.isGap });
        }
        index.apply(address, batch.changes);
        this.position = { incarnation: batch.incarnation, next: batch.next };
        return true;
    }

    private lose(): void {
        if (this.position !== undefined) {
            this.ports.journal.emit("cache-store-lost", { address: this.ports.address });
            this.position = undefined;
            this.ports.index.forget(this.ports.address);
        }
    }
}
