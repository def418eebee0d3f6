/** Requests suspected of crashing servers. */

export interface Suspect {
    readonly fingerprint: string;
    /** Crashes with the request in flight. */
    readonly crashes: number;
    /** Crashes with the request alone in flight; 1 or more refuses it. */
    readonly crashesAlone: number;
}

/** Suspects by fingerprint. */
export type Suspects = ReadonlyMap<string, Suspect>;
