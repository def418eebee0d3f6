/** Requests and events of the engine's protocol in the form that the agent uses. */
import type * as failures from "../core/failure.js";
import type * as views from "../routing/cache-view.js";

export interface EngineRequest {
    /** Unique per attempt, because the engine refuses an identifier that is already in flight. */
    readonly requestId: string;
    readonly model: string;
    readonly adapter: string;
    readonly weightsVersion: string;
    /** Seed of the prefix hash chain; requests with different seeds share no cache entries. */
    readonly cacheScope: string;
    readonly prompt: string;
    /** Tokens that the caller has already received; the generation continues after them. */
    readonly resumeTokens: readonly string[];
    /** Maximum number of output tokens, including the resumed ones. */
    readonly maxTokens: number;
    readonly priority: "interactive" | "batch";
    readonly route: string;
}

export type FinishReason = "stop" | "length";

/** Event of a generation: a start, then tokens in order, and exactly one end or failure as the last event. */
export type EngineEvent =
    | {
        readonly type: "start";
        readonly cachedTokens: number;
        readonly promptTokens: number;
        /** Boot identifier of the engine; empty if the engine does not send it. */
        readonly boot: string;
    }
    | { readonly type: "token"; readonly index: number; readonly text: string; }
    | { readonly type: "end"; readonly count: number; readonly reason: FinishReason; }
    | { readonly type: "failed"; readonly failure: failures.Failure; };

export interface EngineLoad {
    readonly boot: string;
    readonly queuedTokens: number;
    readonly running: number;
    readonly waiting: number;
    /** Loaded weights as `model@version`. */
    readonly weights: readonly string[];
}

export interface CacheEventPage {
    readonly boot: string;
    /** Value of `after` for the next call. */
    readonly next: number;
    readonly events: readonly views.CacheEvent[];
}

export interface CacheSnapshot {
    readonly boot: string;
    /** Value of `after` for reading the events that follow the snapshot. */
    readonly next: number;
    readonly hashes: readonly string[];
}

/** Command of the rollout coordinator to load or unload weights. */
export interface Order {
    /** Fencing token of the coordinator's lease; orders with a lower number than the highest seen are rejected. */
    readonly fencingNumber: number;
    readonly kind: "load-weights" | "unload-weights";
    readonly model: string;
    readonly weightsVersion: string;
}
