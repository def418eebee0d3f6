/** Members of the system, as known to one process. */
import type * as incarnations from "../core/incarnation.js";

export type Role = "entry" | "agent";

export type MemberState = "live" | "draining";

/** State that a process publishes about itself; the value of the document `member/<address>`. */
export interface Member {
    readonly incarnation: incarnations.Incarnation;
    readonly role: Role;
    readonly dataCentre: string;
    /** Name in the manifest; empty for entries. */
    readonly backendServer: string;
    readonly state: MemberState;
    /** `model@version` of each loaded set of weights. */
    readonly weights: readonly string[];
    /** Version of the configuration in force in the process. */
    readonly manifestVersion: number;
    /** Boot identifier of the backend server; empty when it is unknown or down. */
    readonly backendBoot: string;
}

/** Members by RPC address. */
export type Members = ReadonlyMap<string, Member>;

/** Liveness of one incarnation. `dead` means proved dead; `unknown` means that there is no proof either way. */
export type Liveness = "alive" | "dead" | "unknown";

/** Probes whether an incarnation is alive. A paused process is never reported as dead. */
export interface LivenessProbe {
    probe(incarnation: incarnations.Incarnation): Promise<Liveness>;
}
