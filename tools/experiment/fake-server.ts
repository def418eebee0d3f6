/** In-process fake of an engine: a queue, prefill one request at a time, a batch of decoding requests, an LRU cache. */
import * as workloads from "./workload.js";

export interface Job {
    readonly arrival: workloads.Arrival;
    readonly onStarted: (cachedTokens: number, now: number) => void;
    readonly onLost: (now: number) => void;
}

export type Schedule = (at: number, action: (now: number) => void) => void;
const SLOTS = 64;
const LONGEST_QUEUE_MS = 5000;

export class FakeServer {
    boot = 1;
    up = true;
    busyMs = 0;
    private readonly cache = new Set<string>();
    private readonly pending = new Map<string, number>();
    private readonly queue: { readonly job: Job; readonly tokens: number; }[] = [];
    private waitingTokens = 0;
    private current: { readonly job: Job; readonly endsAt: number; } | undefined;
    private decoding = 0;

    constructor(
        readonly address: string,
        private readonly workload: workloads.Workload,
        private readonly schedule: Schedule,
    ) {}

    /** Prompt tokens waiting or being computed, without the cached ones. */
    queuedTokens(now: number): number {
        return this.waitingTokens + Math.max(0, (this.current?.endsAt ?? 0) - now) / this.workload.prefillMsPerToken;
    }

    /** Leading tokens of the prompt that are cached; with the queue, those that will be when it is done as well. */
    cachedTokens(arrival: workloads.Arrival, withQueue: boolean): number {
        const isCached = (hash: string) => this.cache.has(hash) || (withQueue && (this.pending.get(hash) ?? 0) > 0);
        const missing = arrival.chain.findIndex(hash => !isCached(hash));
        return (missing < 0 ? arrival.chain.length : missing) * workloads.PIECE_TOKENS;
    }

    /** Takes a request; false when the server is down or its queue is full. */
    submit(job: Job, now: number): boolean {
        if (!this.up || this.queuedTokens(now) * this.workload.prefillMsPerToken > LONGEST_QUEUE_MS) {
            return false;
        }
        const tokens = job.arrival.promptTokens - this.cachedTokens(job.arrival, true);
        this.addPending(job.arrival.chain, 1);
        this.queue.push({ job, tokens });
        this.waitingTokens += tokens;
        this.next(now);
        return true;
    }

    /** Ends all work and empties the cache. */
    crash(now: number): void {
        const lost = [...(this.current === undefined ? [] : [this.current.job]), ...this.queue.map(item => item.job)];
        Object.assign(this, {
            up: false,
            boot: this.boot + 1,

            waitingTokens: 0,
            current: undefined,
            decoding: 0,
        });
        this.cache.clear();
        this.pending.clear();
        this.queue.length = 0;
        lost.forEach(job => job.onLost(now));
    }

    private next(now: number): void {
        const first = this.current === undefined && this.decoding < SLOTS ? this.queue.shift() : undefined;
        if (first === undefined) {
            return;
        }
        this.waitingTokens -= first.tokens;
        const { job, job: { arrival } } = first;
        const cachedTokens = this.cachedTokens(arrival, false);
        this.touch(arrival.chain.slice(0, cachedTokens / workloads.PIECE_TOKENS));
        const durationMs = (arrival.promptTokens - cachedTokens) * this.workload.prefillMsPerToken;
        const current = { job, endsAt: now + durationMs };
        this.current = current;
        this.schedule(current.endsAt, endedAt => {
            if (this.current === current) {
                this.busyMs += durationMs;
                this.finishPrefill(job, cachedTokens, endedAt);
            }
        });
    }

    private finishPrefill(job: Job, cachedTokens: number, now: number): void {
        const boot = this.boot;
        this.current = undefined;
        this.decoding++;
        this.addPending(job.arrival.chain, -1);
        this.touch(job.arrival.chain);
        this.schedule(now + job.arrival.decodeMs, endedAt => {
            if (this.boot === boot) {
                this.decoding--;
                this.next(endedAt);
            }
        });
        job.onStarted(cachedTokens, now);
        this.next(now);
    }

    private addPending(chain: readonly string[], change: number): void {
        chain.forEach(hash => this.pending.set(hash, (this.pending.get(hash) ?? 0) + change));
    }

    /** Marks pieces as used, deepest first, so that the deep ones are evicted before the shared ones. */
    private touch(chain: readonly string[]): void {
        for (const hash of chain.toReversed()) {
            this.cache.delete(hash);
            this.cache.add(hash);
        }
        for (const oldest of this.cache) {
            if (this.cache.size <= this.workload.cachePieces) {
                return;
            }
            this.cache.delete(oldest);
        }
    }
}
