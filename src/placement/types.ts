/** Inputs and outcome of the choice of a server. */
import type * as fleet from "../fleet/types.js";

/** One server as this entry knows it at the moment of the choice. */
export interface Candidate {
    readonly server: fleet.BackendServer;
    /** Calls of all entries at the server. */
    readonly calls: number;
    /** Prompt tokens of all entries' calls that the server still has to read. */
    readonly unreadTokens: number;
    /** Version of the weights of the call's model; undefined for services without models or when unknown. */
    readonly weightsVersion: number | undefined;
    /** Time in milliseconds since newer weights were named; undefined when the server has the newest. */
    readonly outdatedForMs: number | undefined;
    /** The server is loading weights, or is about to. */
    readonly isMoving: boolean;
    /** The server loads weights as soon as its runs have ended. */
    readonly isWindingDown: boolean;
    /** Out of use after a failure: refused connections, resets, or silence. */
    readonly isSuspected: boolean;
    /** Share of recent calls that failed, from 0 to 1. */
    readonly failureShare: number;
}

/** What the call asks of a server. */
export interface Demand {
    /** Cached parts are looked up by this text: scope and last shared part; undefined without shared parts. */
    readonly affinityKey: string | undefined;
    readonly sharedTokens: number;
    /** Servers that read the last shared part now, which no store has yet. */
    readonly readers: ReadonlySet<string>;
    readonly ownTokens: number;
    /** Tokens that the server is expected to generate. */
    readonly outputTokens: number;
    /** Servers that this call has tried already. */
    readonly tried: ReadonlySet<string>;
    readonly dataCentre: string;
    readonly isPlain: boolean;
}

/** Ids of servers that most likely hold a part. */
export type Holders = ReadonlySet<string>;

/** Speeds that were learned from answers. */
export interface Pace {
    readonly msPerPromptToken: number;
    /** Mean time of a call in milliseconds. */
    readonly callMs: number;
}

export type Unavailable = "no-server" | "all-moving" | "all-suspected" | "all-full" | "all-outdated";

export type Choice =
    | {
        readonly kind: "server";
        readonly candidate: Candidate;
        readonly isHome: boolean;
        /** Server that most likely holds the shared parts. */
        readonly home: fleet.BackendServer | undefined;
        readonly costMs: number;
    }
    | { readonly kind: "none"; readonly reason: Unavailable; };
