/** Index of an entry over the prefix caches of the engines: which server processed which prefix, and when. */
import * as boots from "./boot-tracker.js";
import * as parameters from "./parameters.js";
import type * as types from "./types.js";

const MINIMUM_RETENTION_MS = 500;
const MAXIMUM_RETENTION_MS = 120_000;
/** Multiple of the retention gain for an unexpected miss, which costs a recomputation, while a hit costs nothing. */
const MISS_ADJUSTMENT_FACTOR = 4;

/** Last use of a prefix at one server. */
interface PrefixUse {
    readonly boot: string;
    /** Last time that this entry sent a request with the prefix or received its reply. */
    readonly lastUsedAt: number;
    /** Time of the last reply; undefined while requests were only sent. */
    readonly confirmedAt: number | undefined;
}

/** State of one prefix hash. */
interface IndexedPrefix {
    readonly usesByServer: Map<string, PrefixUse>;
    /** Last use at any server. */
    lastUsedAt: number;
}

/** Expected cached pieces of one server for a prefix chain. */
export interface Match {
    readonly boot: string;
    /** Expected number of cached leading pieces: the sum of the probabilities of each of them. */
    readonly pieces: number;
}

/** Bounded index from prefix hash to servers that evicts the least recently used hashes. */
export class PrefixIndex {
    private readonly bootTrackers = new Map<string, boots.BootTracker>();
    private readonly prefixes = new Map<string, IndexedPrefix>();
    private pairCount = 0;
    private estimatedRetentionMs: number;

    constructor(private readonly settings: parameters.Parameters = parameters.defaults) {
        this.estimatedRetentionMs = settings.initialRetentionMs;
    }

    /** Number of pairs of prefix hash and server. */
    get size(): number {
        return this.pairCount;
    }

    /** Current boot of a server's engine; undefined when it is unknown. */
    bootOf(address: string): string | undefined {
        return this.bootTrackers.get(address)?.boot;
    }

    /**
     * Estimated time in milliseconds that an engine keeps an unused piece. All engines share one estimate, since an
     * entry in a large fleet receives too few replies from each engine.
     */
    get retentionMs(): number {
        return this.estimatedRetentionMs;
    }

    /** Records a request that was just sent; its prefix will be cached when later requests reach the engine. */
    recordSent(chain: readonly string[], address: string, now: number): void {
        const boot = this.bootOf(address);
        if (boot !== undefined && this.settings.assumeCachedOnSend) {
            this.update(chain, address, earlier => {
                const confirmedAt = earlier?.boot === boot ? earlier.confirmedAt : undefined;
                return { boot, lastUsedAt: now, confirmedAt };
            });
        }
    }

    /** Updates the index from a reply to a request sent at `sentAt`; all full pieces of its prompt are then cached. */
    recordReply(
        request: types.RoutableRequest,
        address: string,
        reply: types.CacheReport,
        sentAt: number,
        now: number,
    ): void {
        const verdict = this.trackerOf(address).observe(reply.engineBoot, sentAt, now);
        if (verdict === "conflict" || verdict === "ignored") {
            return;
        }
        this.correctRetention(request, address, reply, sentAt);
        this.update(request.chain, address, () => ({ boot: reply.engineBoot, lastUsedAt: now, confirmedAt: now }));
    }

    /** Discards what is known of a server's cache, for example after its connection broke. */
    invalidate(address: string, now: number): void {
        this.trackerOf(address).reset(now);
    }

    /** Drops the state of servers that are no longer members. */
    retain(addresses: ReadonlySet<string>): void {
        for (const address of this.bootTrackers.keys()) {
            if (!addresses.has(address)) {
                this.bootTrackers.delete(address);
            }
        }
    }

    /** Expected cached pieces of each server that has processed a prefix of the chain. */
    matches(chain: readonly string[], now: number): ReadonlyMap<string, Match> {
        const found = new Map<string, { boot: string; pieces: number; depth: number; probability: number; }>();
        for (const [depth, hash] of chain.entries()) {
            for (const [address, use] of this.prefixes.get(hash)?.usesByServer ?? []) {
                const match = found.get(address) ?? { boot: use.boot, pieces: 0, depth: 0, probability: 1 };
                if (this.bootOf(address) !== use.boot || match.depth !== depth) {
                    continue;
                }
                match.depth = depth + 1;
                match.probability = Math.min(match.probability, this.cachedProbability(now - use.lastUsedAt));
                match.pieces += match.probability;
                found.set(address, match);
            }
        }
        return found;
    }

    /**
     * Number of leading pieces that this entry has sent to any server since the first response of the current boot of
     * the server at `address`; 0 while that boot is unknown.
     */
    piecesSentSinceBoot(chain: readonly string[], address: string): number {
        const tracker = this.bootTrackers.get(address);
        if (tracker?.boot === undefined) {
            return 0;
        }
        const isUnsent = (hash: string) =>
            (this.prefixes.get(hash)?.lastUsedAt ?? -Infinity) <= tracker.firstResponseAt;
        const firstUnsent = chain.findIndex(isUnsent);
        return firstUnsent < 0 ? chain.length : firstUnsent;
    }

    private cachedProbability(ageMs: number): number {
        return 1 / (1 + (Math.max(0, ageMs) / this.estimatedRetentionMs) ** this.settings.retentionSteepness);
    }

    /** Adjusts the estimated retention when the last cached piece is older or the first evicted one younger than it. */
    private correctRetention(
        request: types.RoutableRequest,
        address: string,
        reply: types.CacheReport,
        sentAt: number,
    ): void {
        const cachedPieces = Math.floor(reply.cachedTokens / request.pieceTokens);
        const ageAt = (depth: number): number | undefined => {
            const use = this.prefixes.get(request.chain[depth])?.usesByServer.get(address);
            if (use?.confirmedAt === undefined || use.boot !== reply.engineBoot) {
                return undefined;
            }
            return use.confirmedAt < sentAt ? sentAt - use.confirmedAt : undefined;
        };
        const lastHitAgeMs = cachedPieces > 0 ? ageAt(cachedPieces - 1) : undefined;
        const firstMissAgeMs = ageAt(cachedPieces);
        if (lastHitAgeMs !== undefined && lastHitAgeMs > this.estimatedRetentionMs) {
            this.adjustRetention(1 + this.settings.retentionGain);
        }
        if (firstMissAgeMs !== undefined && firstMissAgeMs < this.estimatedRetentionMs) {
            this.adjustRetention(1 - MISS_ADJUSTMENT_FACTOR * this.settings.retentionGain);
        }
    }

    private adjustRetention(factor: number): void {
        this.estimatedRetentionMs = Math.min(
            MAXIMUM_RETENTION_MS,
            Math.max(MINIMUM_RETENTION_MS, this.estimatedRetentionMs * factor),
        );
    }

    private trackerOf(address: string): boots.BootTracker {
        const tracker = this.bootTrackers.get(address) ?? new boots.BootTracker();
        this.bootTrackers.set(address, tracker);
        return tracker;
    }

    private update(
        chain: readonly string[],
        address: string,
        nextUse: (earlier: PrefixUse | undefined) => PrefixUse,
    ): void {
        // Longest prefix first, so that the short prefixes, which more requests share, become the most recently used.
        for (const hash of chain.toReversed()) {
            const prefix = this.prefixes.get(hash) ?? { usesByServer: new Map<string, PrefixUse>(), lastUsedAt: 0 };
            const earlier = prefix.usesByServer.get(address);
            this.pairCount += earlier === undefined ? 1 : 0;
            const latest = nextUse(earlier);
            prefix.usesByServer.set(address, latest);
            prefix.lastUsedAt = latest.lastUsedAt;
            this.prefixes.delete(hash);
            this.prefixes.set(hash, prefix);
        }
        this.evict();
    }

    private evict(): void {
        for (const [hash, prefix] of this.prefixes) {
            if (this.pairCount <= this.settings.indexCapacity) {
                return;
            }
            this.prefixes.delete(hash);
            this.pairCount -= prefix.usesByServer.size;
        }
    }
}
