/** What a deployment gives the processes: its store, its wire, and the layout of its records. */
import type * as fleet from "../fleet/types.js";
import type * as dialects from "../forwarding/dialect.js";
import type * as peering from "../peering/types.js";
import type * as followers from "../placement/store-follower.js";
import type * as storeAccess from "../store-access/types.js";
import type * as weights from "../weights/types.js";

/** A record that can't be used, and why. */
export interface InvalidRecord {
    readonly name: string;
    readonly reason: string;
}

export interface Decoded<Value> {
    readonly values: readonly Value[];
    readonly invalid: readonly InvalidRecord[];
}

/** Names of the kinds in the store. */
export interface Kinds {
    readonly configuration: string;
    readonly servers: string;
    readonly weights: string;
    readonly members: string;
}

export interface Deployment {
    readonly store: storeAccess.RecordStore;
    readonly dialect: dialects.Dialect;
    readonly kinds: Kinds;
    readonly readinessPath: string;
    decodeConfigurations(records: readonly storeAccess.StoredRecord[]): Decoded<fleet.Configuration>;
    decodeServers(records: readonly storeAccess.StoredRecord[]): Decoded<fleet.BackendServer>;
    decodeWeights(records: readonly storeAccess.StoredRecord[]): Decoded<fleet.DesiredWeights>;
    readonly cacheChanges: followers.CacheChangeSource;
    /** The server beside this process. */
    engine(address: string): weights.EnginePort;
}

/** Settings of a process, in the product's words. Durations in milliseconds. */
export interface ProcessSettings {
    readonly name: string;
    readonly role: peering.Role;
    readonly dataCentre: string;
    readonly beatAddress: string;
    readonly documentAddress: string;
    readonly metricsAddress: string;
    /** Beat addresses of processes to contact first; they may be gone. */
    readonly seeds: readonly string[];
    /** Address for callers; entries only. */
    readonly callAddress: string | undefined;
    /** Address of the readiness check; entries only. */
    readonly readinessAddress: string | undefined;
    /** Address of the server beside the process; agents only. */
    readonly serverAddress: string | undefined;
    /** Time from the request to stop until the process is ended. */
    readonly graceMs: number;
    /** Age of newer weights from which no call may begin on older ones. */
    readonly outdatedWeightsMs: number;
    /** Retries per request that all entries together may send. */
    readonly retryShare: number;
    /** Retries of a window beyond that share, all entries together. */
    readonly retrySlack: number;
    /** Tokens of a window beyond rate and burst, all entries together. */
    readonly quotaSlackTokens: number;
}
