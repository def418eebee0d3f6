/** Digest of a set of documents, by which two processes find the documents that differ. */
import * as hashing from "../core/hashing.js";

export const BUCKET_COUNT = 64;

export interface Versioned {
    readonly name: string;
    readonly version: number;
}

export interface Digest {
    readonly totalHash: number;
    /** One hash per bucket; a document belongs to the bucket that the hash of its name selects. */
    readonly bucketHashes: readonly number[];
}

export interface Differences {
    /** Names that the other side lacks or holds in a lower version. */
    readonly newer: readonly string[];
    /** Names that this side lacks or holds in a lower version. */
    readonly wanted: readonly string[];
}

export function bucketOf(name: string): number {
    return hashing.hash32(name) % BUCKET_COUNT;
}

/** Digest of names and versions; the order of the documents has no influence. */
export function digest(documents: Iterable<Versioned>): Digest {
    const bucketHashes = new Array<number>(BUCKET_COUNT).fill(0);
    for (const document of documents) {
        const bucket = bucketOf(document.name);
        bucketHashes[bucket] = (bucketHashes[bucket] ^ hashing.hash32(`${document.name}\u0000${document.version}`)) >>>
            0;
    }
    return { totalHash: hashing.hash32(bucketHashes.join(",")), bucketHashes };
}

/** Buckets whose hashes differ. A list of another length differs everywhere. */
export function differingBuckets(left: readonly number[], right: readonly number[]): readonly number[] {
    const all = Array.from({ length: BUCKET_COUNT }, (_, bucket) => bucket);
    return left.length === right.length ? all.filter(bucket => left[bucket] !== right[bucket]) : all;
}

/** Compares the documents of some buckets on both sides. */
export function differences(own: readonly Versioned[], other: readonly Versioned[]): Differences {
    const ownVersions = new Map(own.map(document => [document.name, document.version]));
    const otherVersions = new Map(other.map(document => [document.name, document.version]));
    return {
        newer: own.filter(document => document.version > (otherVersions.get(document.name) ?? 0)).map(nameOf),
        wanted: other.filter(document => document.version > (ownVersions.get(document.name) ?? 0)).map(nameOf),
    };
}

function nameOf(document: Versioned): string {
    return document.name;
}
