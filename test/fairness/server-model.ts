/** A backend server with slots on a virtual clock, in front of it the fair queue. */
import * as prand from "pure-rand/generator/xoroshiro128plus";
import * as fairQueues from "../../src/fairness/fair-queue.js";
import type * as types from "../../src/fairness/types.js";

export interface Source {
    readonly customer: string;
    readonly requestsPerSecond: number;
    readonly meanCost: number;
    readonly priority?: types.Priority;
    /** Time of the first arrivals. */
    readonly fromMs?: number;
}

export interface Run {
    /** Waiting times of started jobs by customer. */
    readonly waits: ReadonlyMap<string, readonly number[]>;
    readonly refused: ReadonlyMap<string, number>;
    readonly completedCost: ReadonlyMap<string, number>;
}

interface Arrival {
    readonly at: number;
    readonly job: types.Job;
}

/** Waiting times count from here on, when the queue has seen the usual traffic. */
export const WARM_UP_MS = 30_000;

/** Tokens that one slot processes per millisecond. */
const TOKENS_PER_MS = 10;

/** Each source draws from its own generator, so that another source's rate does not change its arrivals. */
export function simulate(
    sources: readonly Source[],
    limits: types.Limits,
    seed: number,
    durationMs: number,
    deadlineMs: number,
    queue: fairQueues.FairQueue = new fairQueues.FairQueue(limits),
): Run {
    const arrivals = sources.flatMap((source, index) =>
        draw(source, index, seed + index * 7919, durationMs, deadlineMs)
    );
    arrivals.sort((left, right) => left.at - right.at);
    const ends: { at: number; job: types.Job; }[] = [];
    const waits = new Map<string, number[]>();
    const refused = new Map<string, number>();
    const completedCost = new Map<string, number>();
    const arrivedAt = new Map<number, number>();
    const note = (jobs: readonly fairQueues.RefusedJob[]) =>
        jobs.forEach(({ job }) => refused.set(job.customer, (refused.get(job.customer) ?? 0) + 1));
    for (let next = 0; next < arrivals.length || ends.length > 0;) {
        const arrives = next < arrivals.length && (ends.length === 0 || arrivals[next].at <= ends[0].at);
        const now = arrives ? arrivals[next].at : ends[0].at;
        if (arrives) {
            const { job } = arrivals[next++];
            arrivedAt.set(job.id, now);
            note(queue.add(job, now));
        }
        else {
            const { job } = ends.shift()!;
            queue.complete(job.id, job.cost, now);
            completedCost.set(job.customer, (completedCost.get(job.customer) ?? 0) + job.cost);
        }
        note(queue.expire(now));
        for (let job = queue.next(now); job !== undefined; job = queue.next(now)) {
            const own = waits.get(job.customer) ?? [];
            if (now >= WARM_UP_MS) {
                own.push(now - arrivedAt.get(job.id)!);
            }
            waits.set(job.customer, own);
            const end = { at: now + job.cost / TOKENS_PER_MS, job };
            const position = ends.findIndex(other => other.at > end.at);
            ends.splice(position < 0 ? ends.length : position, 0, end);
        }
    }
    return { waits, refused, completedCost };
}

export function percentile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

function draw(source: Source, index: number, seed: number, durationMs: number, deadlineMs: number): Arrival[] {
    const generator = prand.xoroshiro128plus(seed);
    const uniform = () => ((generator.next() >>> 0) + 0.5) / 4294967296;
    const arrivals: Arrival[] = [];
    let at = source.fromMs ?? 0;
    for (let count = 0;; count++) {
        at += -Math.log(uniform()) * 1000 / source.requestsPerSecond;
        if (at >= durationMs) {
            return arrivals;
        }
        const cost = Math.max(1, Math.round(source.meanCost * (0.5 + uniform())));
        const priority = source.priority ?? "interactive";
        const job = { id: index * 1e6 + count, customer: source.customer, priority, cost, tokens: cost };
        arrivals.push({ at, job: { ...job, deadline: at + deadlineMs, alone: false } });
    }
}
