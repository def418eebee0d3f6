/** Digest of a set of documents, with which two processes find the documents that differ. */
import * as hashing from "../core/hashing.js";

export const BUCKET_COUNT = 64;

export interface DocumentVersion {
    readonly name: string;
    readonly version: number;
}

export interface Digest {
    readonly totalHash: number;
    /** One hash per bucket; the hash of the name of a document selects its bucket. */
    readonly bucketHashes: readonly number[];
}

export interface Differences {
    /** Names of documents that the other process lacks or has in a lower version. */
    readonly newer: readonly string[];
    /** Names of documents that this process lacks or has in a lower version. */
    readonly wanted: readonly string[];
}

export function bucketOf(name: string): number {
    return hashing.hash32(name) % BUCKET_COUNT;
}

/** Digest of names and versions, independent of the order of the documents. */
export function digest(documents: Iterable<DocumentVersion>): Digest {
    const bucketHashes = new Array<number>(BUCKET_COUNT).fill(0);
    for (const document of documents) {
        const bucket = bucketOf(document.name);
        bucketHashes[bucket] = (bucketHashes[bucket] ^ hashing.hash32(`${document.name}\u0000${document.version}`)) >>>
            0;
    }
    return { totalHash: hashing.hash32(bucketHashes.join(",")), bucketHashes };
}

/** Buckets whose hashes differ; all buckets if the lists differ in length. */
export function differingBuckets(left: readonly number[], right: readonly number[]): readonly number[] {
    const all = Array.from({ length: BUCKET_COUNT }, (_, bucket) => bucket);
    return left.length === right.length ? all.filter(bucket => left[bucket] !== right[bucket]) : all;
}

/** Compares the documents of the same buckets of two processes. */
export function differences(own: readonly DocumentVersion[], other: readonly DocumentVersion[]): Differences {
    const ownVersions = new Map(own.map(document => [document.name, document.version]));
    const otherVersions = new Map(other.map(document => [document.name, document.version]));
    return {
        newer: own.filter(document => document.version > (otherVersions.get(document.name) ?? 0)).map(nameOf),
        wanted: other.filter(document => document.version > (ownVersions.get(document.name) ?? 0)).map(nameOf),
    };
}

function nameOf(document: DocumentVersion): string {
    return document.name;
}
