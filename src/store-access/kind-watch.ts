/**
 * Keeps the local copy of one kind up to date: lists its records, then watches for changes by long polling, and recovers
 * from outages, unresponsive connections and discarded history.
 */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import type * as failure from "../core/failure.js";
import * as copies from "./kind-copy.js";
import * as positions from "./position.js";
import type * as types from "./types.js";

/** Bounds of the exponential backoff in milliseconds; the maximum limits the delay after an outage. */
const INITIAL_BACKOFF_MS = 150;
const MAXIMUM_BACKOFF_MS = 800;
/** Long-poll wait in milliseconds while the store does not respond. */
const PROBE_WAIT_MS = 1;
/** Time in milliseconds above which the answer on a new connection shows that the store is slow, and no connection silent. */
const SLOW_PROBE_MS = 400;
/** Pause in milliseconds after an answer without changes that arrived before its wait was over. */
const EMPTY_ANSWER_PAUSE_MS = 400;

export interface WatchOptions extends copies.KindCopyOptions {
    readonly kind: string;
    /**
     * Longest long-poll wait in milliseconds; also the time after which an unresponsive connection is detected. The first
     * wait after a change begins at about the same time in all processes.
     */
    readonly waitMs: (isFirst: boolean) => number;
    /** Whether changes may arrive seconds late, since peers tell of newer revisions and have them. */
    readonly mayBeStale: () => boolean;
    /** Pause in milliseconds after a change, so that a single call fetches several successive changes. */
    readonly batchDelayMs: () => number;
}

export interface WatchPorts {
    readonly store: types.RecordStore;
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    /** Called after each change of the copy. */
    readonly onChange: (copy: copies.KindCopy) => void;
    /** Called when the copy has reached a later era of the store than before. */
    readonly onEraChange: (era: number) => void;
    /** Called when an open connection to the store was silent for a whole wait while a new one is answered. */
    readonly onSilentConnection?: () => void;
}

/** A call that got no response, so that its connection is suspected rather than the store. */
interface Suspicion {
    readonly since: number;
    /** The connection was silent for the whole wait, and was not closed. */
    readonly isSilent: boolean;
}

export class KindWatch implements AsyncDisposable {
    readonly copy: copies.KindCopy;
    private readonly stop = new AbortController();
    private disconnectedAt: number | undefined;
    private suspicion: Suspicion | undefined;
    private needsNewConnection = false;
    /** Time in milliseconds of the last answer of the store. */
    private answeredAt: number | undefined;
    private isFirstWait = true;
    private consecutiveFailures = 0;
    private consecutiveRelistings = 0;
    private isListed = false;
    /** Latest era of which a peer or another kind told; the kind is listed once for each. */
    private expectedEra = -1;
    /** Ends the wait for changes. */
    private interrupt: (() => void) | undefined;
    private loop: Promise<void> = Promise.resolve();

    constructor(private readonly options: WatchOptions, private readonly ports: WatchPorts) {
        this.copy = new copies.KindCopy(options);
    }

    get kind(): string {
        return this.options.kind;
    }

    /** False before the first listing and while calls to the store fail. */
    get isConnected(): boolean {
        return this.isListed && this.disconnectedAt === undefined;
    }

    /**
     * Time in milliseconds by which batching delays the copy; 0 while disconnected. Stale reads delay it by a time that
     * nobody knows, so that they are no reason to wait for them.
     */
    get lagMs(): number {
        return this.isConnected && !this.options.mayBeStale() ? this.options.batchDelayMs() : 0;
    }

    /** Time in milliseconds since the store last confirmed the copy; undefined before its first answer. */
    ageMs(now: number): number | undefined {
        return this.answeredAt === undefined ? undefined : now - this.answeredAt;
    }

    start(): void {
        this.loop = this.run();
    }

    /** Goes on with a new connection, since open ones to the store are silent. */
    renewConnection(): void {
        if (this.isConnected && this.suspicion === undefined) {
            this.needsNewConnection = true;
            this.interrupt?.();
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stop.abort();
        this.interrupt?.();
        await Promise.race([this.loop, this.ports.clock.sleep(0)]);
    }

    /** Replaces the copy with a peer's copy if that one is newer. */
    adopt(listing: types.Listing, peer: string): void {
        if (positions.isAfter(listing, this.copy.position) && this.replaceCopy(listing)) {
            this.reportChange("copy of a peer", peer);
            // The own connection has not told of the change in time.
            if (!this.options.mayBeStale()) {
                this.renewConnection();
            }
        }
    }

    /** Lists the kind again if the copy is from an earlier era: the wait for changes of that era would not tell. */
    expectEra(era: number): void {
        if (this.isListed && era > Math.max(this.copy.position.era, this.expectedEra)) {
            this.expectedEra = era;
            this.isListed = false;
            this.interrupt?.();
        }
    }

    private async run(): Promise<void> {
        while (!this.stop.signal.aborted) {
            const pauseMs = await this.readSafely();
            if (pauseMs !== undefined) {
                await this.ports.clock.sleep(pauseMs, this.stop.signal);
            }
        }
    }

    /** Reads once. Records that cannot be used are listed again later, since the process goes on with its last copy. */
    private async readSafely(): Promise<number | undefined> {
        try {
            return this.isListed ? await this.watchOnce() : await this.listOnce();
        }
        catch (error) {
            this.isListed = false;
            this.ports.journal.emit("store-kind-unusable", {
                kind: this.options.kind,
                reason: (error as Error).stack ?? String(error),
            });
            return this.recordFailure((error as Error).message);
        }
    }

    /** Lists all records. Returns the pause before the next call in milliseconds, if any. */
    private async listOnce(): Promise<number | undefined> {
        const listing = await this.ports.store.list(this.options.kind, this.connectionOptions());
        if (!listing.ok) {
            return this.handleFailure(listing.failure, false);
        }
        this.recordSuccess();
        this.isListed = true;
        this.isFirstWait = true;
        if (this.replaceCopy(listing.value)) {
            this.reportChange(`${listing.value.records.length} records listed`, "store");
        }
        else {
            const { era, revision } = this.copy.position;
            const { era: listedEra, revision: listed } = listing.value;
            this.ports.journal.emit("store-listing-ignored", {
                kind: this.options.kind,
                listed,
                listedEra,
                revision,
                era,
            });
        }
        return undefined;
    }

    /** Waits for changes once. Returns the pause before the next call in milliseconds, if any. */
    private async watchOnce(): Promise<number | undefined> {
        // A long-poll call during an outage could hang and delay the detection of the recovery for its whole wait.
        const isProbe = this.disconnectedAt !== undefined || this.suspicion !== undefined;
        const waitMs = isProbe ? PROBE_WAIT_MS : this.waitMs();
        const mayBeStale = !isProbe && this.options.mayBeStale();
        const startedAt = this.ports.clock.now();
        const options = { waitMs, mayBeStale, ...this.connectionOptions() };
        const batch = await this.interruptible(signal => {
            return this.ports.store.watch(this.options.kind, this.copy.revision, { ...options, signal });
        });
        if (batch === undefined) {
            return undefined;
        }
        const now = this.ports.clock.now();
        if (!batch.ok) {
            return batch.failure.kind === "store-history-lost"
                ? this.relist(this.copy.position)
                : this.handleFailure(batch.failure, now - startedAt >= waitMs);
        }
        this.recordSuccess();
        const isSettled = this.copy.settle(now);
        const { era } = this.copy.position;
        if (batch.value.era > era) {
            return this.relist(batch.value);
        }
        const previous = this.copy.position;
        const isApplied = this.copy.apply(batch.value, now);
        const hasAdvanced = positions.isAfter(this.copy.position, previous);
        const changes = isApplied ? batch.value.changes : [];
        this.consecutiveRelistings = isApplied ? 0 : this.consecutiveRelistings;
        if (changes.length > 0 || isSettled) {
            const names = changes.map(change => `${change.isDeleted ? "-" : "+"}${change.record.name}`);
            this.reportChange(isSettled ? "grace period over" : names.slice(0, 8).join(" "), "store");
        }
        if (changes.length > 0 && hasAdvanced) {
            this.isFirstWait = true;
            return this.options.batchDelayMs();
        }
        // A stale copy that is behind this one may answer at once; asking again would not help.
        const hasWaited = now - startedAt >= waitMs / 2;
        return hasWaited ? undefined : EMPTY_ANSWER_PAUSE_MS;
    }

    /** Longest wait for a change, which ends when a grace period of the copy does. */
    private waitMs(): number {
        const waitMs = this.options.waitMs(this.isFirstWait);
        this.isFirstWait = false;
        const settlementAt = this.copy.nextSettlementAt;
        return settlementAt === undefined
            ? waitMs
            : Math.min(waitMs, Math.max(PROBE_WAIT_MS, Math.ceil(settlementAt - this.ports.clock.now())));
    }

    /** Undefined if the wait is interrupted. */
    private async interruptible<Value>(call: (signal: AbortSignal) => Promise<Value>): Promise<Value | undefined> {
        const abortion = new AbortController();
        const interruption = new Promise<undefined>(resolve => {
            this.interrupt = () => {
                resolve(undefined);
                abortion.abort();
            };
        });
        try {
            return await Promise.race([interruption, call(abortion.signal)]);
        }
        finally {
            this.interrupt = undefined;
        }
    }

    /** Lists the kind with the next call. Returns the pause before it: a listing that does not help is not repeated at once. */
    private relist(position: types.Position): number | undefined {
        this.isListed = false;
        this.ports.journal.emit("store-history-lost", { kind: this.options.kind, ...position });
        this.consecutiveRelistings++;
        return this.consecutiveRelistings === 1 ? undefined : this.backoffMs(this.consecutiveRelistings - 1);
    }

    private replaceCopy(listing: types.Listing): boolean {
        const { era: previous } = this.copy.position;
        const { era, revision } = listing;
        if (!this.copy.replace(listing, this.ports.clock.now())) {
            return false;
        }
        if (previous >= 0 && era > previous) {
            this.ports.journal.emit("store-era-changed", { kind: this.options.kind, era, previous, revision });
            this.ports.onEraChange(era);
        }
        return true;
    }

    private reportChange(change: string, source: string): void {
        const revision = this.copy.revision;
        this.ports.journal.emit("store-kind-changed", { kind: this.options.kind, change, revision, source });
        this.ports.onChange(this.copy);
    }

    private connectionOptions(): types.ReadOptions {
        const onNewConnection = this.needsNewConnection;
        this.needsNewConnection = false;
        return onNewConnection ? { onNewConnection } : {};
    }

    /**
     * Returns the pause before the next call in milliseconds, if any. A connection that fails alone is no outage, so a call
     * without a response is first repeated at once on a new connection.
     */
    private handleFailure(failure: failure.Failure, isSilent: boolean): number | undefined {
        if (
            failure.kind === "store-no-response" && this.disconnectedAt === undefined && this.suspicion === undefined
        ) {
            this.suspicion = { since: this.ports.clock.now(), isSilent };
            this.needsNewConnection = true;
            return undefined;
        }
        this.suspicion = undefined;
        return this.recordFailure(failure.detail);
    }

    private clearSuspicion(suspicion: Suspicion, now: number): void {
        this.suspicion = undefined;
        const { kind } = this.options;
        const probeMs = Math.round(now - suspicion.since);
        const isSilent = suspicion.isSilent && probeMs <= SLOW_PROBE_MS;
        this.ports.journal.emit("store-connection-replaced", { kind, isSilent, probeMs });
        if (isSilent) {
            this.ports.onSilentConnection?.();
        }
    }

    private recordSuccess(): void {
        this.consecutiveFailures = 0;
        this.answeredAt = this.ports.clock.now();
        if (this.suspicion !== undefined) {
            this.clearSuspicion(this.suspicion, this.answeredAt);
        }
        if (this.disconnectedAt === undefined) {
            return;
        }
        const now = this.ports.clock.now();
        this.copy.storeRecovered(now);
        const lostMs = Math.round(now - this.disconnectedAt);
        this.disconnectedAt = undefined;
        this.ports.journal.emit("store-kind-regained", { kind: this.options.kind, lostMs });
    }

    private recordFailure(reason: string): number {
        if (this.disconnectedAt === undefined) {
            this.disconnectedAt = this.ports.clock.now();
            const revision = this.copy.revision;
            this.ports.journal.emit("store-kind-lost", { kind: this.options.kind, reason, revision });
        }
        this.consecutiveFailures++;
        return this.backoffMs(this.consecutiveFailures);
    }

    private backoffMs(repetitions: number): number {
        const backoffMs = Math.min(MAXIMUM_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (repetitions - 1));
        return backoffMs * (0.75 + this.ports.clock.random() / 2);
    }
}
