/** What the calls see of a deployment: configuration, backend servers, and weights that were named. */

/** What may be repeated: anything, nothing, or a stream (nothing, unless the route is resumable). */
export type CallKind = "idempotent" | "at-most-once" | "stream";

export interface RouteTarget {
    readonly service: string;
    /** Relative share of the route's calls. */
    readonly weight: number;
}

export interface Route {
    readonly name: string;
    readonly host: string;
    readonly pathPrefix: string;
    readonly kind: CallKind;
    /** A stream of this route may continue on another server. */
    readonly resumable: boolean;
    readonly targets: readonly RouteTarget[];
    /** Longest time in milliseconds until the caller has its final answer. */
    readonly timeoutMs: number;
    /** Time in milliseconds within which an answer has its full value; for streams until the first event. */
    readonly targetLatencyMs: number;
    /** Number of servers that may run one call. */
    readonly maximumAttempts: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Calls need no key. */
    readonly open: boolean;
}

export interface Customer {
    readonly name: string;
    readonly keys: readonly string[];
    /** Goes before the priority of the route. */
    readonly priority: number | undefined;
    /** Shares no cached part of a prompt with other customers. */
    readonly isolated: boolean;
    /** What the rate counts. A call counts as one token where calls are counted. */
    readonly rateUnit: "tokens" | "calls";
    /** Tokens per second; 0 means no limit. */
    readonly tokensPerSecond: number;
    readonly burstTokens: number;
    /** Tokens that a call without token counts is charged. */
    readonly tokensOfPlainCall: number;
}

export interface Engine {
    readonly slots: number;
    /** Tokens that running calls and cached parts share. */
    readonly memoryTokens: number;
    readonly models: readonly string[];
}

export interface Service {
    readonly name: string;
    /** Connections that one server accepts from all callers together. */
    readonly maximumConnections: number;
    readonly engine: Engine | undefined;
}

/** A store of cached prompt parts. */
export interface CacheStore {
    readonly name: string;
    readonly address: string;
    readonly dataCentre: string;
    readonly memoryTokens: number;
    /** Processes that may follow its changes at once. */
    readonly maximumFollowers: number;
}

export interface CallLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

export interface Configuration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: ReadonlyMap<string, Service>;
    readonly cacheStores: readonly CacheStore[];
    readonly customers: readonly Customer[];
    readonly limits: CallLimits;
}

export interface BackendServer {
    /** Identity of one run of the server; a restart mostly has another one. */
    readonly id: string;
    /** Start of the server in Unix milliseconds; tells runs with the same identity apart. */
    readonly startedAt: number | undefined;
    readonly service: string;
    readonly address: string;
    readonly dataCentre: string;
    readonly slots: number;
    readonly state: "ready" | "draining";
    /** Weights version by model. */
    readonly weights: ReadonlyMap<string, number>;
}

/** The newest weights version of a model that was named. */
export interface NamedWeights {
    readonly model: string;
    readonly version: number;
    /** Revision of the store at which the version was named. */
    readonly revision: number;
}

/** One nested part of a prompt. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** What the head of a call says, apart from method, path and forwarded headers. */
export interface CallHead {
    readonly id: string;
    /** Time in milliseconds that the caller waits, from the moment of the call. */
    readonly deadlineMs: number | undefined;
    readonly key: string | undefined;
    readonly model: string | undefined;
    readonly promptTokens: number;
    readonly maximumOutputTokens: number;
    /** Output tokens that the caller expects; the maximum where it gives no estimate. */
    readonly expectedOutputTokens: number;
    readonly hasTokenCounts: boolean;
    readonly parts: readonly PromptPart[];
    /** Last event that the caller has already received of a stream that it resumes. */
    readonly resumeAfter: number | undefined;
}
