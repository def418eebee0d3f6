/** Continuous batching: a limited number of requests run, one prefills at a time, each step decodes a token of all. */
import * as answers from "./answer.js";
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
    readonly batchPriority: boolean;
    readonly chain: readonly string[];
    readonly weights: string;
    /** Factor on prefill and decode time. */
    readonly slowness: number;
    readonly emit: (event: EngineEvent) => void;
}

interface Decoding {
    next: number;
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
    private prefills: Promise<void> = Promise.resolve();
    private stepping = false;
    private stopped = false;

    constructor(
        private readonly current: () => settings.Settings,
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
        this.finish(job, this.decoding.get(job)?.next ?? job.resumedTokens, "cancelled");
        return true;
    }

    stop(): void {
        this.stopped = true;
        this.waiting = [];
        this.running.clear();
        this.decoding.clear();
    }

    private admit(): void {
        while (this.running.size < this.current().max_running && this.waiting.length > 0) {
            const job = this.waiting.find(candidate => !candidate.batchPriority) ?? this.waiting[0];
            this.waiting = this.waiting.filter(candidate => candidate !== job);
            this.running.set(job.id, job);
            this.prefills = this.prefills.then(() => this.prefill(job));
        }
    }

    private async prefill(job: Job): Promise<void> {
        if (this.running.get(job.id) !== job) {
            return;
        }
        const total = promptTokens(job);
        const cached = this.cache.match(job.chain) * this.current().piece_tokens;
        this.counters.prompt_tokens += total;
        this.counters.cached_tokens += cached;
        job.emit({ type: "start", cached_tokens: cached, prompt_tokens: total });
        const uncached = total + job.resumedTokens - cached;
        await sleep(uncached * this.current().prefill_ms_per_token * job.slowness);
        if (this.running.get(job.id) !== job) {
            return;
        }
        this.cache.store(job.chain, job.weights);
        const length = answers.length(job.prompt, job.maxTokens);
        this.decoding.set(job, { next: job.resumedTokens, length, crashIndex: answers.crashIndex(job.prompt) });
        this.decode(job);
        void this.run();
    }

    private async run(): Promise<void> {
        if (this.stepping) {
            return;
        }
        this.stepping = true;
        for (let step = 1; this.decoding.size > 0; step++) {
            await sleep(this.current().decode_ms);
            [...this.decoding.keys()].filter(job => step % job.slowness === 0).forEach(job => this.decode(job));
        }
        this.stepping = false;
    }

    private decode(job: Job): void {
        const state = this.decoding.get(job);
        if (state === undefined || this.stopped) {
            return;
        }
        if (state.crashIndex !== undefined && state.next >= state.crashIndex) {
            this.crash();
            return;
        }
        if (state.next < state.length) {
            job.emit({ type: "token", index: state.next, text: answers.token(job.prompt, state.next) });
            state.next++;
            this.counters.generated_tokens++;
        }
        if (state.next >= state.length) {
            this.finish(job, state.length, state.length < job.maxTokens ? "stop" : "length");
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
    return Math.ceil(Buffer.byteLength(job.prompt) / answers.TOKEN_BYTES);
}

/** Durations under half a millisecond yield to the event loop only. */
export function sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => void (durationMs < 0.5 ? setImmediate(resolve) : setTimeout(resolve, durationMs)));
}
