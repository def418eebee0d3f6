/** What an entry knows of the caches of the engines: which server computed which prefix, and when. */
import * as boots from "./boot-tracker.js";
import * as parameters from "./parameters.js";
import type * as types from "./types.js";

const MINIMUM_RETENTION_MS = 500;
const MAXIMUM_RETENTION_MS = 120_000;
/** A missed prefix is recomputed, while an unexpected hit costs nothing. */
const MISS_WEIGHT = 4;

interface Sighting {
    readonly boot: string;
    /** Last time that an own request was sent or answered. */
    readonly seenAt: number;
    /** Last reply; undefined while there is only an expectation. */
    readonly confirmedAt: number | undefined;
}

/** One hash of the index. */
interface Level {
    readonly holders: Map<string, Sighting>;
    /** Last time that this entry sent a request with this level to any server. */
    seenAt: number;
}

/** Expected cached pieces of one server for a chain. */
export interface Match {
    readonly boot: string;
    /** Sum of the probabilities that each piece and all pieces before it are cached. */
    readonly pieces: number;
}

/** Bounded index from chain hash to servers; the least recently used hashes leave first. */
export class PrefixIndex {
    private readonly servers = new Map<string, boots.BootTracker>();
    private readonly levels = new Map<string, Level>();
    private pairs = 0;
    private retention: number;

    constructor(private readonly settings: parameters.Parameters = parameters.defaults) {
        this.retention = settings.initialRetentionMs;
    }

    /** Number of pairs of chain hash and server. */
    get size(): number {
        return this.pairs;
    }

    /** Boot whose pieces the index knows; undefined when it knows none. */
    bootOf(address: string): string | undefined {
        return this.servers.get(address)?.boot;
    }

    /**
     * Age in milliseconds up to which an engine is expected to keep an unused piece. It is one value for all engines,
     * since an entry of a large fleet sees too few replies of each engine.
     */
    get retentionMs(): number {
        return this.retention;
    }

    /** Notes a request that was just sent: its prefix will be cached when later requests reach the engine. */
    expect(chain: readonly string[], address: string, now: number): void {
        const boot = this.bootOf(address);
        if (boot !== undefined && this.settings.expectOwnRequests) {
            this.record(chain, address, earlier => {
                const confirmedAt = earlier?.boot === boot ? earlier.confirmedAt : undefined;
                return { boot, seenAt: now, confirmedAt };
            });
        }
    }

    /** Learns from a reply to a request sent at `sentAt`; all full pieces of its prompt are cached by then. */
    learn(
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
        this.record(request.chain, address, () => ({ boot: reply.engineBoot, seenAt: now, confirmedAt: now }));
    }

    /** Discards all knowledge of a server, for example after its connection broke. */
    forget(address: string, now: number): void {
        this.trackerOf(address).reset(now);
    }

    /** Drops the state of servers that are no longer members. */
    retain(addresses: ReadonlySet<string>): void {
        for (const address of this.servers.keys()) {
            if (!addresses.has(address)) {
                this.servers.delete(address);
            }
        }
    }

    /** Expected cached pieces of each server that holds a prefix of the chain. */
    matches(chain: readonly string[], now: number): ReadonlyMap<string, Match> {
        const found = new Map<string, { boot: string; pieces: number; depth: number; probability: number; }>();
        for (const [depth, hash] of chain.entries()) {
            for (const [address, sighting] of this.levels.get(hash)?.holders ?? []) {
                const match = found.get(address) ?? { boot: sighting.boot, pieces: 0, depth: 0, probability: 1 };
                if (this.bootOf(address) !== sighting.boot || match.depth !== depth) {
                    continue;
                }
                match.depth = depth + 1;
                match.probability = Math.min(match.probability, this.survival(now - sighting.seenAt));
                match.pieces += match.probability;
                found.set(address, match);
            }
        }
        return found;
    }

    /**
     * Number of leading levels that this entry has sent anywhere since it knows the boot of a server; 0 without a known
     * boot.
     */
    familiarPieces(chain: readonly string[], address: string): number {
        const tracker = this.servers.get(address);
        if (tracker?.boot === undefined) {
            return 0;
        }
        const isUnfamiliar = (hash: string) => (this.levels.get(hash)?.seenAt ?? -Infinity) <= tracker.knownSince;
        const first = chain.findIndex(isUnfamiliar);
        return first < 0 ? chain.length : first;
    }

    private survival(ageMs: number): number {
        return 1 / (1 + (Math.max(0, ageMs) / this.retention) ** this.settings.retentionSteepness);
    }

    /** Moves the retention towards the age that separates cached from evicted pieces. */
    private correctRetention(
        request: types.RoutableRequest,
        address: string,
        reply: types.CacheReport,
        sentAt: number,
    ): void {
        const cachedPieces = Math.floor(reply.cachedTokens / request.pieceTokens);
        const ageAt = (depth: number): number | undefined => {
            const sighting = this.levels.get(request.chain[depth])?.holders.get(address);
            if (sighting?.confirmedAt === undefined || sighting.boot !== reply.engineBoot) {
                return undefined;
            }
            return sighting.confirmedAt < sentAt ? sentAt - sighting.confirmedAt : undefined;
        };
        const oldestHit = cachedPieces > 0 ? ageAt(cachedPieces - 1) : undefined;
        const youngestMiss = ageAt(cachedPieces);
        if (oldestHit !== undefined && oldestHit > this.retention) {
            this.adjustRetention(1 + this.settings.retentionGain);
        }
        if (youngestMiss !== undefined && youngestMiss < this.retention) {
            this.adjustRetention(1 - MISS_WEIGHT * this.settings.retentionGain);
        }
    }

    private adjustRetention(factor: number): void {
        this.retention = Math.min(MAXIMUM_RETENTION_MS, Math.max(MINIMUM_RETENTION_MS, this.retention * factor));
    }

    private trackerOf(address: string): boots.BootTracker {
        const tracker = this.servers.get(address) ?? new boots.BootTracker();
        this.servers.set(address, tracker);
        return tracker;
    }

    private record(
        chain: readonly string[],
        address: string,
        sighting: (earlier: Sighting | undefined) => Sighting,
    ): void {
        // Deepest first, so that the shallow levels, which more requests share, are the most recently used.
        for (const hash of chain.toReversed()) {
            const level = this.levels.get(hash) ?? { holders: new Map<string, Sighting>(), seenAt: 0 };
            const earlier = level.holders.get(address);
            this.pairs += earlier === undefined ? 1 : 0;
            const latest = sighting(earlier);
            level.holders.set(address, latest);
            level.seenAt = latest.seenAt;
            this.levels.delete(hash);
            this.levels.set(hash, level);
        }
        this.evict();
    }

    private evict(): void {
        for (const [hash, level] of this.levels) {
            if (this.pairs <= this.settings.indexCapacity) {
                return;
            }
            this.levels.delete(hash);
            this.pairs -= level.holders.size;
        }
    }
}
