/** Asynchronous interface of the fair queue: callers wait for a slot and release it. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import * as outcomes from "../core/outcome.js";
import * as fairQueues from "./fair-queue.js";
import type * as types from "./types.js";

/** Permission to run one job. Disposal without a call of `complete` charges the expected cost. */
export interface Slot extends Disposable {
    /** Ends the job with its actual cost in tokens. */
    complete(actualCost: number): void;
}

type ResolveAcquire = (outcome: outcomes.Outcome<Slot>) => void;

export class JobQueue implements Disposable {
    private readonly queue: fairQueues.FairQueue;
    private readonly pending = new Map<number, ResolveAcquire>();
    private timer: AbortController | undefined;
    private timerDueAt = Number.POSITIVE_INFINITY;
    private lastId = 0;
    private closed = false;

    constructor(limits: types.Limits, private readonly clock: clocks.Clock, private readonly journal: event.Journal) {
        this.queue = new fairQueues.FairQueue(limits);
    }

    setWeights(weights: types.Weights): void {
        this.queue.setWeights(weights);
    }

    load(): fairQueues.Load {
        return this.queue.load();
    }

    /**
     * Waits for a slot. It fails with `queue-full`, `queue-deadline`, `queue-cancelled` or `queue-closed`; the job has
     * not run in any of these cases.
     */
    acquire(request: types.JobRequest, signal?: AbortSignal): Promise<outcomes.Outcome<Slot>> {
        if (this.closed) {
            return Promise.resolve(outcomes.fail("queue-closed", request.customer));
        }
        if (signal?.aborted === true) {
            return Promise.resolve(outcomes.fail("queue-cancelled", request.customer));
        }
        const job = { ...request, id: ++this.lastId };
        return new Promise(resolve => {
            const cancel = () => {
                if (this.queue.cancel(job.id, this.clock.now())) {
                    this.resolveJob(job.id, outcomes.fail("queue-cancelled", job.customer));
                    this.dispatch();
                }
            };
            signal?.addEventListener("abort", cancel, { once: true });
            this.pending.set(job.id, outcome => {
                signal?.removeEventListener("abort", cancel);
                resolve(outcome);
            });
            this.refuseAll(this.queue.add(job, this.clock.now()));
            this.dispatch();
        });
    }

    /** Refuses the waiting jobs. Running jobs are not interrupted. */
    [Symbol.dispose](): void {
        this.closed = true;
        this.timer?.abort();
        for (const id of [...this.pending.keys()]) {
            this.queue.cancel(id, this.clock.now());
            this.resolveJob(id, outcomes.fail("queue-closed", "stopping"));
        }
    }

    private dispatch(): void {
        const now = this.clock.now();
        this.refuseAll(this.queue.expire(now));
        for (let job = this.queue.next(now); job !== undefined; job = this.queue.next(now)) {
            this.resolveJob(job.id, outcomes.succeed(this.slot(job)));
        }
        this.schedule(now);
    }

    private slot(job: types.Job): Slot {
        let ended = false;
        const complete = (actualCost: number) => {
            if (!ended) {
                ended = true;
                this.queue.complete(job.id, actualCost, this.clock.now());
                this.dispatch();
            }
        };
        return { complete, [Symbol.dispose]: () => complete(job.cost) };
    }

    private refuseAll(refused: readonly fairQueues.RefusedJob[]): void {
        for (const { job, refusal } of refused) {
            this.journal.emit("queue-shed", { customer: job.customer, reason: refusal.failure.kind });
            this.resolveJob(job.id, refusal);
        }
    }

    /**
     * Sets the timer for the next deadline and, while jobs wait, for a recheck, since a customer that was skipped for
     * its usage may start jobs as its average usage decays.
     */
    private schedule(now: number): void {
        const isWaiting = this.pending.size > 0;
        const dueAt = isWaiting
            ? Math.min(this.queue.nextExpiry(), now + RECHECK_INTERVAL_MS)
            : Number.POSITIVE_INFINITY;
        if (isWaiting && dueAt >= this.timerDueAt && this.timerDueAt > now) {
            return;
        }
        this.timer?.abort();
        this.timerDueAt = dueAt;
        if (!isWaiting || this.closed) {
            return;
        }
        const timer = new AbortController();
        this.timer = timer;
        void this.clock.sleep(Math.max(1, dueAt - now), timer.signal).then(() => {
            if (!timer.signal.aborted) {
                this.timerDueAt = Number.POSITIVE_INFINITY;
                this.dispatch();
            }
        });
    }

    private resolveJob(id: number, outcome: outcomes.Outcome<Slot>): void {
        const resolve = this.pending.get(id);
        this.pending.delete(id);
        resolve?.(outcome);
    }
}

const RECHECK_INTERVAL_MS = 50;
