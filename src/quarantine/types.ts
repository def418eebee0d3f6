/** Requests suspected of crashing servers. */

export interface Suspect {
    readonly fingerprint: string;
    /** Crashes with the request in flight. */
    readonly crashes: number;
    /** Crashes with the request alone in flight; 1 or more refuses it. */
    readonly crashesAlone: number;
    /** Agents whose servers crashed; a trial runs on another one. */
    readonly servers: readonly string[];
}

/** Suspects by fingerprint. */
export type Suspects = ReadonlyMap<string, Suspect>;

/** What happens to a request: `run` with others, `run-alone` as a trial, or `refuse` with `request-quarantined`. */
export type Verdict = "run" | "run-alone" | "refuse";
