/** Parameters of server selection. A neutral value switches its part off. */

export interface Parameters {
    /** Pairs of chain hash and server in the index of an entry. */
    readonly indexCapacity: number;
    /** Retention of a piece by an engine in milliseconds, before replies correct it. */
    readonly initialRetentionMs: number;
    /** Relative change of the retention on a reply that contradicts it; 0 keeps the initial value. */
    readonly retentionGain: number;
    /** Steepness of the drop of the expected hit around the retention. */
    readonly retentionSteepness: number;
    /** Weight of recomputation against waiting; 1 counts only the delay of the request itself. */
    readonly recomputationWeight: number;
    /** Cost difference that counts as a tie, as a share of the time to compute the whole prompt; 0 has no ties. */
    readonly tieShare: number;
    /** Share of its prefill rate at which a reported queue shrinks while no newer report arrives. */
    readonly drainShare: number;
    /** Weight of the network round trip; 0 ignores data centres. */
    readonly networkWeight: number;
    /** Prefill time in milliseconds per token before replies correct it. */
    readonly initialPrefillMsPerToken: number;
    /** Prefixes count as cached from the moment a request is sent instead of from its reply. */
    readonly expectOwnRequests: boolean;
}

export const defaults: Parameters = {
    indexCapacity: 100_000,
    initialRetentionMs: 10_000,
    retentionGain: 0.1,
    retentionSteepness: 4,
    recomputationWeight: 2,
    tieShare: 0.1,
    drainShare: 0.3,
    networkWeight: 1,
    initialPrefillMsPerToken: 0.05,
    expectOwnRequests: true,
};
