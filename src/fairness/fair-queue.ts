/**
 * Queue of an agent. A state machine without I/O: times are monotonic milliseconds and come as arguments.
 *
 * Jobs of one priority are served by start-time fair queueing over cost. Between the priorities the same rule holds
 * with fixed weights, so that batch jobs progress slowly under load and do not starve.
 */
import * as outcomes from "../core/outcome.js";
import * as flows from "./flows.js";
import * as throughputs from "./throughput.js";
import type * as types from "./types.js";
import * as usages from "./usage.js";

const PRIORITY_WEIGHTS: Readonly<Record<types.Priority, number>> = { interactive: 9, batch: 1 };
const PRIORITIES: readonly types.Priority[] = ["interactive", "batch"];

/** A job that must run alone waits this long for an idle server before it holds back the others. */
const ALONE_PATIENCE_MS = 1000;

/** A large job waits this long for room among smaller ones before it holds them back. */
const HOLD_PATIENCE_MS = 2000;

/** Estimates vary; a request is refused early only when its deadline is missed by this factor. */
const ESTIMATE_TOLERANCE = 1.25;

export interface RefusedJob {
    readonly job: types.Job;
    readonly refusal: outcomes.FailedOutcome;
}

export interface Load {
    readonly waiting: number;
    readonly running: number;
    readonly queuedCost: number;
    /** Time until a new job of average standing starts; 0 when unknown. */
    readonly expectedWaitMs: number;
}

interface Class {
    readonly flows: flows.Flows;
    finish: number;
}

export class FairQueue {
    private readonly usage = new usages.Usage();
    private readonly throughput = new throughputs.Throughput();
    private readonly classes: Readonly<Record<types.Priority, Class>>;
    private readonly arrivals = new Map<number, number>();
    private readonly running = new Map<number, types.Job>();
    private virtualTime = 0;
    private runningTokens = 0;
    private queuedCost = 0;
    private earliestDeadline = Number.POSITIVE_INFINITY;

    constructor(private readonly limits: types.Limits) {
        const weight = (customer: string) => this.usage.weight(customer);
        this.classes = {
            interactive: { flows: new flows.Flows(weight), finish: 0 },
            batch: { flows: new flows.Flows(weight), finish: 0 },
        };
    }

    setWeights(weights: types.Weights): void {
        this.usage.setWeights(weights);
    }

    load(): Load {
        const rate = this.throughput.rate();
        return {
            waiting: this.arrivals.size,
            running: this.running.size,
            queuedCost: this.queuedCost,
            expectedWaitMs: rate === undefined ? 0 : this.queuedCost / rate,
        };
    }

    /**
     * Adds a job and returns the jobs that are refused for it: itself when its deadline can't be met, or, when the
     * queue is full, the latest jobs of the customers furthest over their share.
     */
    add(job: types.Job, now: number): readonly RefusedJob[] {
        this.usage.request(job.customer, job.cost, now);
        this.enqueue(job, now);
        const waitMs = this.expectedWait(job);
        if (now >= job.deadline || waitMs > (job.deadline - now) * ESTIMATE_TOLERANCE) {
            this.dequeue(job.id);
            return [{ job, refusal: outcomes.fail("queue-deadline", job.customer, Math.ceil(waitMs)) }];
        }
        const refused: RefusedJob[] = [];
        while (this.arrivals.size > this.limits.queuedJobs || this.queuedCost > this.limits.queuedCost) {
            const victim = this.victim();
            this.dequeue(victim.id);
            const retryAfterMs = Math.max(1, Math.ceil(this.load().expectedWaitMs));
            refused.push({ job: victim, refusal: outcomes.fail("queue-full", victim.customer, retryAfterMs) });
        }
        this.noteSaturation(now);
        return refused;
    }

    /** Removes a waiting job; false when it does not wait. */
    cancel(id: number, now: number): boolean {
        const found = this.dequeue(id) !== undefined;
        this.noteSaturation(now);
        return found;
    }

    /** Removes the jobs that can't start in time any more. */
    expire(now: number): readonly RefusedJob[] {
        if (now < this.wakeAt()) {
            return [];
        }
        const late = this.waitingJobs().filter(job => now >= job.deadline);
        late.forEach(job => this.dequeue(job.id));
        this.earliestDeadline = this.waitingJobs()
            .reduce((earliest, job) => Math.min(earliest, job.deadline), Number.POSITIVE_INFINITY);
        this.noteSaturation(now);
        const retryAfterMs = Math.max(1, Math.ceil(this.load().expectedWaitMs));
        return late.map(job => ({ job, refusal: outcomes.fail("queue-deadline", job.customer, retryAfterMs) }));
    }

    /** No waiting job has an earlier deadline; infinite when none waits. */
    wakeAt(): number {
        return this.arrivals.size === 0 ? Number.POSITIVE_INFINITY : this.earliestDeadline;
    }

    /** Starts the next job, if one may start now. Call it until it returns `undefined`. */
    next(now: number): types.Job | undefined {
        if (this.running.size >= this.limits.slots || this.runsAlone()) {
            return undefined;
        }
        for (const priority of this.priorityOrder()) {
            const heads = this.classes[priority].flows.heads();
            for (const head of heads) {
                const verdict = this.judge(head.job, now);
                if (verdict === "start") {
                    return this.start(priority, head, now);
                }
                if (verdict === "hold") {
                    return undefined;
                }
            }
        }
        return undefined;
    }

    /** Ends a running job. `actualCost` corrects the share of its customer. */
    complete(id: number, actualCost: number, now: number): void {
        const job = this.running.get(id);
        if (job === undefined) {
            return;
        }
        this.running.delete(id);
        this.runningTokens -= this.occupied(job);
        this.usage.change(job.customer, -this.fraction(job), now);
        const group = this.classes[job.priority];
        group.finish += (actualCost - job.cost) / PRIORITY_WEIGHTS[job.priority];
        group.flows.correct(job.customer, actualCost - job.cost);
        this.throughput.complete(actualCost, now);
        this.noteSaturation(now);
    }

    /**
     * Whether a job starts, is passed over for another, or holds back all others until there is room for it.
     *
     * A job that waits only for room is not passed over for ever, since smaller ones could then take the room each time.
     */
    private judge(job: types.Job, now: number): "start" | "skip" | "hold" {
        if (job.alone) {
            return this.judgeAlone(job, now);
        }
        if (!this.usage.permits(job.customer, this.fraction(job), now)) {
            return "skip";
        }
        if (this.runningTokens + this.occupied(job) <= this.limits.runningTokens) {
            return "start";
        }
        return this.hasWaited(job, HOLD_PATIENCE_MS, now) ? "hold" : "skip";
    }

    private judgeAlone(job: types.Job, now: number): "start" | "skip" | "hold" {
        if (this.running.size === 0) {
            return "start";
        }
        return this.hasWaited(job, ALONE_PATIENCE_MS, now) ? "hold" : "skip";
    }

    private hasWaited(job: types.Job, durationMs: number, now: number): boolean {
        return now >= (this.arrivals.get(job.id) ?? now) + durationMs;
    }

    private start(priority: types.Priority, head: flows.Tagged, now: number): types.Job {
        const group = this.classes[priority];
        const start = Math.max(this.virtualTime, group.finish);
        group.finish = start + head.job.cost / PRIORITY_WEIGHTS[priority];
        this.virtualTime = start;
        group.flows.start(head);
        this.arrivals.delete(head.job.id);
        this.queuedCost -= head.job.cost;
        this.running.set(head.job.id, head.job);
        this.runningTokens += this.occupied(head.job);
        this.usage.change(head.job.customer, this.fraction(head.job), now);
        this.noteSaturation(now);
        return head.job;
    }

    /** The class that is behind goes first; a class without waiting jobs has no claim to the past. */
    private priorityOrder(): readonly types.Priority[] {
        const claims = PRIORITIES.filter(priority => !this.classes[priority].flows.isEmpty)
            .map(priority => ({ priority, start: Math.max(this.virtualTime, this.classes[priority].finish) }));
        return claims.sort((left, right) => left.start - right.start).map(claim => claim.priority);
    }

    private runsAlone(): boolean {
        return [...this.running.values()].some(job => job.alone);
    }

    /** Work that starts before the job, over the throughput; 0 while the throughput is unknown. */
    private expectedWait(job: types.Job): number {
        const rate = this.throughput.rate();
        const own = this.classes[job.priority].flows.tags(job.customer).find(tagged => tagged.job.id === job.id);
        if (rate === undefined || own === undefined || this.running.size < this.limits.slots) {
            return 0;
        }
        const ahead = this.classes[job.priority].flows.all()
            .filter(tagged => tagged.job.id !== job.id && tagged.start <= own.start)
            .reduce((sum, tagged) => sum + tagged.job.cost, 0);
        return ahead * this.classShare(job.priority) / rate;
    }

    /** Factor by which the work of the other priority slows this one. */
    private classShare(priority: types.Priority): number {
        const contending = PRIORITIES.filter(other => other === priority || !this.classes[other].flows.isEmpty);
        const total = contending.reduce((sum, other) => sum + PRIORITY_WEIGHTS[other], 0);
        return total / PRIORITY_WEIGHTS[priority];
    }

    /** The waiting job with the largest virtual finish of the customer with the most work for its weight. */
    private victim(): types.Job {
        const work = new Map<string, number>();
        for (const job of [...this.waitingJobs(), ...this.running.values()]) {
            work.set(job.customer, (work.get(job.customer) ?? 0) + job.cost / this.usage.weight(job.customer));
        }
        const waiting = PRIORITIES.flatMap(priority => this.classes[priority].flows.all());
        const order = (tagged: flows.Tagged) => work.get(tagged.job.customer)!;
        return waiting.reduce((worst, tagged) => {
            const difference = order(tagged) - order(worst);
            return difference > 0 || (difference === 0 && tagged.finish >= worst.finish) ? tagged : worst;
        }).job;
    }

    private enqueue(job: types.Job, now: number): void {
        this.classes[job.priority].flows.add(job);
        this.arrivals.set(job.id, now);
        this.earliestDeadline = Math.min(this.earliestDeadline, job.deadline);
        this.queuedCost += job.cost;
    }

    private dequeue(id: number): types.Job | undefined {
        const job = this.classes.interactive.flows.remove(id) ?? this.classes.batch.flows.remove(id);
        if (job !== undefined) {
            this.arrivals.delete(id);
            this.queuedCost -= job.cost;
        }
        return job;
    }

    private waitingJobs(): readonly types.Job[] {
        return PRIORITIES.flatMap(priority => this.classes[priority].flows.all()).map(tagged => tagged.job);
    }

    private noteSaturation(now: number): void {
        this.throughput.note(this.arrivals.size > 0, now);
    }

    /** A job larger than the limit runs when nothing else does. */
    private occupied(job: types.Job): number {
        return Math.min(job.tokens, this.limits.runningTokens);
    }

    /** Part of the server that the job occupies, by the scarcer of slots and tokens. */
    private fraction(job: types.Job): number {
        return Math.max(1 / this.limits.slots, this.occupied(job) / this.limits.runningTokens);
    }
}
