/** Model of a deployment: configuration, backend servers, desired weights and request metadata. */
import type * as storeAccess from "../store-access/types.js";

/** Retry semantics of a call. A stream is not retried unless its route is resumable. */
export type CallKind = "idempotent" | "at-most-once" | "stream";

/** Parts of the product that only some deployments ask for in their settings. */
export interface Capabilities {
    /** Servers may be cold, data centres evacuated, and calls bound to home regions. */
    readonly placementConstraints: boolean;
    /** Calls of several kinds compete for servers, which share their machines with others and state their load and pace. */
    readonly contendedServers: boolean;
}

export interface RouteTarget {
    readonly service: string;
    /** Relative share of the route's calls; 0 disables the target. */
    readonly weight: number;
}

export interface Route {
    readonly name: string;
    readonly host: string;
    readonly pathPrefix: string;
    readonly kind: CallKind;
    /** A stream of this route may be continued on another server. */
    readonly resumable: boolean;
    readonly targets: readonly RouteTarget[];
    /** Maximum time in milliseconds until the caller has its complete response. */
    readonly timeoutMs: number;
    /** Latency target in milliseconds: until the response or, for streams, until the first event. */
    readonly targetLatencyMs: number;
    /** Longest pause in milliseconds between two events for which a stream is on time; 0 for other calls. */
    readonly targetGapMs: number;
    /** Maximum number of servers that may run one call. */
    readonly maximumAttempts: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Calls need no key. */
    readonly open: boolean;
    /** Regions in which calls may run; all if there are none. */
    readonly homes?: readonly string[];
}

export interface Customer {
    readonly name: string;
    readonly keys: readonly string[];
    /** Overrides the priority of the route; 0 is the most urgent. */
    readonly priority: number | undefined;
    /** Shares no cached prompt parts with other customers. */
    readonly isolated: boolean;
    /** Regions in which the customer's calls may run; all if there are none. */
    readonly homes?: readonly string[];
    /** Unit of the rate limit. With `calls`, each call is charged one token. */
    readonly rateUnit: "tokens" | "calls";
    /** Tokens per second; 0 means no limit. */
    readonly tokensPerSecond: number;
    /** Capacity of the token bucket. */
    readonly burstTokens: number;
    /** Tokens charged for a call without token counts. */
    readonly defaultCallTokens: number;
}

/** How the servers of a service have to be treated after a start. */
export interface ColdStart {
    /** Time in milliseconds after its start during which a server is cold. */
    readonly durationMs: number;
    /** Requests a second that a cold server takes from all entries together; undefined if any number. */
    readonly requestsPerSecond: number | undefined;
}

/** Properties of the inference engines of a service. */
export interface Engine {
    /** Calls that one engine runs at once. */
    readonly slots: number;
    /** Memory capacity in tokens, shared by running calls and cached parts. */
    readonly memoryTokens: number;
    readonly models: readonly string[];
}

export interface Service {
    readonly name: string;
    /** Maximum number of connections that one server accepts from all clients together. */
    readonly maximumConnections: number;
    /** Undefined if its servers are never cold. */
    readonly coldStart?: ColdStart | undefined;
    /** Undefined for an HTTP service without inference engines. */
    readonly engine: Engine | undefined;
}

/** A shared store of cached prompt parts. */
export interface CacheStore {
    readonly name: string;
    /** IP:PORT. */
    readonly address: string;
    readonly dataCentre: string;
    /** Capacity in tokens. */
    readonly memoryTokens: number;
    /** Bandwidth of its network link, which all servers share, in tokens per millisecond. */
    readonly linkTokensPerMs: number;
    /** Maximum number of processes that may follow the store's changes at once. */
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
    /** Identity of one incarnation of the server; it usually changes with a restart. */
    readonly id: string;
    /** Start of the server in Unix milliseconds; distinguishes incarnations with the same identity. */
    readonly startedAt: number | undefined;
    readonly service: string;
    readonly address: string;
    readonly dataCentre: string;
    /** Calls that the server runs at once. */
    readonly slots: number;
    readonly state: "ready" | "draining";
    /** Version of the server's software, which rollouts replace; not that of its weights. */
    readonly softwareVersion: string | undefined;
    /** Loaded weights version by model. */
    readonly weights: ReadonlyMap<string, number>;
    /** Time in milliseconds for which the server stays cold, from when it wrote its record; undefined if it says nothing. */
    readonly coldRemainingMs?: number | undefined;
    /** Revision of the record, which tells an unchanged statement from a new one. */
    readonly revision?: number | undefined;
}

/** What a server states of itself in a response. */
export interface StatedLoad {
    /** Calls that the server runs. */
    readonly running: number;
    /** Calls in the server's queue. */
    readonly waiting: number;
    /** Calls that the server runs at once. */
    readonly slots: number;
    /** Duration of work on the server's machine at that moment, relative to the usual one; 2 is half as fast as usual. */
    readonly pace: number;
}

/** The weights version of a model that the servers are to load. */
export interface DesiredWeights {
    readonly model: string;
    readonly version: number;
    /** Position of the store at which the version was set; orders to servers are fenced with it. */
    readonly position: storeAccess.Position;
}

export type RolloutState = "in-progress" | "complete" | "rolled-back";

/** An order to move the calls of a service to servers with another version of their software. */
export interface RolloutOrder {
    readonly service: string;
    /** Version to which the calls move. */
    readonly target: string;
    /** Time in milliseconds from the order within which the rollout has to be complete or rolled back. */
    readonly durationMs: number;
    /** Revision of the store at which the order or its status was last changed. */
    readonly revision: number;
    /** State that was written for this version; undefined before the first status. */
    readonly state: RolloutState | undefined;
    /** Start in Unix milliseconds, as the status has it. */
    readonly startedAt: number | undefined;
}

/** One of the nested parts of a prompt, from the most widely shared to the one that is unique to the call. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** Metadata from the head of a call, apart from method, path and forwarded headers. */
export interface CallHead {
    readonly id: string;
    /** Time in milliseconds that the caller waits, from the receipt of the call. */
    readonly deadlineMs: number | undefined;
    readonly key: string | undefined;
    readonly model: string | undefined;
    readonly promptTokens: number;
    readonly maximumOutputTokens: number;
    /** Output tokens that the caller expects; the maximum where it gives no estimate. */
    readonly expectedOutputTokens: number;
    readonly hasTokenCounts: boolean;
    /** Parts of the prompt in order; the last one is unique to the call. */
    readonly parts: readonly PromptPart[];
    /** Number of the last event that the caller has received of a stream that it resumes. */
    readonly resumeAfter: number | undefined;
}
