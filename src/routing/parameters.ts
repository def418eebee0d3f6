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
    /** Growth of that weight with the median queue, per prompt of the request; 0 keeps it constant. */
    readonly congestionWeight: number;
    /** Cost difference that counts as a tie, as a share of the time to compute the whole prompt; 0 has no ties. */
    readonly tieShare: number;
    /** Share of its prefill rate at which a reported queue shrinks while no newer report arrives. */
    readonly drainShare: number;
    /** Probability that a home has the levels that the entry has seen, without own evidence; 0 has no homes. */
    readonly homeConfidence: number;
    /** Weight of the network round trip; 0 ignores data centres. */
    readonly networkWeight: number;
    /** Prefill time in milliseconds per token before replies correct it. */
    readonly initialPrefillMsPerToken: number;
    /** Prefixes count as cached from the moment a request is sent instead of from its reply. */
    readonly expectOwnRequests: boolean;
}

export const defaults: Parameters = {
    indexCapacity: 100_000,
    initialRetentionMs: 5_000,
    retentionGain: 0.05,
    retentionSteepness: 4,
    recomputationWeight: 3,
    congestionWeight: 4,
    tieShare: 0.2,
    drainShare: 0.4,
    homeConfidence: 0.95,
    networkWeight: 1,
    initialPrefillMsPerToken: 0.05,
    expectOwnRequests: true,
};
