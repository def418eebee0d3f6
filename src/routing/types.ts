/** Data that the routing functions of entry and agent share. */

/** What routing needs to know of a request. */
export interface RoutableRequest {
    /** Hash of the prefix chain at each full piece, shallowest first. */
    readonly chain: readonly string[];
    readonly promptTokens: number;
    /** Size of a piece in tokens. */
    readonly pieceTokens: number;
}

/** A backend server that may run the request. */
export interface Candidate {
    /** RPC address of the agent beside the server. */
    readonly address: string;
    /** Boot identifier that the member document reports; empty when it is unknown. */
    readonly engineBoot: string;
    /** Relative capacity. */
    readonly weight: number;
    /** Round trip to the agent in milliseconds. */
    readonly networkMs: number;
}

/** Load that a server reports with a reply. */
export interface LoadReport {
    /** Prompt tokens waiting or being computed. */
    readonly queuedTokens: number;
    readonly running: number;
    readonly waiting: number;
}

/** What the first event of a reply says of the cache of the engine. */
export interface CacheReport {
    readonly engineBoot: string;
    readonly cachedTokens: number;
}

/** A candidate with its estimates, as `choose` ranks it. */
export interface RankedServer {
    readonly address: string;
    readonly expectedCachedTokens: number;
    /** Expected time to the first token in milliseconds. */
    readonly expectedMs: number;
    /** Expected time plus the delay that the recomputation causes for other requests, in milliseconds. */
    readonly costMs: number;
}
