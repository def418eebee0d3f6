/** In-process fake of an engine with a queue, prefill of one request at a time, batched decoding and an LRU cache. */
import * as workloads from "./workload.js";

export interface Job {
    readonly arrival: workloads.Arrival;
    /** Called when the prefill has finished and decoding starts. */
    readonly onStarted: (cachedTokens: number, now: number) => void;
    /** Called when the server crashes before the prefill has finished. */
    readonly onLost: (now: number) => void;
}

/** Schedules an action at a time in milliseconds of the simulation. */
export type Schedule = (at: number, action: (now: number) => void) => void;
const DECODE_SLOTS = 64;
/** The server refuses requests when its queued prefill takes longer. */
const MAXIMUM_QUEUE_MS = 5000;

export class FakeServer {
    boot = 1;
    isUp = true;
    /** Time spent in prefill. */
    busyMs = 0;
    private readonly cache = new Set<string>();
    /** Number of queued or running prefills by piece that they use. */
    private readonly pendingUses = new Map<string, number>();
    private readonly queue: { readonly job: Job; readonly tokens: number; }[] = [];
    private waitingTokens = 0;
    private currentPrefill: { readonly job: Job; readonly endsAt: number; } | undefined;
    private decodingCount = 0;

    constructor(
        readonly address: string,
        private readonly workload: workloads.Workload,
        private readonly schedule: Schedule,
    ) {}

    /** Uncached prompt tokens that wait for prefill or are in prefill. */
    queuedTokens(now: number): number {
        return this.waitingTokens
            + Math.max(0, (this.currentPrefill?.endsAt ?? 0) - now) / this.workload.prefillMsPerToken;
    }

    /** Length of the cached prefix in tokens; `includePending` counts pieces that queued requests will cache. */
    cachedTokens(arrival: workloads.Arrival, includePending: boolean): number {
        const isCached = (hash: string) =>
            this.cache.has(hash) || (includePending && (this.pendingUses.get(hash) ?? 0) > 0);
        const missing = arrival.chain.findIndex(hash => !isCached(hash));
        return (missing < 0 ? arrival.chain.length : missing) * workloads.PIECE_TOKENS;
    }

    /** Queues a request; returns false when the server is down or its queue is full. */
    submit(job: Job, now: number): boolean {
        if (!this.isUp || this.queuedTokens(now) * this.workload.prefillMsPerToken > MAXIMUM_QUEUE_MS) {
            return false;
        }
        const tokens = job.arrival.promptTokens - this.cachedTokens(job.arrival, true);
        this.changePendingUses(job.arrival.chain, 1);
        this.queue.push({ job, tokens });
        this.waitingTokens += tokens;
        this.startNext(now);
        return true;
    }

    /** Stops the server, loses all queued work and empties the cache. */
    crash(now: number): void {
        const lost = [
            ...(this.currentPrefill === undefined ? [] : [this.currentPrefill.job]),
            ...this.queue.map(item => item.job),
        ];
        Object.assign(this, {
            isUp: false,
            boot: this.boot + 1,
            waitingTokens: 0,
            currentPrefill: undefined,
            decodingCount: 0,
        });
        this.cache.clear();
        this.pendingUses.clear();
        this.queue.length = 0;
        lost.forEach(job => job.onLost(now));
    }

    private startNext(now: number): void {
        const item = this.currentPrefill === undefined && this.decodingCount < DECODE_SLOTS
            ? this.queue.shift()
            : undefined;
        if (item === undefined) {
            return;
        }
        this.waitingTokens -= item.tokens;
        const { job, job: { arrival } } = item;
        const cachedTokens = this.cachedTokens(arrival, false);
        this.markUsed(arrival.chain.slice(0, cachedTokens / workloads.PIECE_TOKENS));
        const durationMs = (arrival.promptTokens - cachedTokens) * this.workload.prefillMsPerToken;
        const current = { job, endsAt: now + durationMs };
        this.currentPrefill = current;
        this.schedule(current.endsAt, endedAt => {
            if (this.currentPrefill === current) {
                this.busyMs += durationMs;
                this.finishPrefill(job, cachedTokens, endedAt);
            }
        });
    }

    private finishPrefill(job: Job, cachedTokens: number, now: number): void {
        const boot = this.boot;
        this.currentPrefill = undefined;
        this.decodingCount++;
        this.changePendingUses(job.arrival.chain, -1);
        this.markUsed(job.arrival.chain);
        this.schedule(now + job.arrival.decodeMs, endedAt => {
            if (this.boot === boot) {
                this.decodingCount--;
                this.startNext(endedAt);
            }
        });
        job.onStarted(cachedTokens, now);
        this.startNext(now);
    }

    private changePendingUses(chain: readonly string[], change: number): void {
        chain.forEach(hash => this.pendingUses.set(hash, (this.pendingUses.get(hash) ?? 0) + change));
    }

    /** Marks pieces as recently used, deepest first, so that deep pieces are evicted before shared ones. */
    private markUsed(chain: readonly string[]): void {
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
