/** Interface between the processes and the platform that hosts them, and the settings of a process. */
import type * as fleet from "../fleet/types.js";
import type * as dialects from "../forwarding/dialect.js";
import type * as peering from "../peering/types.js";
import type * as coldRates from "../placement/cold-rate.js";
import type * as followers from "../placement/store-follower.js";
import type * as restoration from "../store-access/restoration.js";
import type * as storeAccess from "../store-access/types.js";
import type * as weights from "../weights/types.js";

/** A record of the store that failed to decode, and the reason. */
export interface InvalidRecord {
    readonly name: string;
    readonly reason: string;
}

/** Result of decoding the records of a kind. */
export interface Decoded<Value> {
    readonly values: readonly Value[];
    readonly invalid: readonly InvalidRecord[];
}

/** Names of the record kinds in the store. */
export interface Kinds {
    readonly configuration: string;
    readonly servers: string;
    readonly weights: string;
    readonly members: string;
    /** Calls and prompt parts that crash servers. */
    readonly suspects: string;
    readonly rollouts: string;
    /** Data centres whose servers are to get no calls. */
    readonly evacuations: string;
}

/** The platform's store, protocols and record formats. */
export interface Platform {
    readonly store: storeAccess.RecordStore;
    /** Headers and message formats that the platform uses. */
    readonly dialect: dialects.Dialect;
    readonly kinds: Kinds;
    /** HTTP path of the readiness check. */
    readonly readinessPath: string;
    decodeConfigurations(records: readonly storeAccess.StoredRecord[]): Decoded<fleet.Configuration>;
    decodeServers(records: readonly storeAccess.StoredRecord[]): Decoded<fleet.BackendServer>;
    /** `era` is that of the store from which the records are. */
    decodeWeights(records: readonly storeAccess.StoredRecord[], era: number): Decoded<fleet.DesiredWeights>;
    decodeRollouts(records: readonly storeAccess.StoredRecord[]): Decoded<fleet.RolloutOrder>;
    /** Names of the evacuated data centres. */
    decodeEvacuations(records: readonly storeAccess.StoredRecord[]): Decoded<string>;
    /** Order of the states of a record by its content; records that cannot be decoded come first. */
    readonly configurationVersion: restoration.LogicalVersion;
    readonly serverVersion: restoration.LogicalVersion;
    readonly weightsVersion: restoration.LogicalVersion;
    /** Encodes a status; `startedAt` is in Unix milliseconds. */
    encodeRolloutStatus(order: fleet.RolloutOrder, state: fleet.RolloutState, startedAt: number): unknown;
    /** Source of changes of a cache store's contents. */
    readonly cacheChanges: followers.CacheChangeSource;
    /** Client of the agent's local backend server at the address. */
    engine(address: string): weights.EnginePort;
}

/** Settings of a process. Addresses are IP:PORT, durations are in milliseconds. */
export interface ProcessSettings {
    readonly name: string;
    readonly role: peering.Role;
    readonly dataCentre: string;
    /** Address for heartbeats (UDP). */
    readonly beatAddress: string;
    /** Address from which peers fetch copies of the store's kinds (HTTP). */
    readonly documentAddress: string;
    /** Address of the metrics endpoint (HTTP). */
    readonly metricsAddress: string;
    /** Heartbeat addresses of processes to contact first; some may no longer exist. */
    readonly seeds: readonly string[];
    /** Address on which callers connect; entries only. */
    readonly callAddress: string | undefined;
    /** Address of the readiness check; entries only. */
    readonly readinessAddress: string | undefined;
    /** Address of the local backend server; agents only. */
    readonly serverAddress: string | undefined;
    /** Time from the termination signal until the platform kills the process. */
    readonly shutdownGraceMs: number;
    /** Time after newer weights became the desired ones from which no call may start on older ones. */
    readonly outdatedWeightsLimitMs: number;
    /** Shortest time after which a change that the store has confirmed has to be in force. */
    readonly changeLimitMs: number;
    /** Memory in bytes above which the platform ends the process; undefined if it names none. */
    readonly memoryLimitBytes: number | undefined;
    /** Descriptors that the process may open; undefined if the platform names no limit. */
    readonly descriptorLimit: number | undefined;
    /** Maximum ratio of retries to requests, over all entries. */
    readonly retryBudgetRatio: number;
    /** Retries per window allowed beyond that ratio, over all entries. */
    readonly retrySlack: number;
    /** Tokens per window allowed beyond rate and burst, over all entries. */
    readonly quotaSlackTokens: number;
    readonly capabilities: fleet.Capabilities;
    /** Region of each data centre. */
    readonly regions: ReadonlyMap<string, string>;
    /** The process is started for the first time, together with the deployment. */
    readonly isFirstStart: boolean;
    readonly coldBounds: coldRates.ColdBounds;
}
