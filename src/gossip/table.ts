/** The documents that one process knows. A version never goes back while its document is kept. */
import * as digests from "./digest.js";
import * as kinds from "./kinds.js";
import type * as types from "./types.js";

/** `stored`: new or newer; `known`: an equal or higher version is known; `refused`: unknown kind, bad version or full. */
export type Offer = "stored" | "known" | "refused";

interface Floor {
    readonly version: number;
    /** Monotonic time in milliseconds after which the floor is dropped. */
    readonly until: number;
}

interface Subscription {
    readonly prefix: string;
    readonly listener: types.DocumentListener;
}

/** Peers that have not yet removed a document offer it again; the floor outlasts their own removal. */
const FLOOR_RETENTION_MS = 30 * 60 * 1000;
const MAXIMUM_FLOORS = 8192;

export class DocumentTable implements types.Documents {
    private readonly documents = new Map<string, types.Document>();
    private readonly counts = new Map<kinds.DocumentKind, number>();
    /** Versions of removed documents; a version up to the floor is not stored again. */
    private readonly floors = new Map<string, Floor>();
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

    /** Stores a document when its version is higher than the known one, and notifies the subscribers. */
    offer(document: types.Document): Offer {
        const kind = kinds.kindOf(document.name);
        if (kind === undefined || !Number.isSafeInteger(document.version) || document.version < 1) {
            return "refused";
        }
        if (document.version <= this.lowestAcceptable(document.name)) {
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

    /** Removes a document that nobody publishes any more; its version and lower ones are not stored again. */
    remove(name: string, now: number): void {
        this.discard(name, now + FLOOR_RETENTION_MS);
    }

    /** Drops the floors that have expired. */
    sweep(now: number): void {
        for (const [name, floor] of this.floors) {
            if (floor.until <= now) {
                this.floors.delete(name);
            }
        }
    }

    private lowestAcceptable(name: string): number {
        return Math.max(this.documents.get(name)?.version ?? 0, this.floors.get(name)?.version ?? 0);
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
        // Deleting first keeps the map in the order of the last update, which the eviction relies on.
        this.documents.delete(document.name);
        this.documents.set(document.name, document);
        this.floors.delete(document.name);
        this.cachedDigest = undefined;
        for (const subscription of [...this.subscriptions]) {
            if (document.name.startsWith(subscription.prefix)) {
                subscription.listener(document);
            }
        }
    }

    private discard(name: string, floorUntil: number): void {
        const document = this.documents.get(name);
        const kind = kinds.kindOf(name);
        if (document === undefined || kind === undefined) {
            return;
        }
        this.documents.delete(name);
        this.counts.set(kind, (this.counts.get(kind) ?? 1) - 1);
        this.cachedDigest = undefined;
        this.addFloor(name, { version: document.version, until: floorUntil });
    }

    private addFloor(name: string, floor: Floor): void {
        this.floors.set(name, floor);
        const oldest = this.floors.keys().next();
        if (this.floors.size > MAXIMUM_FLOORS && !oldest.done) {
            this.floors.delete(oldest.value);
        }
    }
}
