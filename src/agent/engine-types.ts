/** Types of the engine's protocol as the agent uses them. */
import type * as failures from "../core/failure.js";
import type * as views from "../routing/cache-view.js";

export interface EngineRequest {
    /** Unique per attempt: the engine refuses an identifier that is in flight. */
    readonly requestId: string;
    readonly model: string;
    readonly adapter: string;
    readonly weightsVersion: string;
    /** Seed of the prefix chain; see section 11 of the design. */
    readonly cacheScope: string;
    readonly prompt: string;
    /** Tokens that the caller already has. */
    readonly resumeTokens: readonly string[];
    /** Limit of the whole answer, resumed tokens included. */
    readonly maxTokens: number;
    readonly priority: "interactive" | "batch";
    readonly route: string;
}

export type FinishReason = "stop" | "length";

/** Events of a generation: a start, tokens in order, and exactly one end or failure as the last event. */
export type EngineEvent =
    | {
        readonly type: "start";
        readonly cachedTokens: number;
        readonly promptTokens: number;
        /** Run of the engine; empty when the engine does not name it. */
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
    /** Value of `after` with which the events that follow the snapshot are read. */
    readonly next: number;
    readonly hashes: readonly string[];
}

export interface Order {
    readonly fencingNumber: number;
    readonly kind: "load-weights" | "unload-weights";
    readonly model: string;
    readonly weightsVersion: string;
}
