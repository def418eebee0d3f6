/** What a process asks of another one to exchange documents; implemented over RPC and by simulated networks. */
import type * as incarnations from "../core/incarnation.js";
import type * as outcomes from "../core/outcome.js";
import type * as digests from "./digest.js";
import type * as types from "./types.js";

/** One step of a round of anti-entropy. The first step has no buckets. */
export interface Comparison {
    readonly totalHash: number;
    readonly buckets: readonly number[];
    /** Names and versions of the documents in `buckets`. */
    readonly versions: readonly digests.Versioned[];
    /** Age in milliseconds of the last proof that the object API is reachable; Infinity when there is none. */
    readonly storeAgeMs: number;
}

export interface ComparisonReply {
    readonly equal: boolean;
    readonly bucketHashes: readonly number[];
    /** Documents that the asking side lacks or holds in a lower version. */
    readonly newer: readonly types.Document[];
    /** Names of documents that the answering side lacks or holds in a lower version. */
    readonly wanted: readonly string[];
    readonly storeAgeMs: number;
}

/** Calls to other processes. Each fails with `peer-unreachable` or `peer-connection-lost`. */
export interface Peers {
    /** Delivers documents and returns newer versions of them. */
    push(address: string, documents: readonly types.Document[]): Promise<outcomes.Outcome<readonly types.Document[]>>;
    compare(address: string, comparison: Comparison): Promise<outcomes.Outcome<ComparisonReply>>;
    /** Returns the named documents, or all of them when no name is given. */
    fetch(address: string, names: readonly string[]): Promise<outcomes.Outcome<readonly types.Document[]>>;
    identify(address: string): Promise<outcomes.Outcome<incarnations.Incarnation>>;
}
