/**
 * Keeps the local copy of one kind up to date: lists its records, then watches for changes by long polling, and recovers
 * from outages, unresponsive connections and discarded history.
 */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import type * as failure from "../core/failure.js";
import type * as budgets from "../memory/budget.js";
import type * as reservations from "../memory/reservation.js";
import * as copies from "./kind-copy.js";
import * as positions from "./position.js";
import * as storeCalls from "./store-call.js";
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
/** Maximum number of names in a field of a log line. */
const MAXIMUM_LOGGED_NAMES = 8;

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
    /**
     * Called when an open connection to the store is silent while a new one is answered, with the time in milliseconds at
     * which that was suspected. Connections that were opened before may be silent as well.
     */
    readonly onSilentConnection?: (suspectedAt: number) => void;
    /** Counts what the copy takes. */
    readonly memory?: budgets.MemoryBudget | undefined;
}

interface MissingResponse {
    /** Time in milliseconds by which the store should have responded. */
    readonly dueAt: number;
    /** The connection was silent for the whole wait, and was not closed. */
    readonly isSilent: boolean;
}

/** A call that got no response, so that its connection is suspected rather than the store. */
interface Suspicion extends MissingResponse {
    readonly since: number;
    /** The call, if it still waits for its response. */
    readonly call?: storeCalls.StoreCall<unknown> | undefined;
}

export class KindWatch implements AsyncDisposable {
    readonly copy: copies.KindCopy;
    private readonly stop = new AbortController();
    private disconnectedAt: number | undefined;
    /** Last time in milliseconds at which the store is known to have been up: it has answered this process or a peer. */
    private storeUpAt = Number.NEGATIVE_INFINITY;
    /** End of the pause before the next call, in milliseconds. */
    private pausedUntil = Number.NEGATIVE_INFINITY;
    private suspicion: Suspicion | undefined;
    private needsNewConnection = false;
    /** The connections of this watch were opened after this time in milliseconds. */
    private connectedAt = Number.NEGATIVE_INFINITY;
    /** Time in milliseconds of the last answer of the store. */
    private answeredAt: number | undefined;
    private isFirstWait = true;
    private consecutiveFailures = 0;
    private consecutiveRelistings = 0;
    private isListed = false;
    /** Latest era of which a peer or another kind told; the kind is listed once for each. */
    private expectedEra = -1;
    /** Names of the records at the last reported change. */
    private reportedNames: ReadonlySet<string> = new Set();
    private reportedEmptied: string | undefined;
    private readonly reservation: reservations.Reservation | undefined;
    /** Ends the wait for changes. */
    private interrupt: (() => void) | undefined;
    private loop: Promise<void> = Promise.resolve();

    constructor(private readonly options: WatchOptions, private readonly ports: WatchPorts) {
        this.copy = new copies.KindCopy(options);
        this.reservation = ports.memory?.hold(`copy of ${options.kind}`, "control", 0);
    }

    get kind(): string {
        return this.options.kind;
    }

    /** False before the first listing and while calls to the store fail. */
    get isConnected(): boolean {
        return this.isListed && this.disconnectedAt === undefined;
    }

    /**
     * Time in milliseconds by which batching still delays the next change; 0 while disconnected. Stale reads delay it by a
     * time that nobody knows, so that they are no reason to wait for them.
     */
    get lagMs(): number {
        const pauseMs = Math.max(0, this.pausedUntil - this.ports.clock.now());
        return this.isConnected && !this.options.mayBeStale() ? pauseMs : 0;
    }

    /** Time in milliseconds since the store last confirmed the copy; undefined before its first answer. */
    ageMs(now: number): number | undefined {
        return this.answeredAt === undefined ? undefined : now - this.answeredAt;
    }

    start(): void {
        this.loop = this.run();
    }

    /** Goes on with a new connection, since those to the store that were opened before a time in milliseconds are silent. */
    renewConnection(openedBefore: number): void {
        if (this.disconnectedAt === undefined && this.suspicion === undefined && this.connectedAt < openedBefore) {
            this.needsNewConnection = true;
            this.interrupt?.();
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stop.abort();
        this.interrupt?.();
        this.suspicion?.call?.[Symbol.dispose]();
        this.reservation?.[Symbol.dispose]();
        await Promise.race([this.loop, this.ports.clock.sleep(0)]);
    }

    /** Replaces the copy with a peer's copy if that one is newer. */
    adopt(listing: types.Listing, peer: string): void {
        if (positions.isAfter(listing, this.copy.position) && this.replaceCopy(listing)) {
            this.storeUpAt = this.ports.clock.now();
            this.reportChange("copy of a peer", peer);
            // The own connection has not told of the change in time.
            if (!this.options.mayBeStale()) {
                this.isFirstWait = true;
                this.renewConnection(this.ports.clock.now());
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
            this.settle();
            if (pauseMs !== undefined) {
                await this.pause(pauseMs);
            }
        }
    }

    /** Held states of the copy also end in the pause, which may be long while the store does not respond. */
    private async pause(pauseMs: number): Promise<void> {
        const { clock } = this.ports;
        this.pausedUntil = clock.now() + pauseMs;
        let remainingMs = pauseMs;
        while (remainingMs > 0 && !this.stop.signal.aborted) {
            const settlementMs = Math.max(PROBE_WAIT_MS, (this.copy.nextSettlementAt ?? Infinity) - clock.now());
            await clock.sleep(Math.min(remainingMs, settlementMs), this.stop.signal);
            this.settle();
            remainingMs = this.pausedUntil - clock.now();
        }
    }

    private settle(): void {
        try {
            if (this.copy.settle(this.ports.clock.now())) {
                this.reportChange("grace period over", "store");
            }
        }
        catch (error) {
            this.recordUnusable(error as Error);
        }
    }

    /** Reads once. Records that cannot be used are listed again later, since the process goes on with its last copy. */
    private async readSafely(): Promise<number | undefined> {
        try {
            return this.isListed ? await this.watchOnce() : await this.listOnce();
        }
        catch (error) {
            return this.recordUnusable(error as Error);
        }
    }

    private recordUnusable(error: Error): number {
        this.isListed = false;
        this.ports.journal.emit("store-kind-unusable", {
            kind: this.options.kind,
            reason: error.stack ?? String(error),
        });
        return this.recordFailure(error.message, this.ports.clock.now());
    }

    /** Lists all records. Returns the pause before the next call in milliseconds, if any. */
    private async listOnce(): Promise<number | undefined> {
        const startedAt = this.ports.clock.now();
        const answer = await this.read({
            reads: "listing",
            askedAt: this.copy.position,
            dueAt: startedAt,
            send: options => this.ports.store.list(this.options.kind, options),
        });
        if (answer === undefined) {
            return undefined;
        }
        const listing = answer.outcome;
        if (!listing.ok) {
            return this.handleFailure(listing.failure, { dueAt: startedAt, isSilent: false });
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
        const { position } = this.copy;
        const answer = await this.read({
            reads: "changes",
            askedAt: position,
            dueAt: startedAt + waitMs,
            send: options => {
                return this.ports.store.watch(this.options.kind, position.revision, { waitMs, mayBeStale, ...options });
            },
        });
        if (answer === undefined) {
            return undefined;
        }
        // The copy of a peer may have been adopted before the answer arrived.
        const { outcome: batch, askedAt } = answer;
        const now = this.ports.clock.now();
        if (!batch.ok) {
            const { kind } = batch.failure;
            return kind === "store-history-lost" || kind === "store-changes-unreadable"
                ? this.relist(askedAt, kind)
                : this.handleFailure(batch.failure, {
                    dueAt: startedAt + waitMs,
                    isSilent: now - startedAt >= waitMs,
                });
        }
        this.recordSuccess();
        const { era } = this.copy.position;
        if (batch.value.era > era) {
            return this.relist(batch.value, "store-history-lost");
        }
        const previous = this.copy.position;
        const applied = this.copy.apply(batch.value, askedAt, now);
        const hasAdvanced = positions.isAfter(this.copy.position, previous);
        const changes = applied ?? [];
        this.consecutiveRelistings = applied === undefined ? this.consecutiveRelistings : 0;
        if (changes.length > 0) {
            const names = changes.map(change => `${change.isDeleted ? "-" : "+"}${change.record.name}`);
            this.reportChange(nameList(names)!, mayBeStale ? "stale copy of the store" : "store");
        }
        if (this.copy.canRestore) {
            this.isListed = false;
        }
        if (changes.length > 0 && hasAdvanced) {
            this.isFirstWait = true;
            return this.options.batchDelayMs();
        }
        // A stale copy that is behind this one may answer at once; asking again from the same position would not help.
        const hasWaited = now - startedAt >= waitMs / 2;
        return hasWaited || positions.isAfter(previous, askedAt) ? undefined : EMPTY_ANSWER_PAUSE_MS;
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

    /**
     * Undefined if the call was interrupted, or is overdue, so that a new connection is tried. The call before may still be
     * answered first.
     */
    private async read<Value>(
        request: storeCalls.ReadRequest<Value>,
    ): Promise<storeCalls.Answer<Value> | undefined> {
        const call = new storeCalls.StoreCall(request, this.connectionOptions());
        const interruption = new Promise<undefined>(resolve => {
            this.interrupt = () => {
                resolve(undefined);
                call[Symbol.dispose]();
            };
        });
        const mayBeSilent = this.disconnectedAt === undefined && this.suspicion === undefined;
        const earlier = this.suspicion?.call?.request.reads === request.reads
            ? this.suspicion.call as storeCalls.StoreCall<Value>
            : undefined;
        try {
            const end = await Promise.race([
                interruption,
                call.answer,
                ...mayBeSilent ? [call.overdue] : [],
                ...earlier === undefined ? [] : [earlier.response()],
            ]);
            if (end !== "overdue") {
                return end;
            }
        }
        finally {
            this.interrupt = undefined;
            if (earlier?.hasResponse === true) {
                call[Symbol.dispose]();
            }
        }
        this.suspect({ dueAt: request.dueAt, isSilent: true }, call);
        return undefined;
    }

    /** Tries a new connection next; a connection that fails alone is no outage. */
    private suspect(missing: MissingResponse, call?: storeCalls.StoreCall<unknown>): void {
        this.suspicion = { ...missing, since: this.ports.clock.now(), call };
        this.needsNewConnection = true;
    }

    /** Lists the kind with the next call. Returns the pause before it: a listing that does not help is not repeated at once. */
    private relist(
        position: types.Position,
        reason: "store-history-lost" | "store-changes-unreadable",
    ): number | undefined {
        this.isListed = false;
        this.ports.journal.emit(reason, { kind: this.options.kind, ...position });
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
        const { era, revision } = this.copy.position;
        const shown = new Set(this.copy.records(this.ports.clock.now()).map(({ name }) => name));
        const appeared = [...shown].filter(name => !this.reportedNames.has(name));
        const vanished = [...this.reportedNames].filter(name => !shown.has(name));
        this.reportedNames = shown;
        this.ports.journal.emit("store-kind-changed", {
            kind: this.options.kind,
            change,
            revision,
            era,
            source,
            appeared: nameList(appeared),
            vanished: nameList(vanished),
            held: nameList(this.copy.heldNames),
        });
        this.recordSize();
        this.ports.onChange(this.copy);
    }

    /** Counts what the copy takes now, and tells of records whose content has no room. */
    private recordSize(): void {
        const { reservation, copy } = this;
        const grownBytes = copy.bytes - (reservation?.bytes ?? 0);
        if (grownBytes > 0) {
            reservation?.grow(grownBytes);
        }
        else {
            reservation?.shrink(-grownBytes);
        }
        const emptied = nameList(copy.emptiedNames);
        if (emptied !== this.reportedEmptied) {
            this.reportedEmptied = emptied;
            this.ports.journal.emit("store-kind-reduced", { kind: this.kind, bytes: copy.bytes, emptied });
        }
    }

    private connectionOptions(): types.ReadOptions {
        const onNewConnection = this.needsNewConnection;
        this.needsNewConnection = false;
        if (!onNewConnection) {
            return {};
        }
        this.connectedAt = this.ports.clock.now();
        return { onNewConnection };
    }

    /**
     * Returns the pause before the next call in milliseconds, if any. A call without a response is first repeated at once on
     * a new connection.
     */
    private handleFailure(failure: failure.Failure, missing: MissingResponse): number | undefined {
        if (
            failure.kind === "store-no-response" && this.disconnectedAt === undefined && this.suspicion === undefined
        ) {
            this.suspect(missing);
            return undefined;
        }
        const { dueAt } = this.suspicion ?? missing;
        this.suspicion?.call?.[Symbol.dispose]();
        this.suspicion = undefined;
        return this.recordFailure(failure.detail, dueAt);
    }

    /** The store has answered on a new connection. A slow one has answered the call before as well by then. */
    private clearSuspicion({ since, call, isSilent: wasSilent }: Suspicion, now: number): void {
        this.suspicion = undefined;
        const { kind } = this.options;
        const probeMs = now - since;
        const isSilent = wasSilent && (call === undefined ? probeMs <= SLOW_PROBE_MS : !call.hasResponse);
        call?.[Symbol.dispose]();
        this.ports.journal.emit("store-connection-replaced", { kind, isSilent, probeMs: Math.round(probeMs) });
        if (isSilent) {
            this.ports.onSilentConnection?.(since);
        }
    }

    private recordSuccess(): void {
        this.consecutiveFailures = 0;
        const now = this.ports.clock.now();
        this.answeredAt = now;
        if (this.suspicion !== undefined) {
            this.clearSuspicion(this.suspicion, now);
        }
        if (this.disconnectedAt !== undefined) {
            this.copy.storeRecovered(now, now - Math.max(this.disconnectedAt, this.storeUpAt));
            const lostMs = Math.round(now - this.disconnectedAt);
            this.disconnectedAt = undefined;
            this.ports.journal.emit("store-kind-regained", { kind: this.options.kind, lostMs });
        }
        this.storeUpAt = now;
    }

    /** `dueAt` is the time in milliseconds by which the store should have answered. */
    private recordFailure(reason: string, dueAt: number): number {
        if (this.disconnectedAt === undefined) {
            this.disconnectedAt = Math.min(dueAt, this.ports.clock.now());
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

/** Undefined without any. */
function nameList(names: readonly string[]): string | undefined {
    const omitted = names.length - MAXIMUM_LOGGED_NAMES;
    const listed = names.slice(0, MAXIMUM_LOGGED_NAMES).join(" ");
    return names.length === 0 ? undefined : omitted > 0 ? `${listed} and ${omitted} more` : listed;
}
