/** Tuning parameters of server selection. The comment of a parameter names the value that disables it, if there is one. */

export interface Parameters {
    /** Maximum number of pairs of prefix hash and server in the index of an entry. */
    readonly indexCapacity: number;
    /** Initial estimate of the time that an engine keeps an unused piece, in milliseconds; replies correct it. */
    readonly initialRetentionMs: number;
    /** Relative change of the estimated retention when a reply contradicts it; 0 keeps the initial value. */
    readonly retentionGain: number;
    /** Exponent of the hit probability over age; a higher one makes the drop around the retention steeper. */
    readonly retentionSteepness: number;
    /** Cost of a token to recompute relative to a queued token; 1 counts only the delay of the request itself. */
    readonly recomputationWeight: number;
    /** Growth of `recomputationWeight` per median queue of one prompt of the request's length; 0 keeps it constant. */
    readonly congestionWeight: number;
    /** Cost difference that counts as a tie, relative to the prefill time of the whole prompt; 0 disables ties. */
    readonly tieTolerance: number;
    /** Assumed speed at which a reported queue drains until the next report, relative to the prefill speed. */
    readonly queueDrainFactor: number;
    /**
     * Probability that the preferred server of a prefix has cached the pieces that this entry sent to any server; 0
     * disables this assumption. The preferred server is the one that rendezvous hashing ranks first for the first piece
     * of the prompt.
     */
    readonly preferredServerConfidence: number;
    /** Weight of the network round trip in the cost; 0 ignores the distance between data centres. */
    readonly networkWeight: number;
    /** Initial estimate of the prefill time per token in milliseconds; replies correct it. */
    readonly initialPrefillMsPerToken: number;
    /** Treats a prefix as cached as soon as a request with it is sent instead of when the reply arrives. */
    readonly assumeCachedOnSend: boolean;
}

export const defaults: Parameters = {
    indexCapacity: 100_000,
    initialRetentionMs: 5_000,
    retentionGain: 0.05,
    retentionSteepness: 4,
    recomputationWeight: 3,
    congestionWeight: 4,
    tieTolerance: 0.2,
    queueDrainFactor: 0.4,
    preferredServerConfidence: 0.95,
    networkWeight: 1,
    initialPrefillMsPerToken: 0.05,
    assumeCachedOnSend: true,
};
