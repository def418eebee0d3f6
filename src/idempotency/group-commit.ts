/** Group commit: writes all pending operations of a record group in one conditional update. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import * as outcomes from "../core/outcome.js";
import type * as objectApi from "../object-api/types.js";
import * as codec from "./group-codec.js";
import * as records from "./record-group.js";
import type * as types from "./types.js";

const INITIAL_BACKOFF_MS = 20;
const MAXIMUM_BACKOFF_MS = 1000;
/** Limits the memory for decoded groups to 16 groups of up to 900 KB. */
const MAXIMUM_CACHED_GROUPS = 16;

/** Must be idempotent: it is applied again if the response to a write is lost or another write takes precedence. */
export type Operation<Result> = (group: types.RecordGroup, wallTime: number) => records.Change<Result>;

/** An operation that was submitted. */
export interface Submission<Result> {
    /** Resolves when the store has confirmed the result, or with a failure that guarantees that nothing was written. */
    readonly result: Promise<outcomes.Outcome<Result>>;
    /**
     * Cancels the operation. Returns true if it was not part of any write that was sent and therefore has no effect. If
     * it returns false, the operation may take effect, and the caller must submit an operation that undoes it.
     */
    withdraw(): boolean;
}

interface PendingOperation {
    readonly operation: Operation<unknown>;
    readonly resolve: (outcome: outcomes.Outcome<unknown>) => void;
    sent: boolean;
    withdrawn: boolean;
}

/** A version of a group to which the next batch is applied. */
interface GroupSnapshot {
    readonly version: number;
    readonly group: types.RecordGroup;
    /** The group was read from the store for this batch, not cached from an earlier write. */
    readonly fresh: boolean;
}

/** The pending operations of one group, and the task that writes them. */
interface Queue {
    pending: PendingOperation[];
    drainTask: Promise<void> | undefined;
}

export interface CommitterOptions {
    readonly store: objectApi.ObjectStore;
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
}

export class GroupCommitter implements AsyncDisposable {
    private readonly queues = new Map<string, Queue>();
    private readonly cache = new Map<string, GroupSnapshot>();
    private readonly closing = new AbortController();

    constructor(private readonly options: CommitterOptions) {}

    /** Adds the operation to the next write of the named group. */
    submit<Result>(name: string, operation: Operation<Result>): Submission<Result> {
        const { promise, resolve } = deferred<outcomes.Outcome<Result>>();
        const pending: PendingOperation = {
            operation,
            resolve: outcome => resolve(outcome as outcomes.Outcome<Result>),
            sent: false,
            withdrawn: false,
        };
        const queue = this.queues.get(name) ?? { pending: [], drainTask: undefined };
        this.queues.set(name, queue);
        queue.pending.push(pending);
        queue.drainTask ??= this.drain(name, queue);
        return {
            result: promise,
            withdraw: () => {
                pending.withdrawn = true;
                return !pending.sent;
            },
        };
    }

    /** Reads the group from the store. Fails with `store-unavailable` or `idempotency-group-unreadable`. */
    async read(name: string): Promise<outcomes.Outcome<types.RecordGroup>> {
        const snapshot = await this.readSnapshot(name);
        return snapshot.ok ? outcomes.succeed(snapshot.value.group) : snapshot;
    }

    /** Number of operations that the store has not confirmed. */
    get pending(): number {
        return [...this.queues.values()].reduce((total, queue) => total + queue.pending.length, 0);
    }

    /** Stops writing; the results of unconfirmed operations never resolve. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.closing.abort();
        await Promise.all([...this.queues.values()].map(queue => queue.drainTask));
    }

    private async drain(name: string, queue: Queue): Promise<void> {
        let backoffMs = INITIAL_BACKOFF_MS;
        while (!this.closing.signal.aborted) {
            queue.pending = queue.pending.filter(pending => !pending.withdrawn);
            if (queue.pending.length === 0) {
                break;
            }
            const hasProgressed = await this.commitBatch(name, queue);
            if (hasProgressed) {
                backoffMs = INITIAL_BACKOFF_MS;
                continue;
            }
            await this.options.clock.sleep(backoffMs * (0.5 + this.options.clock.random()), this.closing.signal);
            backoffMs = Math.min(backoffMs * 2, MAXIMUM_BACKOFF_MS);
        }
        queue.drainTask = undefined;
        if (queue.pending.length === 0) {
            this.queues.delete(name);
        }
    }

    /** Writes one batch. Returns false if the store gave no definite result, so that the caller backs off. */
    private async commitBatch(name: string, queue: Queue): Promise<boolean> {
        const cached = this.cache.get(name);
        const snapshot = cached === undefined ? await this.readSnapshot(name) : outcomes.succeed(cached);
        if (!snapshot.ok) {
            return this.refuseUnlessTransient(name, queue, queue.pending, snapshot);
        }
        const batch = queue.pending.filter(pending => !pending.withdrawn);
        const applied = this.apply(snapshot.value.group, batch);
        if (applied.group === snapshot.value.group) {
            return this.confirmUnchanged(name, queue, batch, snapshot.value, applied.results);
        }
        const sentBefore = batch.map(pending => pending.sent);
        batch.forEach(pending => {
            pending.sent = true;
        });
        const written = await this.options.store.put(name, codec.encode(applied.group), snapshot.value.version);
        if (written.ok) {
            this.cacheSnapshot(name, { version: written.value, group: applied.group, fresh: false });
            confirm(queue, batch, applied.results);
            return true;
        }
        this.cache.delete(name);
        if (written.failure.kind !== "store-write-unconfirmed") {
            batch.forEach((pending, index) => {
                pending.sent = sentBefore[index];
            });
        }
        return written.failure.kind === "store-conflict" || this.refuseUnlessTransient(name, queue, batch, written);
    }

    /**
     * Confirms results that need no write, but only if the group was just read: a cached group may be outdated, so it
     * is dropped and read again.
     */
    private confirmUnchanged(
        name: string,
        queue: Queue,
        batch: readonly PendingOperation[],
        snapshot: GroupSnapshot,
        results: readonly unknown[],
    ): boolean {
        if (!snapshot.fresh) {
            this.cache.delete(name);
            return true;
        }
        confirm(queue, batch, results);
        return true;
    }

    private apply(
        group: types.RecordGroup,
        batch: readonly PendingOperation[],
    ): { readonly group: types.RecordGroup; readonly results: readonly unknown[]; } {
        const wallTime = this.options.clock.wallTime();
        const pruned = records.prune(group, wallTime);
        let current = pruned;
        const results = batch.map(pending => {
            const change = pending.operation(current, wallTime);
            current = change.group;
            return change.result;
        });
        // Expired records are removed with the next change; they do not cause a write of their own.
        return { group: current === pruned ? group : current, results };
    }

    private refuseUnlessTransient(
        name: string,
        queue: Queue,
        batch: readonly PendingOperation[],
        refusal: outcomes.FailedOutcome,
    ): boolean {
        if (!PERMANENT_FAILURES.has(refusal.failure.kind)) {
            return false;
        }
        this.options.journal.emit("idempotency-group-refused", { group: name, reason: refusal.failure.kind });
        const refused = batch.filter(pending => !pending.sent);
        refused.forEach(pending => pending.resolve(refusal));
        queue.pending = queue.pending.filter(pending => !refused.includes(pending));
        return refused.length > 0;
    }

    private async readSnapshot(name: string): Promise<outcomes.Outcome<GroupSnapshot>> {
        const object = await this.options.store.get(name);
        if (!object.ok) {
            return object;
        }
        if (object.value === undefined) {
            return outcomes.succeed({ version: 0, group: records.emptyGroup, fresh: true });
        }
        const group = codec.decode(name, object.value.value);
        return group.ok ? outcomes.succeed({ version: object.value.version, group: group.value, fresh: true }) : group;
    }

    private cacheSnapshot(name: string, snapshot: GroupSnapshot): void {
        this.cache.delete(name);
        this.cache.set(name, snapshot);
        const [oldest] = this.cache.keys();
        if (this.cache.size > MAXIMUM_CACHED_GROUPS) {
            this.cache.delete(oldest);
        }
    }
}

/** Failures that a later attempt cannot resolve. */
const PERMANENT_FAILURES: ReadonlySet<string> = new Set(["idempotency-group-unreadable", "store-value-too-large"]);

function confirm(queue: Queue, batch: readonly PendingOperation[], results: readonly unknown[]): void {
    queue.pending = queue.pending.filter(pending => !batch.includes(pending));
    batch.forEach((pending, index) => pending.resolve(outcomes.succeed(results[index])));
}

function deferred<Value>(): { readonly promise: Promise<Value>; readonly resolve: (value: Value) => void; } {
    let resolve: (value: Value) => void = () => undefined;
    const promise = new Promise<Value>(resolvePromise => {
        resolve = resolvePromise;
    });
    return { promise, resolve };
}
