/** Inputs and result of server selection. */
import type * as fleet from "../fleet/types.js";
import type * as statedLoads from "./stated-load.js";

/** A server's state as this entry knows it when it places a call. */
export interface Candidate {
    readonly server: fleet.BackendServer;
    /** Calls in flight at the server, from all entries. */
    readonly calls: number;
    /** Prompt tokens that the server still has to prefill, from the calls of all entries. */
    readonly pendingPromptTokens: number;
    /** Version of the weights of the call's model; undefined for services without models or when unknown. */
    readonly weightsVersion: number | undefined;
    /** Time in milliseconds since a newer weights version became the desired one; undefined when the server is up to date. */
    readonly outdatedForMs: number | undefined;
    /** The server is loading weights or about to; it gets no calls. */
    readonly isUpdatingWeights: boolean;
    /** The server loads weights as soon as its running calls have ended; long calls would delay that. */
    readonly isUpdatePending: boolean;
    /** Avoided after a refused or reset connection, or a timeout. */
    readonly isSuspected: boolean;
    /** Time in milliseconds for which the server wants no calls of this entry; 0 if it takes them. */
    readonly pauseMs: number;
    /** Whether the server names a limit of requests, and whether that leaves one for this entry now. */
    readonly limit: "none" | "open" | "closed";
    /** The server has just started and is slow; its limit then also covers what it takes while it is cold. */
    readonly isCold?: boolean;
    /** The server's data centre is evacuated; it gets no calls. */
    readonly isEvacuated?: boolean;
    /** Share of recent calls that failed, from 0 to 1. */
    readonly failureShare: number;
    /** What the server stated a moment ago, with the estimate of its calls that `calls` has; undefined for nothing. */
    readonly stated?: statedLoads.StatedState | undefined;
}

/** How long a prompt takes to prefill, compared to the pauses that the streams on the same server tolerate. */
export type PromptKind = "short" | "long";

/** The servers of a service that calls with prompts of one kind prefer. */
export interface ServerGroup {
    readonly kind: PromptKind;
    readonly servers: ServerIds;
    /** Number of servers that the calls of this kind keep busy. */
    readonly busyServers: number;
    /** Queue in milliseconds at the servers of the group from which on those of the other group are compared as well. */
    readonly maximumQueueMs: number;
    /** Time in milliseconds for all prompts at a server of the other group, this one included, if the call is placed there. */
    readonly maximumBacklogMs: number;
}

/** What matters about a call when its server is chosen. */
export interface PlacementRequest {
    /** Calls with the same key share cached parts and prefer the same server; undefined without shared parts. */
    readonly affinityKey: string | undefined;
    /** Prompt tokens in parts that other calls share. */
    readonly sharedTokens: number;
    /** Servers that are prefilling the last shared part, which no store has yet. */
    readonly prefillingServers: ReadonlySet<string>;
    /** Prompt tokens that are unique to the call. */
    readonly unsharedTokens: number;
    /** Output tokens that the server is expected to generate. */
    readonly expectedOutputTokens: number;
    /** Servers that this call has already tried. */
    readonly triedServers: ReadonlySet<string>;
    /** Data centre of this entry. */
    readonly dataCentre: string;
    /** Whether the call may run in a data centre; undefined if it may run in all of them. */
    readonly mayRunIn?: ((dataCentre: string) => boolean) | undefined;
    /** Load of all servers of the service together, relative to their capacity. */
    readonly utilization: number;
    /** Mean prompt tokens of the service's calls. */
    readonly meanPromptTokens?: number;
    /** The prompt is shorter than the mean of the service's calls. */
    readonly isShort: boolean;
    /** The target is an HTTP service rather than an inference engine. */
    readonly isHttpService: boolean;
    /** Servers state their load, since they share their machines with others. */
    readonly isContended?: boolean;
    /** The servers for prompts like the call's; undefined while all prompts share the servers. */
    readonly group?: ServerGroup | undefined;
}

export type ServerIds = ReadonlySet<string>;

/** Latency of a service, estimated from its responses. */
export interface LatencyEstimate {
    /** Prefill time in milliseconds per prompt token. */
    readonly msPerPromptToken: number;
    /** Mean duration of a call in milliseconds. */
    readonly callMs: number;
}

/** Why no server is chosen: the first filter that leaves no candidate. */
export type UnplacedReason =
    | "no-server"
    | "all-moving"
    | "all-suspected"
    | "all-outside-homes"
    | "all-evacuated"
    | "all-limited"
    | "all-cold"
    | "all-paused"
    | "all-full"
    | "all-outdated";

export type PlacementDecision =
    | {
        readonly kind: "server";
        readonly candidate: Candidate;
        /** The chosen server is the preferred one. */
        readonly isPreferred: boolean;
        /** Server to which rendezvous hashing assigns the shared parts; it most likely has them cached. */
        readonly preferredServer: fleet.BackendServer | undefined;
        /** Cost of the chosen server in milliseconds. */
        readonly costMs: number;
        /** Kind of the prompts for which the chosen server is; undefined while all prompts share the servers. */
        readonly group?: PromptKind | undefined;
    }
    | {
        readonly kind: "none";
        readonly reason: UnplacedReason;
        /** Time in milliseconds until the first server takes calls again, for the reason `all-paused`. */
        readonly pauseMs?: number;
    };
