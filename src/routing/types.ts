/** Types shared by the routing functions of entry and agent. */

/** Request data that routing depends on. */
export interface RoutableRequest {
    /** Prefix hash at the end of each full piece, in prompt order. */
    readonly chain: readonly string[];
    readonly promptTokens: number;
    /** Size of a piece in tokens. */
    readonly pieceTokens: number;
}

/** A backend server that may run the request. */
export interface Candidate {
    /** RPC address of the agent of the server. */
    readonly address: string;
    /** Engine boot identifier from the member document; empty when it is unknown. */
    readonly engineBoot: string;
    /** Relative capacity. */
    readonly weight: number;
    /** Round trip to the agent in milliseconds. */
    readonly networkMs: number;
}

/** Load that a server reports in its replies. */
export interface LoadReport {
    /** Prompt tokens that wait or are being processed. */
    readonly queuedTokens: number;
    /** Requests that run. */
    readonly running: number;
    /** Requests that wait. */
    readonly waiting: number;
}

/** Cache information in the first event of a reply. */
export interface CacheReport {
    readonly engineBoot: string;
    /** Prompt tokens that the engine found in its cache. */
    readonly cachedTokens: number;
}

/** A candidate with its estimates, as ranked by `rankServers`. */
export interface RankedServer {
    readonly address: string;
    readonly expectedCachedTokens: number;
    /** Expected time to the first token in milliseconds. */
    readonly expectedMs: number;
    /** Expected time plus the weighted delay that recomputation causes for other requests, in milliseconds. */
    readonly costMs: number;
}
