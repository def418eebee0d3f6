/**
 * Requests suspected of crashing servers. A suspect is run alone on one server, which is called its trial: if the
 * server crashes again, the request is refused, otherwise it is cleared.
 */
import type * as records from "./record.js";

export interface Suspect {
    readonly fingerprint: string;
    /** Number of crashes with the request in flight. */
    readonly crashes: number;
    /** Number of crashes while the request ran alone; the request is refused if it is at least 1. */
    readonly crashesAlone: number;
    /** Addresses of the agents whose servers crashed; a trial runs on another one if possible. */
    readonly servers: readonly string[];
}

/** Suspects by fingerprint. */
export type Suspects = ReadonlyMap<string, Suspect>;

/** How a request is handled: `run` beside others, `run-alone` as a trial, or `refuse` with `request-quarantined`. */
export type Verdict = "run" | "run-alone" | "refuse";

/** What an entry tells its peers about suspects. */
export interface SuspectState {
    readonly records: readonly records.SuspectRecord[];
    /** Fingerprints of the trials in progress. */
    readonly trials: readonly string[];
}
