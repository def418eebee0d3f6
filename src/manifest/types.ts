/** Types of the configuration that is compiled from a validated manifest. */

/** Sustained request rate and largest burst of requests. */
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
    /** Size of a prefix cache block in tokens. */
    readonly pieceTokens: number;
    /** Number of servers that can load weights at the same time without slowing each other down. */
    readonly parallelLoads: number;
}

export type ServerKind = "engine" | "service";

export interface BackendServer {
    readonly name: string;
    readonly dataCentre: string;
    readonly kind: ServerKind;
    /** RPC address (`host:port`) of the agent of the server. */
    readonly agentAddress: string;
    /** Models of an engine. */
    readonly models: readonly string[];
    /** Name of the HTTP service that the server runs; empty for engines. */
    readonly service: string;
    /** Relative capacity of the server. */
    readonly weight: number;
    /** The server rejects orders with an outdated fencing number; when false, its agent does. */
    readonly checksFencing: boolean;
}

export interface Route {
    readonly name: string;
    readonly path: string;
    readonly methods: readonly string[];
    readonly service: string;
    readonly idempotent: boolean;
    /** Calls need no API key. */
    readonly open: boolean;
    /** Deadline of a call in milliseconds. */
    readonly deadlineMs: number;
    /** Path of the service that reports whether the call with the idempotency key `{key}` ran; empty when there is none. */
    readonly lookupPath: string;
    /** Milliseconds after an agent is proved dead until a call that the service does not know counts as not run. */
    readonly settleAfterMs: number;
}

export interface Rollout {
    readonly name: string;
    readonly model: string;
    readonly from: string;
    readonly to: string;
    /** Increasing traffic shares of the new version; the last one is 1. */
    readonly steps: readonly number[];
    /** Milliseconds since the Unix epoch. */
    readonly deadline: number;
    /** Minimum duration of each step in milliseconds. */
    readonly stepMs: number;
}

export interface Configuration {
    /** Version of the manifest object in the store; 0 before the first configuration. */
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
