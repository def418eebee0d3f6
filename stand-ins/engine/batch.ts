/**
 * Simulates continuous batching: a limited number of requests run, prefills run one at a time, and each step decodes
 * one token of every decoding request.
 */
import * as completions from "./completion.js";
import type * as prefixCache from "./prefix-cache.js";
import type * as settings from "./settings.js";

export type EngineEvent =
    | { readonly type: "start"; readonly cached_tokens: number; readonly prompt_tokens: number; }
    | { readonly type: "token"; readonly index: number; readonly text: string; }
    | { readonly type: "end"; readonly count: number; readonly reason: "stop" | "length" | "cancelled"; };

export interface Job {
    readonly id: string;
    readonly prompt: string;
    readonly resumedTokens: number;
    readonly maxTokens: number;
    readonly hasBatchPriority: boolean;
    readonly prefixHashes: readonly string[];
    readonly weights: string;
    /** Multiplies the prefill and decode times. */
    readonly slowFactor: number;
    readonly emit: (event: EngineEvent) => void;
}

interface Decoding {
    nextIndex: number;
    readonly length: number;
    readonly crashIndex: number | undefined;
}

export interface Counters {
    prompt_tokens: number;
    cached_tokens: number;
    generated_tokens: number;
    cancelled: number;
}

export class Batch {
    readonly counters: Counters = { prompt_tokens: 0, cached_tokens: 0, generated_tokens: 0, cancelled: 0 };
    private waiting: Job[] = [];
    private readonly running = new Map<string, Job>();
    private readonly decoding = new Map<Job, Decoding>();
    private prefillQueue: Promise<void> = Promise.resolve();
    private isDecoding = false;
    private hasStopped = false;

    constructor(
        private readonly currentSettings: () => settings.Settings,
        private readonly cache: prefixCache.PrefixCache,
        private readonly crash: () => void,
    ) {}

    has(id: string): boolean {
        return this.running.has(id) || this.waiting.some(job => job.id === id);
    }

    load(): { queued_tokens: number; running: number; waiting: number; } {
        const prefilling = [...this.running.values()].filter(job => !this.decoding.has(job));
        const queued = [...this.waiting, ...prefilling].reduce((sum, job) => sum + promptTokens(job), 0);
        return { queued_tokens: queued, running: this.running.size, waiting: this.waiting.length };
    }

    submit(job: Job): void {
        this.waiting.push(job);
        this.admit();
    }

    cancel(id: string): boolean {
        const job = this.running.get(id) ?? this.waiting.find(candidate => candidate.id === id);
        if (job === undefined) {
            return false;
        }
        this.counters.cancelled++;
        this.finish(job, this.decoding.get(job)?.nextIndex ?? job.resumedTokens, "cancelled");
        return true;
    }

    stop(): void {
        this.hasStopped = true;
        this.waiting = [];
        this.running.clear();
        this.decoding.clear();
    }

    private admit(): void {
        while (this.running.size < this.currentSettings().max_running && this.waiting.length > 0) {
            const job = this.waiting.find(candidate => !candidate.hasBatchPriority) ?? this.waiting[0];
            this.waiting = this.waiting.filter(candidate => candidate !== job);
            this.running.set(job.id, job);
            this.prefillQueue = this.prefillQueue.then(() => this.prefill(job));
        }
    }

    private async prefill(job: Job): Promise<void> {
        if (this.running.get(job.id) !== job) {
            return;
        }
        const totalTokens = promptTokens(job);
        const cachedTokens = this.cache.cachedPrefixLength(job.prefixHashes) * this.currentSettings().piece_tokens;
        this.counters.prompt_tokens += totalTokens;
        this.counters.cached_tokens += cachedTokens;
        job.emit({ type: "start", cached_tokens: cachedTokens, prompt_tokens: totalTokens });
        const uncachedTokens = totalTokens + job.resumedTokens - cachedTokens;
        await sleep(uncachedTokens * this.currentSettings().prefill_ms_per_token * job.slowFactor);
        if (this.running.get(job.id) !== job) {
            return;
        }
        this.cache.store(job.prefixHashes, job.weights);
        const length = completions.tokenCount(job.prompt, job.maxTokens);
        this.decoding.set(job, {
            nextIndex: job.resumedTokens,
            length,
            crashIndex: completions.crashIndex(job.prompt),
        });
        this.decodeToken(job);
        void this.decodeSteps();
    }

    private async decodeSteps(): Promise<void> {
        if (this.isDecoding) {
            return;
        }
        this.isDecoding = true;
        for (let step = 1; this.decoding.size > 0; step++) {
            await sleep(this.currentSettings().decode_ms);
            [...this.decoding.keys()].filter(job => step % job.slowFactor === 0).forEach(job => this.decodeToken(job));
        }
        this.isDecoding = false;
    }

    private decodeToken(job: Job): void {
        const progress = this.decoding.get(job);
        if (progress === undefined || this.hasStopped) {
            return;
        }
        if (progress.crashIndex !== undefined && progress.nextIndex >= progress.crashIndex) {
            this.crash();
            return;
        }
        if (progress.nextIndex < progress.length) {
            job.emit({
                type: "token",
                index: progress.nextIndex,
                text: completions.token(job.prompt, progress.nextIndex),
            });
            progress.nextIndex++;
            this.counters.generated_tokens++;
        }
        if (progress.nextIndex >= progress.length) {
            this.finish(job, progress.length, progress.length < job.maxTokens ? "stop" : "length");
        }
    }

    private finish(job: Job, count: number, reason: "stop" | "length" | "cancelled"): void {
        this.waiting = this.waiting.filter(candidate => candidate !== job);
        this.running.delete(job.id);
        this.decoding.delete(job);
        job.emit({ type: "end", count, reason });
        this.admit();
    }
}

function promptTokens(job: Job): number {
    return Math.ceil(Buffer.byteLength(job.prompt) / completions.TOKEN_BYTES);
}

/** Waits for a duration; below 0.5 ms it only yields to the event loop. */
export function sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => void (durationMs < 0.5 ? setImmediate(resolve) : setTimeout(resolve, durationMs)));
}
