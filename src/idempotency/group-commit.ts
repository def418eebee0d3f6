/** Group commit: writes the waiting operations of a record group together by conditional update. */
import type * as clock from "../clock/clock.js";
import type * as event from "../core/event.js";
import * as outcomes from "../core/outcome.js";
import type * as objectApi from "../object-api/types.js";
import * as codec from "./group-codec.js";
import * as records from "./record-group.js";
import type * as types from "./types.js";

const FIRST_BACKOFF_MS = 20;
const LONGEST_BACKOFF_MS = 1000;
/** Bounds the memory for decoded groups: 16 groups of 900 KB. */
const MAXIMUM_CACHED_GROUPS = 16;

/** Must be idempotent: it is applied again when the answer to a write was lost or another writer came first. */
export type Operation<Result> = (group: types.RecordGroup, wallTime: number) => records.Change<Result>;

export interface Submission<Result> {
    /** Resolves when the result is confirmed by the store, or with a failure that excludes any effect. */
    readonly result: Promise<outcomes.Outcome<Result>>;
    /**
     * Stops the operation. Returns true when it was never part of a write that was sent, so that it has no effect; after
     * false the effect is open and the caller must submit the operation that undoes it.
     */
    withdraw(): boolean;
}

interface Waiting {
    readonly operation: Operation<unknown>;
    readonly resolve: (outcome: outcomes.Outcome<unknown>) => void;
    sent: boolean;
    withdrawn: boolean;
}

interface Base {
    readonly version: number;
    readonly group: types.RecordGroup;
    /** The base was read for this round and is not the memory of an earlier write. */
    readonly fresh: boolean;
}

interface Queue {
    waiting: Waiting[];
    running: Promise<void> | undefined;
}

export interface CommitterOptions {
    readonly store: objectApi.ObjectStore;
    readonly time: clock.Clock;
    readonly journal: event.Journal;
}

export class GroupCommitter implements AsyncDisposable {
    private readonly queues = new Map<string, Queue>();
    private readonly cache = new Map<string, Base>();
    private readonly closing = new AbortController();

    constructor(private readonly options: CommitterOptions) {}

    submit<Result>(name: string, operation: Operation<Result>): Submission<Result> {
        const { promise, resolve } = deferred<outcomes.Outcome<Result>>();
        const waiting: Waiting = {
            operation,
            resolve: outcome => resolve(outcome as outcomes.Outcome<Result>),
            sent: false,
            withdrawn: false,
        };
        const queue = this.queues.get(name) ?? { waiting: [], running: undefined };
        this.queues.set(name, queue);
        queue.waiting.push(waiting);
        queue.running ??= this.drain(name, queue);
        return {
            result: promise,
            withdraw: () => {
                waiting.withdrawn = true;
                return !waiting.sent;
            },
        };
    }

    /** Reads the group from the store. Fails with `store-unavailable` or `idempotency-group-unreadable`. */
    async read(name: string): Promise<outcomes.Outcome<types.RecordGroup>> {
        const base = await this.readBase(name);
        return base.ok ? outcomes.succeed(base.value.group) : base;
    }

    /** Number of operations that wait for the store. */
    get pending(): number {
        return [...this.queues.values()].reduce((total, queue) => total + queue.waiting.length, 0);
    }

    /** Stops writing; operations that are not confirmed stay open. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.closing.abort();
        await Promise.all([...this.queues.values()].map(queue => queue.running));
    }

    private async drain(name: string, queue: Queue): Promise<void> {
        let backoffMs = FIRST_BACKOFF_MS;
        while (!this.closing.signal.aborted) {
            queue.waiting = queue.waiting.filter(waiting => !waiting.withdrawn);
            if (queue.waiting.length === 0) {
                break;
            }
            const progress = await this.round(name, queue);
            if (progress) {
                backoffMs = FIRST_BACKOFF_MS;
                continue;
            }
            await this.options.time.sleep(backoffMs * (0.5 + this.options.time.random()), this.closing.signal);
            backoffMs = Math.min(backoffMs * 2, LONGEST_BACKOFF_MS);
        }
        queue.running = undefined;
        if (queue.waiting.length === 0) {
            this.queues.delete(name);
        }
    }

    /** Returns false when the store gave no definite answer. */
    private async round(name: string, queue: Queue): Promise<boolean> {
        const cached = this.cache.get(name);
        const base = cached === undefined ? await this.readBase(name) : outcomes.succeed(cached);
        if (!base.ok) {
            return this.refuseUnlessTransient(name, queue, queue.waiting, base);
        }
        const batch = queue.waiting.filter(waiting => !waiting.withdrawn);
        const applied = this.apply(base.value.group, batch);
        if (applied.group === base.value.group) {
            return this.confirmUnchanged(name, queue, batch, base.value, applied.results);
        }
        const sentBefore = batch.map(waiting => waiting.sent);
        batch.forEach(waiting => {
            waiting.sent = true;
        });
        const written = await this.options.store.put(name, codec.encode(applied.group), base.value.version);
        if (written.ok) {
            this.remember(name, { version: written.value, group: applied.group, fresh: false });
            confirm(queue, batch, applied.results);
            return true;
        }
        this.cache.delete(name);
        if (written.failure.kind !== "store-write-unconfirmed") {
            batch.forEach((waiting, index) => {
                waiting.sent = sentBefore[index];
            });
        }
        return written.failure.kind === "store-conflict" || this.refuseUnlessTransient(name, queue, batch, written);
    }

    /** Results that change nothing hold only for a group that was read now. */
    private confirmUnchanged(
        name: string,
        queue: Queue,
        batch: readonly Waiting[],
        base: Base,
        results: readonly unknown[],
    ): boolean {
        if (!base.fresh) {
            this.cache.delete(name);
            return true;
        }
        confirm(queue, batch, results);
        return true;
    }

    private apply(
        group: types.RecordGroup,
        batch: readonly Waiting[],
    ): { readonly group: types.RecordGroup; readonly results: readonly unknown[]; } {
        const wallTime = this.options.time.wallTime();
        const pruned = records.prune(group, wallTime);
        let current = pruned;
        const results = batch.map(waiting => {
            const change = waiting.operation(current, wallTime);
            current = change.group;
            return change.result;
        });
        // Removing old records alone is not worth a write.
        return { group: current === pruned ? group : current, results };
    }

    private refuseUnlessTransient(
        name: string,
        queue: Queue,
        batch: readonly Waiting[],
        refusal: outcomes.FailedOutcome,
    ): boolean {
        if (!PERMANENT.has(refusal.failure.kind)) {
            return false;
        }
        this.options.journal.emit("idempotency-group-refused", { group: name, reason: refusal.failure.kind });
        const refused = batch.filter(waiting => !waiting.sent);
        refused.forEach(waiting => waiting.resolve(refusal));
        queue.waiting = queue.waiting.filter(waiting => !refused.includes(waiting));
        return refused.length > 0;
    }

    private async readBase(name: string): Promise<outcomes.Outcome<Base>> {
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

    private remember(name: string, base: Base): void {
        this.cache.delete(name);
        this.cache.set(name, base);
        const [oldest] = this.cache.keys();
        if (this.cache.size > MAXIMUM_CACHED_GROUPS) {
            this.cache.delete(oldest);
        }
    }
}

/** Failures that do not pass with time. */
const PERMANENT: ReadonlySet<string> = new Set(["idempotency-group-unreadable", "store-value-too-large"]);

function confirm(queue: Queue, batch: readonly Waiting[], results: readonly unknown[]): void {
    queue.waiting = queue.waiting.filter(waiting => !batch.includes(waiting));
    batch.forEach((waiting, index) => waiting.resolve(outcomes.succeed(results[index])));
}

function deferred<Value>(): { readonly promise: Promise<Value>; readonly resolve: (value: Value) => void; } {
    let resolve: (value: Value) => void = () => undefined;
    const promise = new Promise<Value>(settle => {
        resolve = settle;
    });
    return { promise, resolve };
}
