/** The compiled manifest: what operators declare, after all checks. */

/** Requests per second and the number of requests that may come at once. */
export interface Rate {
    readonly requestsPerSecond: number;
    readonly burst: number;
}

export interface Customer {
    readonly name: string;
    /** SHA-256 of each valid key, lower-case hexadecimal. */
    readonly keyHashes: readonly string[];
    readonly rate: Rate;
    /** Relative share of the backend servers under contention. */
    readonly weight: number;
}

export interface Model {
    readonly name: string;
    readonly weightsVersion: string;
    readonly adapters: readonly string[];
    /** Size of one piece of the prefix cache, in tokens. */
    readonly pieceTokens: number;
    /** Number of servers that may load weights at the same time without slowing each other. */
    readonly parallelLoads: number;
}

export type ServerKind = "engine" | "service";

export interface BackendServer {
    readonly name: string;
    readonly dataCentre: string;
    readonly kind: ServerKind;
    /** `host:port` of the agent beside the server. */
    readonly agentAddress: string;
    /** Models of an engine. */
    readonly models: readonly string[];
    /** Name of the plain service that the server runs; empty for engines. */
    readonly service: string;
    /** Relative capacity. */
    readonly weight: number;
    /** The server refuses an order with an old fencing number; when false its agent is the fencing point. */
    readonly checksFencing: boolean;
}

export interface Route {
    readonly name: string;
    readonly path: string;
    readonly methods: readonly string[];
    readonly service: string;
    readonly idempotent: boolean;
    /** Calls need no key. */
    readonly open: boolean;
    /** Deadline of a call in milliseconds. */
    readonly deadlineMs: number;
    /** Path of the service that answers whether the call with a key ran; `{key}` is replaced. Empty when there is none. */
    readonly lookupPath: string;
    /** Milliseconds after the proven death of an agent before a call unknown to the service counts as not run. */
    readonly settleAfterMs: number;
}

export interface Rollout {
    readonly name: string;
    readonly model: string;
    readonly from: string;
    readonly to: string;
    /** Growing shares of the traffic for the new version; the last one is 1. */
    readonly steps: readonly number[];
    /** Milliseconds since the Unix epoch. */
    readonly deadline: number;
    /** Milliseconds that each step lasts at least. */
    readonly stepMs: number;
}

export interface Configuration {
    /** Version of the object in the store; 0 before any configuration. */
    readonly version: number;
    readonly customers: ReadonlyMap<string, Customer>;
    /** Customer name by key hash. */
    readonly keys: ReadonlyMap<string, string>;
    readonly models: ReadonlyMap<string, Model>;
    readonly backendServers: ReadonlyMap<string, BackendServer>;
    readonly routes: readonly Route[];
    readonly rollouts: readonly Rollout[];
}

export const emptyConfiguration: Configuration = {
    version: 0,
    customers: new Map(),
    keys: new Map(),
    models: new Map(),
    backendServers: new Map(),
    routes: [],
    rollouts: [],
};
