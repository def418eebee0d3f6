/**
 * Fair queue of an agent. It does no I/O; the current time is an argument, in monotonic milliseconds.
 *
 * Jobs of one priority are scheduled by start-time fair queueing over their cost. The priorities share the server by
 * the same algorithm with fixed weights, so that batch jobs run slowly under load but do not starve.
 */
import * as outcomes from "../core/outcome.js";
import * as flows from "./flows.js";
import * as throughputs from "./throughput.js";
import type * as types from "./types.js";
import * as usages from "./usage.js";

const PRIORITY_WEIGHTS: Readonly<Record<types.Priority, number>> = { interactive: 9, batch: 1 };
const PRIORITIES: readonly types.Priority[] = ["interactive", "batch"];

/** Time that an exclusive job waits for an idle server before no other job is started ahead of it. */
const EXCLUSIVE_HOLD_AFTER_MS = 1000;

/** Time that a job waits for free tokens before no smaller job is started ahead of it. */
const LARGE_JOB_HOLD_AFTER_MS = 2000;

/** Estimates are inexact: a job is refused early only when its expected wait exceeds its deadline by this factor. */
const ESTIMATE_TOLERANCE = 1.25;

export interface RefusedJob {
    readonly job: types.Job;
    readonly refusal: outcomes.FailedOutcome;
}

export interface Load {
    /** Number of waiting jobs. */
    readonly waiting: number;
    /** Number of running jobs. */
    readonly running: number;
    /** Cost of all waiting jobs in tokens. */
    readonly queuedCost: number;
    /** Time in milliseconds to process all waiting jobs; 0 when unknown. */
    readonly expectedWaitMs: number;
}

interface PriorityClass {
    readonly flows: flows.Flows;
    /** Virtual finish of the last job that started. */
    virtualFinish: number;
}

export class FairQueue {
    private readonly usage = new usages.Usage();
    private readonly throughput = new throughputs.Throughput();
    private readonly classes: Readonly<Record<types.Priority, PriorityClass>>;
    private readonly arrivalTimes = new Map<number, number>();
    private readonly running = new Map<number, types.Job>();
    private virtualTime = 0;
    private runningTokens = 0;
    private queuedCost = 0;
    private earliestDeadline = Number.POSITIVE_INFINITY;

    constructor(private readonly limits: types.Limits) {
        const weight = (customer: string) => this.usage.weight(customer);
        this.classes = {
            interactive: { flows: new flows.Flows(weight), virtualFinish: 0 },
            batch: { flows: new flows.Flows(weight), virtualFinish: 0 },
        };
    }

    setWeights(weights: types.Weights): void {
        this.usage.setWeights(weights);
    }

    load(): Load {
        const costPerMs = this.throughput.costPerMs();
        return {
            waiting: this.arrivalTimes.size,
            running: this.running.size,
            queuedCost: this.queuedCost,
            expectedWaitMs: costPerMs === undefined ? 0 : this.queuedCost / costPerMs,
        };
    }

    /**
     * Adds a job and returns the jobs that are refused as a result: the job itself when it can't meet its deadline, or,
     * when the queue is full, the last jobs of the customers that exceed their share most.
     */
    add(job: types.Job, now: number): readonly RefusedJob[] {
        this.usage.recordRequest(job.customer, job.cost, now);
        this.enqueue(job, now);
        const waitMs = this.expectedWait(job);
        if (now >= job.deadline || waitMs > (job.deadline - now) * ESTIMATE_TOLERANCE) {
            this.dequeue(job.id);
            return [{ job, refusal: outcomes.fail("queue-deadline", job.customer, Math.ceil(waitMs)) }];
        }
        const refused: RefusedJob[] = [];
        while (this.arrivalTimes.size > this.limits.queuedJobs || this.queuedCost > this.limits.queuedCost) {
            const shedJob = this.jobToShed();
            this.dequeue(shedJob.id);
            const retryAfterMs = Math.max(1, Math.ceil(this.load().expectedWaitMs));
            refused.push({ job: shedJob, refusal: outcomes.fail("queue-full", shedJob.customer, retryAfterMs) });
        }
        this.updateSaturation(now);
        return refused;
    }

    /** Removes a waiting job; false when no such job waits. */
    cancel(id: number, now: number): boolean {
        const found = this.dequeue(id) !== undefined;
        this.updateSaturation(now);
        return found;
    }

    /** Removes and returns the waiting jobs whose deadline has passed. */
    expire(now: number): readonly RefusedJob[] {
        if (now < this.nextExpiry()) {
            return [];
        }
        const expired = this.waitingJobs().filter(job => now >= job.deadline);
        expired.forEach(job => this.dequeue(job.id));
        this.earliestDeadline = this.waitingJobs()
            .reduce((earliest, job) => Math.min(earliest, job.deadline), Number.POSITIVE_INFINITY);
        this.updateSaturation(now);
        const retryAfterMs = Math.max(1, Math.ceil(this.load().expectedWaitMs));
        return expired.map(job => ({ job, refusal: outcomes.fail("queue-deadline", job.customer, retryAfterMs) }));
    }

    /** Lower bound of the deadlines of the waiting jobs; infinite when none waits. */
    nextExpiry(): number {
        return this.arrivalTimes.size === 0 ? Number.POSITIVE_INFINITY : this.earliestDeadline;
    }

    /** Starts and returns the next job that may start now. Call it until it returns `undefined`. */
    next(now: number): types.Job | undefined {
        if (this.running.size >= this.limits.slots || this.runsExclusiveJob()) {
            return undefined;
        }
        for (const priority of this.priorityOrder()) {
            const heads = this.classes[priority].flows.heads();
            for (const head of heads) {
                const decision = this.decide(head.job, now);
                if (decision === "start") {
                    return this.start(priority, head, now);
                }
                if (decision === "hold") {
                    return undefined;
                }
            }
        }
        return undefined;
    }

    /** Ends a running job. The customer is charged `actualCost` in tokens instead of the expected cost. */
    complete(id: number, actualCost: number, now: number): void {
        const job = this.running.get(id);
        if (job === undefined) {
            return;
        }
        this.running.delete(id);
        this.runningTokens -= this.occupiedTokens(job);
        this.usage.changeRunning(job.customer, -this.capacityFraction(job), now);
        const priorityClass = this.classes[job.priority];
        priorityClass.virtualFinish += (actualCost - job.cost) / PRIORITY_WEIGHTS[job.priority];
        priorityClass.flows.correctCost(job.customer, actualCost - job.cost);
        this.throughput.complete(actualCost, now);
        this.updateSaturation(now);
    }

    /**
     * Decides whether a job starts, is skipped in favour of others, or blocks all others until it can start.
     *
     * A job that lacks only free tokens is not skipped indefinitely, since smaller jobs could take them each time.
     */
    private decide(job: types.Job, now: number): "start" | "skip" | "hold" {
        if (job.isExclusive) {
            return this.decideExclusive(job, now);
        }
        if (!this.usage.mayStart(job.customer, this.capacityFraction(job), now)) {
            return "skip";
        }
        if (this.runningTokens + this.occupiedTokens(job) <= this.limits.runningTokens) {
            return "start";
        }
        return this.hasWaited(job, LARGE_JOB_HOLD_AFTER_MS, now) ? "hold" : "skip";
    }

    private decideExclusive(job: types.Job, now: number): "start" | "skip" | "hold" {
        if (this.running.size === 0) {
            return "start";
        }
        return this.hasWaited(job, EXCLUSIVE_HOLD_AFTER_MS, now) ? "hold" : "skip";
    }

    private hasWaited(job: types.Job, durationMs: number, now: number): boolean {
        return now >= (this.arrivalTimes.get(job.id) ?? now) + durationMs;
    }

    private start(priority: types.Priority, head: flows.TaggedJob, now: number): types.Job {
        const priorityClass = this.classes[priority];
        const virtualStart = Math.max(this.virtualTime, priorityClass.virtualFinish);
        priorityClass.virtualFinish = virtualStart + head.job.cost / PRIORITY_WEIGHTS[priority];
        this.virtualTime = virtualStart;
        priorityClass.flows.start(head);
        this.arrivalTimes.delete(head.job.id);
        this.queuedCost -= head.job.cost;
        this.running.set(head.job.id, head.job);
        this.runningTokens += this.occupiedTokens(head.job);
        this.usage.changeRunning(head.job.customer, this.capacityFraction(head.job), now);
        this.updateSaturation(now);
        return head.job;
    }

    /** Priorities by virtual start. A class that had no waiting jobs gets no credit for that time. */
    private priorityOrder(): readonly types.Priority[] {
        const waitingClasses = PRIORITIES.filter(priority => !this.classes[priority].flows.isEmpty)
            .map(priority => ({ priority, start: Math.max(this.virtualTime, this.classes[priority].virtualFinish) }));
        return waitingClasses.sort((left, right) => left.start - right.start).map(waitingClass =>
            waitingClass.priority
        );
    }

    private runsExclusiveJob(): boolean {
        return [...this.running.values()].some(job => job.isExclusive);
    }

    /**
     * Expected time in milliseconds until the job starts: the cost ahead of it over the throughput; 0 when the
     * throughput is unknown or a slot is free.
     */
    private expectedWait(job: types.Job): number {
        const costPerMs = this.throughput.costPerMs();
        const own = this.classes[job.priority].flows.taggedJobs(job.customer).find(tagged => tagged.job.id === job.id);
        if (costPerMs === undefined || own === undefined || this.running.size < this.limits.slots) {
            return 0;
        }
        const costAhead = this.classes[job.priority].flows.allTaggedJobs()
            .filter(tagged => tagged.job.id !== job.id && tagged.virtualStart <= own.virtualStart)
            .reduce((sum, tagged) => sum + tagged.job.cost, 0);
        return costAhead * this.slowdownByOtherClasses(job.priority) / costPerMs;
    }

    /** Factor by which waiting jobs of the other priority slow down this one. */
    private slowdownByOtherClasses(priority: types.Priority): number {
        const contending = PRIORITIES.filter(other => other === priority || !this.classes[other].flows.isEmpty);
        const totalWeight = contending.reduce((sum, other) => sum + PRIORITY_WEIGHTS[other], 0);
        return totalWeight / PRIORITY_WEIGHTS[priority];
    }

    /** The waiting job with the last virtual finish, of the customer with the most work relative to its weight. */
    private jobToShed(): types.Job {
        const costByCustomer = new Map<string, number>();
        for (const job of [...this.waitingJobs(), ...this.running.values()]) {
            costByCustomer.set(
                job.customer,
                (costByCustomer.get(job.customer) ?? 0) + job.cost / this.usage.weight(job.customer),
            );
        }
        const waiting = PRIORITIES.flatMap(priority => this.classes[priority].flows.allTaggedJobs());
        const weightedCost = (tagged: flows.TaggedJob) => costByCustomer.get(tagged.job.customer)!;
        return waiting.reduce((worst, tagged) => {
            const difference = weightedCost(tagged) - weightedCost(worst);
            return difference > 0 || (difference === 0 && tagged.virtualFinish >= worst.virtualFinish) ? tagged : worst;
        }).job;
    }

    private enqueue(job: types.Job, now: number): void {
        this.classes[job.priority].flows.add(job);
        this.arrivalTimes.set(job.id, now);
        this.earliestDeadline = Math.min(this.earliestDeadline, job.deadline);
        this.queuedCost += job.cost;
    }

    private dequeue(id: number): types.Job | undefined {
        const job = this.classes.interactive.flows.remove(id) ?? this.classes.batch.flows.remove(id);
        if (job !== undefined) {
            this.arrivalTimes.delete(id);
            this.queuedCost -= job.cost;
        }
        return job;
    }

    private waitingJobs(): readonly types.Job[] {
        return PRIORITIES.flatMap(priority => this.classes[priority].flows.allTaggedJobs()).map(tagged => tagged.job);
    }

    private updateSaturation(now: number): void {
        this.throughput.setSaturated(this.arrivalTimes.size > 0, now);
    }

    /** Tokens that a job occupies, at most the limit, so that a larger job can run when no other does. */
    private occupiedTokens(job: types.Job): number {
        return Math.min(job.tokens, this.limits.runningTokens);
    }

    /** Fraction of the server's capacity that the job occupies, by the scarcer of slots and tokens. */
    private capacityFraction(job: types.Job): number {
        return Math.max(1 / this.limits.slots, this.occupiedTokens(job) / this.limits.runningTokens);
    }
}
