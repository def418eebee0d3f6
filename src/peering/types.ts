/** Messages between the processes of a deployment. */
import type * as fleet from "../fleet/types.js";
import type * as quarantine from "../quarantine/types.js";
import type * as stages from "../rollout/service-stage.js";
import type * as rollout from "../rollout/types.js";
import type * as silenceFindings from "../store-access/silence-findings.js";
import type * as storeAccess from "../store-access/types.js";

export type Role = "entry" | "agent";

/** Name, role and addresses of a process. */
export interface Member {
    readonly name: string;
    readonly role: Role;
    /** Undefined for a seed and for a process of a version that does not tell it. */
    readonly dataCentre: string | undefined;
    /** IP:PORT for heartbeats (UDP). */
    readonly beatAddress: string;
    /** IP:PORT from which peers fetch copies of the store's kinds (HTTP). */
    readonly documentAddress: string;
    /** Address of the agent's local backend server; `undefined` for an entry. */
    readonly serverAddress: string | undefined;
}

/** Load that the calls of one entry put on a server. */
export interface ServerLoad {
    /** Calls in flight. */
    readonly calls: number;
    /** Prompt tokens that the server still has to prefill, for calls that have not received their first event. */
    readonly pendingPromptTokens: number;
}

/** Demand of the calls of one entry whose prompts are of one kind. */
export interface KindDemand {
    /** Number of servers that their prefill keeps busy. */
    readonly busyServers: number;
    /** Calls in flight. */
    readonly calls: number;
}

/** Demand of the calls of one entry at a service. */
export interface PromptDemand {
    readonly service: string;
    readonly short: KindDemand;
    readonly long: KindDemand;
}

/** A shared part of prompts that a server prefills or has just prefilled, since no cache store has it. */
export interface Prefill {
    /** Hash of the part and of the scope under which it is cached. */
    readonly partHash: number;
    /** Id of the server. */
    readonly server: string;
    /** The server has prefilled the part. */
    readonly isComplete: boolean;
}

/** The rate of requests that a server takes from all entries together, and what this entry sent it. */
export interface ServerLimit {
    /** Id of the server. */
    readonly server: string;
    /** Undefined if the server has ceased to name a limit. */
    readonly requestsPerSecond: number | undefined;
    /** Time in milliseconds since the response that named the limit, or named none. */
    readonly ageMs: number;
    /** Requests sent to the server while it named a limit, since this entry learnt of it. */
    readonly requests: number;
}

/** What a server stated in a response to the sender a moment ago. */
export interface LoadStatement {
    /** Id of the server. */
    readonly server: string;
    /** Start of the server's run that made the statement; undefined if unknown. */
    readonly startedAt: number | undefined;
    readonly load: fleet.StatedLoad;
    /** Time in milliseconds since the response. */
    readonly ageMs: number;
    /** With the response, the server rejected a call without running it. */
    readonly isRejecting: boolean;
}

/** What an entry knows of the rollout of a service. */
export interface ServiceRollout {
    readonly service: string;
    readonly target: string;
    /** Time in milliseconds since the order was given. */
    readonly elapsedMs: number;
    readonly stage: stages.Stage;
    /** Outcomes of the entry's calls since it started. */
    readonly counts: readonly rollout.OutcomeCount[];
}

/** A prompt part that a server saved to a cache store. */
export interface SavedPart {
    /** Hash of the store, the scope under which the part is cached, and the part. */
    readonly partHash: number;
    /** Tokens that the store received with the part, those of the call's unique part included. */
    readonly tokens: number;
}

/** What a process that follows the changes of a cache store knows of it. */
export interface CacheStoreStatus {
    /** IP:PORT. */
    readonly address: string;
    /** Differs after each restart of the store, which starts empty; undefined while the store does not respond. */
    readonly incarnation: string | undefined;
}

export interface LoadedWeights {
    readonly model: string;
    readonly version: number;
}

/** State of an agent's local backend server. */
export interface ServerReport {
    readonly address: string;
    /** False after the agent's latest reads of the server's state have failed. */
    readonly isAlive: boolean;
    /** Start time of the server's current run as the server reports it; `undefined` if unknown. */
    readonly startedAt: number | undefined;
    readonly weights: readonly LoadedWeights[];
    /** The server is loading weights or about to; it gets no calls, since they would wait or be rejected. */
    readonly isUpdatingWeights: boolean;
    /** The server updates its weights soon; it gets no long calls, since they would delay the update. */
    readonly isUpdatePending: boolean;
    /** Number of calls that the server is running. */
    readonly running: number;
    /** Number of calls in the server's queue. */
    readonly waiting: number;
}

/** The weights version of a model that the servers are to load. */
export interface DesiredWeights {
    readonly model: string;
    readonly version: number;
    /** Position of the store at which the version was set; orders to servers are fenced with it. */
    readonly position: storeAccess.Position;
}

/** A datagram: the heartbeat of its sender, and heartbeats from other data centres that the sender passes on. */
export interface HeartbeatMessage {
    readonly heartbeat: Heartbeat;
    readonly passedOn: readonly Heartbeat[];
}

/** Periodic message of a process to its peers. */
export interface Heartbeat {
    readonly member: Member;
    /** Random id of this run of the process. */
    readonly incarnation: string;
    /** Increases with each heartbeat of the incarnation, since UDP may reorder datagrams. */
    readonly sequence: number;
    /** The process is shutting down. */
    readonly isLeaving: boolean;
    /** Position of the newest change in the process's copy of each kind, by kind. */
    readonly lastChanges: Readonly<Record<string, storeAccess.Position>>;
    /** Tokens spent since the process started, by customer; entries only. */
    readonly spentTokens: Readonly<Record<string, number>>;
    /** Load of this process's calls, by server id; entries only. */
    readonly serverLoads: Readonly<Record<string, ServerLoad>>;
    /** Prefills in progress or just completed for calls of this process; entries only. */
    readonly prefills: readonly Prefill[];
    /** Parts just saved to cache stores for calls of this process; entries only. */
    readonly savedParts: readonly SavedPart[];
    /** State of the cache stores that this process follows; entries only. */
    readonly cacheStores: readonly CacheStoreStatus[];
    /** Calls and prompt parts that may crash servers; entries only. */
    readonly suspects: quarantine.SuspectState;
    /** Limits that servers name; entries only. */
    readonly serverLimits: readonly ServerLimit[];
    /** What servers stated a moment ago, as far as it tells more than the loads; entries only. */
    readonly loadStatements: readonly LoadStatement[];
    /** Rollouts of services; entries only. */
    readonly rollouts: readonly ServiceRollout[];
    /** Demand of short and long prompts by service; entries that divide servers between them only. */
    readonly promptDemands?: readonly PromptDemand[];
    /** Open connections to the store were found to be silent a moment ago while new ones work. */
    readonly connectionSilence?: silenceFindings.SilenceFinding;
    readonly desiredWeights: readonly DesiredWeights[];
    /** Agents only. */
    readonly report: ServerReport | undefined;
}
