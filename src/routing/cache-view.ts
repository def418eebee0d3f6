/** What an agent knows of the cache of its own engine. */
import * as boots from "./boot-tracker.js";

export type CacheEventKind = "stored" | "evicted" | "cleared";

export interface CacheEvent {
    readonly sequence: number;
    readonly kind: CacheEventKind;
    /** Empty for `cleared`. */
    readonly hash: string;
}

/** Response of the engine to a poll for cache events. */
export interface CacheEvents {
    readonly boot: string;
    /** Sequence number of the first event after this response. */
    readonly next: number;
    readonly events: readonly CacheEvent[];
}

/** Content of the cache of an engine. */
export interface CacheSnapshot {
    readonly boot: string;
    /** Sequence number of the first event that the snapshot does not contain. */
    readonly next: number;
    readonly hashes: readonly string[];
}

const DEFAULT_CAPACITY = 100_000;

/**
 * Follows the cache events of one engine. A gap or another boot voids the view until a snapshot that is at least as
 * recent as everything seen of that boot rebuilds it.
 */
export class CacheView {
    private readonly tracker = new boots.BootTracker();
    private readonly hashes = new Set<string>();
    private next = 0;
    /** Lowest sequence number that a snapshot must reach. */
    private required = 0;
    private complete = false;

    constructor(private readonly capacity: number = DEFAULT_CAPACITY) {}

    /** False until a snapshot is needed no longer. */
    get valid(): boolean {
        return this.complete;
    }

    get size(): number {
        return this.hashes.size;
    }

    /** Sequence number of the next event to ask for. */
    get position(): number {
        return this.next;
    }

    get boot(): string | undefined {
        return this.tracker.boot;
    }

    /** Takes the response to a poll that was sent at `requestedAt`. */
    apply(response: CacheEvents, requestedAt: number, now: number): void {
        if (!this.accepts(response.boot, requestedAt, now)) {
            return;
        }
        const ordered = response.events.toSorted((left, right) => left.sequence - right.sequence);
        for (const event of ordered) {
            this.applyEvent(event);
        }
        if (response.next > this.next) {
            this.invalidate();
        }
        this.required = Math.max(this.required, response.next);
    }

    /** Replaces the view by a snapshot that was requested at `requestedAt`; an older one than required is ignored. */
    rebuild(snapshot: CacheSnapshot, requestedAt: number, now: number): void {
        if (!this.accepts(snapshot.boot, requestedAt, now) || snapshot.next < this.required) {
            return;
        }
        this.hashes.clear();
        snapshot.hashes.forEach(hash => this.store(hash));
        this.next = snapshot.next;
        this.required = snapshot.next;
        this.complete = true;
    }

    /** Number of leading pieces of the chain in the cache; 0 while the view is void. */
    matchedPieces(chain: readonly string[]): number {
        const firstMissing = chain.findIndex(hash => !this.hashes.has(hash));
        return firstMissing < 0 ? chain.length : firstMissing;
    }

    /** Voids the view, for example after the engine stopped answering. */
    invalidate(): void {
        this.hashes.clear();
        this.complete = false;
    }

    private accepts(boot: string, requestedAt: number, now: number): boolean {
        const verdict = this.tracker.observe(boot, requestedAt, now);
        if (verdict === "changed" || verdict === "conflict") {
            this.invalidate();
            this.next = 0;
            this.required = 0;
        }
        return verdict === "known" || verdict === "changed";
    }

    private applyEvent(event: CacheEvent): void {
        this.required = Math.max(this.required, event.sequence + 1);
        if (!this.complete || event.sequence < this.next) {
            return;
        }
        if (event.sequence > this.next) {
            this.invalidate();
            return;
        }
        this.next++;
        HANDLERS[event.kind](event, this.hashes);
        this.limit();
    }

    private store(hash: string): void {
        this.hashes.add(hash);
        this.limit();
    }

    private limit(): void {
        for (const oldest of this.hashes) {
            if (this.hashes.size <= this.capacity) {
                return;
            }
            this.hashes.delete(oldest);
        }
    }
}

const HANDLERS: Readonly<Record<CacheEventKind, (event: CacheEvent, hashes: Set<string>) => void>> = {
    stored: (event, hashes) => void hashes.add(event.hash),
    evicted: (event, hashes) => void hashes.delete(event.hash),
    cleared: (_, hashes) => hashes.clear(),
};
