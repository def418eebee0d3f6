/** Keeps the copy of one kind: lists, watches, and recovers from outages, silence and lost history. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import * as copies from "./kind-copy.js";
import type * as types from "./types.js";

/** Pauses between calls that fail, in milliseconds; the longest one bounds the delay after an outage. */
const FIRST_PAUSE_MS = 150;
const LONGEST_PAUSE_MS = 800;
/** Wait of a call in milliseconds while the store does not answer. */
const PROBE_WAIT_MS = 1;

export interface WatchOptions extends copies.KindCopyOptions {
    readonly kind: string;
    /** Longest wait of one call in milliseconds; also the time in which a silent connection is noticed. */
    readonly waitMs: () => number;
    /** Pause in milliseconds after a change, so that changes in a row take one call. */
    readonly collectMs: () => number;
}

export interface WatchPorts {
    readonly store: types.RecordStore;
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    /** Is told after each change of the copy. */
    readonly changed: (copy: copies.KindCopy) => void;
}

export class KindWatch implements AsyncDisposable {
    readonly copy: copies.KindCopy;
    private readonly stop = new AbortController();
    private lostAt: number | undefined;
    private failures = 0;
    private isListed = false;
    private loop: Promise<void> = Promise.resolve();

    constructor(private readonly options: WatchOptions, private readonly ports: WatchPorts) {
        this.copy = new copies.KindCopy(options);
    }

    get kind(): string {
        return this.options.kind;
    }

    /** False while calls to the store fail. */
    get isConnected(): boolean {
        return this.isListed && this.lostAt === undefined;
    }

    /** Time in milliseconds by which the copy is behind the store on purpose. */
    get lagMs(): number {
        return this.isConnected ? this.options.collectMs() : 0;
    }

    start(): void {
        this.loop = this.run();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stop.abort();
        await Promise.race([this.loop, this.ports.clock.sleep(0)]);
    }

    /** Adopts the copy of a peer when it is newer. */
    adopt(listing: types.Listing, peer: string): void {
        const now = this.ports.clock.now();
        if (listing.revision > this.copy.revision && this.copy.replace(listing, now)) {
            this.report("copy of a peer", peer);
        }
    }

    private async run(): Promise<void> {
        while (!this.stop.signal.aborted) {
            const outcome = this.isListed ? await this.watchOnce() : await this.listOnce();
            if (outcome !== undefined) {
                await this.ports.clock.sleep(outcome, this.stop.signal);
            }
        }
    }

    /** Returns the pause before the next call in milliseconds. */
    private async listOnce(): Promise<number | undefined> {
        const listing = await this.ports.store.list(this.options.kind);
        if (!listing.ok) {
            return this.failed(listing.failure.detail);
        }
        this.succeeded();
        this.isListed = true;
        if (this.copy.replace(listing.value, this.ports.clock.now())) {
            this.report(`${listing.value.records.length} records listed`, "store");
        }
        return undefined;
    }

    private async watchOnce(): Promise<number | undefined> {
        // While the store does not answer, a call that hangs may hide its return for as long as it waits.
        const waitMs = this.lostAt === undefined ? this.options.waitMs() : PROBE_WAIT_MS;
        const batch = await this.ports.store.watch(this.options.kind, this.copy.revision, waitMs);
        if (!batch.ok) {
            if (batch.failure.kind === "store-history-lost") {
                this.isListed = false;
                return undefined;
            }
            return this.failed(batch.failure.detail);
        }
        this.succeeded();
        this.copy.apply(batch.value, this.ports.clock.now());
        if (batch.value.changes.length === 0) {
            return undefined;
        }
        const names = batch.value.changes.map(change => `${change.isDeleted ? "-" : "+"}${change.record.name}`);
        this.report(names.slice(0, 8).join(" "), "store");
        return this.options.collectMs();
    }

    private report(change: string, source: string): void {
        const revision = this.copy.revision;
        this.ports.journal.emit("store-kind-changed", { kind: this.options.kind, change, revision, source });
        this.ports.changed(this.copy);
    }

    private succeeded(): void {
        this.failures = 0;
        if (this.lostAt === undefined) {
            return;
        }
        const now = this.ports.clock.now();
        this.copy.storeReturned(now);
        const lostMs = Math.round(now - this.lostAt);
        this.lostAt = undefined;
        this.ports.journal.emit("store-kind-regained", { kind: this.options.kind, lostMs });
    }

    private failed(reason: string): number {
        if (this.lostAt === undefined) {
            this.lostAt = this.ports.clock.now();
            const revision = this.copy.revision;
            this.ports.journal.emit("store-kind-lost", { kind: this.options.kind, reason, revision });
        }
        this.failures++;
        const pause = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (this.failures - 1));
        return pause * (0.75 + this.ports.clock.random() / 2);
    }
}
