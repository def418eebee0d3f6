/** Client interface for document exchange between processes; implemented over RPC and by simulated networks. */
import type * as incarnations from "../core/incarnation.js";
import type * as outcomes from "../core/outcome.js";
import type * as digests from "./digest.js";
import type * as types from "./types.js";

/** Request of one step of an anti-entropy round. The first step has no buckets. */
export interface Comparison {
    readonly totalHash: number;
    readonly buckets: readonly number[];
    /** Names and versions of the documents in `buckets`. */
    readonly versions: readonly digests.DocumentVersion[];
    /** Age in milliseconds of the last confirmation that the object API is reachable; Infinity if there is none. */
    readonly storeAgeMs: number;
}

export interface ComparisonReply {
    readonly equal: boolean;
    readonly bucketHashes: readonly number[];
    /** Documents that the caller lacks or has in a lower version. */
    readonly newer: readonly types.Document[];
    /** Names of documents that the callee lacks or has in a lower version. */
    readonly wanted: readonly string[];
    /** As in `Comparison`, for the callee. */
    readonly storeAgeMs: number;
}

/** Calls to other processes. Each fails with `peer-unreachable` or `peer-connection-lost`. */
export interface Peers {
    /** Sends documents and returns those of which the callee has a higher version. */
    push(address: string, documents: readonly types.Document[]): Promise<outcomes.Outcome<readonly types.Document[]>>;
    compare(address: string, comparison: Comparison): Promise<outcomes.Outcome<ComparisonReply>>;
    /** Returns the named documents, or all documents if `names` is empty. */
    fetch(address: string, names: readonly string[]): Promise<outcomes.Outcome<readonly types.Document[]>>;
    identify(address: string): Promise<outcomes.Outcome<incarnations.Incarnation>>;
}
