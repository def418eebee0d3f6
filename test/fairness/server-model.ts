/** Simulation of a backend server with slots behind the fair queue, on a virtual clock. */
import * as prand from "pure-rand/generator/xoroshiro128plus";
import * as fairQueues from "../../src/fairness/fair-queue.js";
import type * as types from "../../src/fairness/types.js";

export interface TrafficSource {
    readonly customer: string;
    readonly requestsPerSecond: number;
    readonly meanCost: number;
    readonly priority?: types.Priority;
    /** Start time of the arrivals; 0 by default. */
    readonly fromMs?: number;
}

export interface SimulationResult {
    /** Waiting times in milliseconds of the jobs that started after the warm-up, by customer. */
    readonly waitsMs: ReadonlyMap<string, readonly number[]>;
    readonly refused: ReadonlyMap<string, number>;
    readonly completedCost: ReadonlyMap<string, number>;
}

interface Arrival {
    readonly at: number;
    readonly job: types.Job;
}

/** Waiting times are recorded from this time on, after the queue has processed the usual traffic. */
export const WARM_UP_MS = 30_000;

/** Tokens that one slot processes per millisecond. */
const TOKENS_PER_MS = 10;

/** Each source has its own random generator, so that its arrivals do not depend on the rates of other sources. */
export function simulate(
    sources: readonly TrafficSource[],
    limits: types.Limits,
    seed: number,
    durationMs: number,
    deadlineMs: number,
    queue: fairQueues.FairQueue = new fairQueues.FairQueue(limits),
): SimulationResult {
    const arrivals = sources.flatMap((source, index) =>
        drawArrivals(source, index, seed + index * 7919, durationMs, deadlineMs)
    );
    arrivals.sort((left, right) => left.at - right.at);
    const completions: { at: number; job: types.Job; }[] = [];
    const waitsMs = new Map<string, number[]>();
    const refused = new Map<string, number>();
    const completedCost = new Map<string, number>();
    const arrivedAt = new Map<number, number>();
    const countRefused = (jobs: readonly fairQueues.RefusedJob[]) =>
        jobs.forEach(({ job }) => refused.set(job.customer, (refused.get(job.customer) ?? 0) + 1));
    for (let next = 0; next < arrivals.length || completions.length > 0;) {
        const isArrival = next < arrivals.length
            && (completions.length === 0 || arrivals[next].at <= completions[0].at);
        const now = isArrival ? arrivals[next].at : completions[0].at;
        if (isArrival) {
            const { job } = arrivals[next++];
            arrivedAt.set(job.id, now);
            countRefused(queue.add(job, now));
        }
        else {
            const { job } = completions.shift()!;
            queue.complete(job.id, job.cost, now);
            completedCost.set(job.customer, (completedCost.get(job.customer) ?? 0) + job.cost);
        }
        countRefused(queue.expire(now));
        for (let job = queue.next(now); job !== undefined; job = queue.next(now)) {
            const customerWaitsMs = waitsMs.get(job.customer) ?? [];
            if (now >= WARM_UP_MS) {
                customerWaitsMs.push(now - arrivedAt.get(job.id)!);
            }
            waitsMs.set(job.customer, customerWaitsMs);
            const end = { at: now + job.cost / TOKENS_PER_MS, job };
            const position = completions.findIndex(other => other.at > end.at);
            completions.splice(position < 0 ? completions.length : position, 0, end);
        }
    }
    return { waitsMs, refused, completedCost };
}

export function percentile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

function drawArrivals(
    source: TrafficSource,
    index: number,
    seed: number,
    durationMs: number,
    deadlineMs: number,
): Arrival[] {
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
        arrivals.push({ at, job: { ...job, deadline: at + deadlineMs, isExclusive: false } });
    }
}
