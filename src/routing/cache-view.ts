/** Copy of the prefix cache index of an agent's own engine, kept current by the engine's cache events. */
import * as boots from "./boot-tracker.js";

export type CacheEventKind = "stored" | "evicted" | "cleared";

export interface CacheEvent {
    readonly sequence: number;
    readonly kind: CacheEventKind;
    /** Prefix hash of the piece; empty for `cleared`. */
    readonly hash: string;
}

/** Response of the engine to a poll for cache events. */
export interface CacheEvents {
    readonly boot: string;
    /** Sequence number of the first event after this response. */
    readonly next: number;
    readonly events: readonly CacheEvent[];
}

/** Full content of an engine's cache. */
export interface CacheSnapshot {
    readonly boot: string;
    /** Sequence number of the first event that the snapshot does not contain. */
    readonly next: number;
    readonly hashes: readonly string[];
}

const DEFAULT_CAPACITY_PIECES = 100_000;

/**
 * Applies the cache events of one engine. A gap in the events or another boot invalidates the view. It is then empty
 * until it is rebuilt from a snapshot that is at least as recent as every response seen of that boot.
 */
export class CacheView {
    private readonly bootTracker = new boots.BootTracker();
    private readonly hashes = new Set<string>();
    private nextSequence = 0;
    /** Lowest `next` of an acceptable snapshot; older ones lack events that were already seen. */
    private requiredSequence = 0;
    private complete = false;

    constructor(private readonly capacity: number = DEFAULT_CAPACITY_PIECES) {}

    /** Whether the view is complete up to `position`; if not, it has to be rebuilt from a snapshot. */
    get valid(): boolean {
        return this.complete;
    }

    /** Number of cached pieces. */
    get size(): number {
        return this.hashes.size;
    }

    /** Sequence number of the first event that the view does not contain yet. */
    get position(): number {
        return this.nextSequence;
    }

    get boot(): string | undefined {
        return this.bootTracker.boot;
    }

    /** Applies the response to a poll that was sent at `requestedAt`; times are in milliseconds. */
    apply(response: CacheEvents, requestedAt: number, now: number): void {
        if (!this.acceptsBoot(response.boot, requestedAt, now)) {
            return;
        }
        const orderedEvents = response.events.toSorted((left, right) => left.sequence - right.sequence);
        for (const event of orderedEvents) {
            this.applyEvent(event);
        }
        if (response.next > this.nextSequence) {
            this.invalidate();
        }
        this.requiredSequence = Math.max(this.requiredSequence, response.next);
    }

    /** Replaces the content by a snapshot requested at `requestedAt`; one that lacks seen events is ignored. */
    rebuild(snapshot: CacheSnapshot, requestedAt: number, now: number): void {
        if (!this.acceptsBoot(snapshot.boot, requestedAt, now) || snapshot.next < this.requiredSequence) {
            return;
        }
        this.hashes.clear();
        snapshot.hashes.forEach(hash => this.add(hash));
        this.nextSequence = snapshot.next;
        this.requiredSequence = snapshot.next;
        this.complete = true;
    }

    /** Number of leading pieces of the prefix chain that are cached; 0 while the view is invalid. */
    matchedPieces(chain: readonly string[]): number {
        const firstMissing = chain.findIndex(hash => !this.hashes.has(hash));
        return firstMissing < 0 ? chain.length : firstMissing;
    }

    /** Empties the view until the next snapshot, for example when the engine does not respond. */
    invalidate(): void {
        this.hashes.clear();
        this.complete = false;
    }

    private acceptsBoot(boot: string, requestedAt: number, now: number): boolean {
        const verdict = this.bootTracker.observe(boot, requestedAt, now);
        if (verdict === "changed" || verdict === "conflict") {
            this.invalidate();
            this.nextSequence = 0;
            this.requiredSequence = 0;
        }
        return verdict === "known" || verdict === "changed";
    }

    private applyEvent(event: CacheEvent): void {
        this.requiredSequence = Math.max(this.requiredSequence, event.sequence + 1);
        if (!this.complete || event.sequence < this.nextSequence) {
            return;
        }
        if (event.sequence > this.nextSequence) {
            this.invalidate();
            return;
        }
        this.nextSequence++;
        EVENT_HANDLERS[event.kind](event, this.hashes);
        this.evictToCapacity();
    }

    private add(hash: string): void {
        this.hashes.add(hash);
        this.evictToCapacity();
    }

    private evictToCapacity(): void {
        for (const oldest of this.hashes) {
            if (this.hashes.size <= this.capacity) {
                return;
            }
            this.hashes.delete(oldest);
        }
    }
}

const EVENT_HANDLERS: Readonly<Record<CacheEventKind, (event: CacheEvent, hashes: Set<string>) => void>> = {
    stored: (event, hashes) => void hashes.add(event.hash),
    evicted: (event, hashes) => void hashes.delete(event.hash),
    cleared: (_, hashes) => hashes.clear(),
};
