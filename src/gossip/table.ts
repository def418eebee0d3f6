/** Documents known to one process. The version of a stored document never decreases. */
import * as digests from "./digest.js";
import * as kinds from "./kinds.js";
import type * as types from "./types.js";

/**
 * `stored`: new or newer; `known`: the version is not higher than the known one; `refused`: unknown kind, invalid
 * version or limit reached.
 */
export type OfferResult = "stored" | "known" | "refused";

/** Version of a removed document; this and lower versions are not stored again. */
interface Tombstone {
    readonly version: number;
    /** Monotonic time in milliseconds. */
    readonly expiresAt: number;
}

interface Subscription {
    readonly prefix: string;
    readonly listener: types.DocumentListener;
}

/** Peers that have not removed a document yet still offer it, so a tombstone must outlast their removal. */
const TOMBSTONE_RETENTION_MS = 30 * 60 * 1000;
const MAXIMUM_TOMBSTONES = 8192;

export class DocumentTable implements types.Documents {
    private readonly documents = new Map<string, types.Document>();
    private readonly counts = new Map<kinds.DocumentKind, number>();
    /** Tombstones by document name, in order of removal. */
    private readonly tombstones = new Map<string, Tombstone>();
    private readonly subscriptions = new Set<Subscription>();
    private cachedDigest: digests.Digest | undefined;

    get(name: string): types.Document | undefined {
        return this.documents.get(name);
    }

    list(prefix: string): readonly types.Document[] {
        return [...this.documents.values()].filter(document => document.name.startsWith(prefix));
    }

    get size(): number {
        return this.documents.size;
    }

    publish(document: types.Document): boolean {
        return this.offer(document) === "stored";
    }

    /** Stores a document if its version is higher than the known one, and notifies the subscribers. */
    offer(document: types.Document): OfferResult {
        const kind = kinds.kindOf(document.name);
        if (kind === undefined || !Number.isSafeInteger(document.version) || document.version < 1) {
            return "refused";
        }
        if (document.version <= this.highestKnownVersion(document.name)) {
            return "known";
        }
        if (!this.documents.has(document.name) && !this.makeRoom(kind)) {
            return "refused";
        }
        this.store(kind, document);
        return "stored";
    }

    subscribe(prefix: string, listener: types.DocumentListener): Disposable {
        const subscription = { prefix, listener };
        this.subscriptions.add(subscription);
        return { [Symbol.dispose]: () => void this.subscriptions.delete(subscription) };
    }

    digest(): digests.Digest {
        this.cachedDigest ??= digests.digest(this.documents.values());
        return this.cachedDigest;
    }

    /** Documents of the given buckets. */
    inBuckets(buckets: readonly number[]): readonly types.Document[] {
        const selected = new Set(buckets);
        return [...this.documents.values()].filter(document => selected.has(digests.bucketOf(document.name)));
    }

    /** Removes a document that no process publishes any more. `now` is monotonic time in milliseconds. */
    remove(name: string, now: number): void {
        this.discard(name, now + TOMBSTONE_RETENTION_MS);
    }

    /** Removes the expired tombstones. `now` is monotonic time in milliseconds. */
    sweep(now: number): void {
        for (const [name, tombstone] of this.tombstones) {
            if (tombstone.expiresAt <= now) {
                this.tombstones.delete(name);
            }
        }
    }

    private highestKnownVersion(name: string): number {
        return Math.max(this.documents.get(name)?.version ?? 0, this.tombstones.get(name)?.version ?? 0);
    }

    private makeRoom(kind: kinds.DocumentKind): boolean {
        if ((this.counts.get(kind) ?? 0) < kind.maximumCount) {
            return true;
        }
        if (kind.whenFull === "refuse") {
            return false;
        }
        const oldest = [...this.documents.keys()].find(name => kinds.kindOf(name) === kind);
        if (oldest !== undefined) {
            this.discard(oldest, Number.POSITIVE_INFINITY);
        }
        return true;
    }

    private store(kind: kinds.DocumentKind, document: types.Document): void {
        if (!this.documents.has(document.name)) {
            this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1);
        }
        // Deleting first moves the document to the end of the map, whose order selects the oldest one for eviction.
        this.documents.delete(document.name);
        this.documents.set(document.name, document);
        this.tombstones.delete(document.name);
        this.cachedDigest = undefined;
        for (const subscription of [...this.subscriptions]) {
            if (document.name.startsWith(subscription.prefix)) {
                subscription.listener(document);
            }
        }
    }

    private discard(name: string, tombstoneExpiresAt: number): void {
        const document = this.documents.get(name);
        const kind = kinds.kindOf(name);
        if (document === undefined || kind === undefined) {
            return;
        }
        this.documents.delete(name);
        this.counts.set(kind, (this.counts.get(kind) ?? 1) - 1);
        this.cachedDigest = undefined;
        this.addTombstone(name, { version: document.version, expiresAt: tombstoneExpiresAt });
    }

    private addTombstone(name: string, tombstone: Tombstone): void {
        this.tombstones.set(name, tombstone);
        const oldest = this.tombstones.keys().next();
        if (this.tombstones.size > MAXIMUM_TOMBSTONES && !oldest.done) {
            this.tombstones.delete(oldest.value);
        }
    }
}
