/** What an entry knows of the caches of the engines: which server computed which prefix, and when. */
import * as boots from "./boot-tracker.js";
import * as parameters from "./parameters.js";
import type * as types from "./types.js";

const MINIMUM_RETENTION_MS = 500;
const MAXIMUM_RETENTION_MS = 120_000;

interface Sighting {
    readonly boot: string;
    /** Last time that an own request was sent or answered. */
    readonly seenAt: number;
    /** Last reply; undefined while there is only an expectation. */
    readonly confirmedAt: number | undefined;
}

interface Server {
    readonly tracker: boots.BootTracker;
    /** Age in milliseconds up to which the engine is expected to keep an unused piece. */
    retentionMs: number;
}

/** Expected cached pieces of one server for a chain. */
export interface Match {
    readonly boot: string;
    /** Sum of the probabilities that each piece and all pieces before it are cached. */
    readonly pieces: number;
}

/** Bounded index from chain hash to servers; the least recently used hashes leave first. */
export class PrefixIndex {
    private readonly servers = new Map<string, Server>();
    private readonly sightings = new Map<string, Map<string, Sighting>>();
    private pairs = 0;

    constructor(private readonly settings: parameters.Parameters = parameters.defaults) {}

    /** Number of pairs of chain hash and server. */
    get size(): number {
        return this.pairs;
    }

    /** Boot whose pieces the index knows; undefined when it knows none. */
    bootOf(address: string): string | undefined {
        return this.servers.get(address)?.tracker.boot;
    }

    /** Expected retention of unused pieces by a server in milliseconds. */
    retentionMs(address: string): number {
        return this.servers.get(address)?.retentionMs ?? this.settings.initialRetentionMs;
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
        const server = this.serverOf(address);
        const verdict = server.tracker.observe(reply.engineBoot, sentAt, now);
        if (verdict === "conflict" || verdict === "ignored") {
            return;
        }
        this.correctRetention(server, request, address, reply, sentAt);
        this.record(request.chain, address, () => ({ boot: reply.engineBoot, seenAt: now, confirmedAt: now }));
    }

    /** Discards all knowledge of a server, for example after its connection broke. */
    forget(address: string, now: number): void {
        this.serverOf(address).tracker.reset(now);
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
            for (const [address, sighting] of this.sightings.get(hash) ?? []) {
                const server = this.servers.get(address);
                const match = found.get(address) ?? { boot: sighting.boot, pieces: 0, depth: 0, probability: 1 };
                if (server?.tracker.boot !== sighting.boot || match.depth !== depth) {
                    continue;
                }
                match.depth = depth + 1;
                match.probability = Math.min(match.probability, this.survival(server, now - sighting.seenAt));
                match.pieces += match.probability;
                found.set(address, match);
            }
        }
        return found;
    }

    /** Hash of the deepest level of the chain that this entry has seen before; undefined when all is new. */
    deepestKnown(chain: readonly string[]): string | undefined {
        return chain.findLast(hash => this.sightings.has(hash));
    }

    private survival(server: Server, ageMs: number): number {
        return 1 / (1 + (Math.max(0, ageMs) / server.retentionMs) ** this.settings.retentionSteepness);
    }

    /** Moves the retention towards the age that separates cached from evicted pieces. */
    private correctRetention(
        server: Server,
        request: types.RoutableRequest,
        address: string,
        reply: types.CacheReport,
        sentAt: number,
    ): void {
        const cachedPieces = Math.floor(reply.cachedTokens / request.pieceTokens);
        const ageAt = (depth: number): number | undefined => {
            const sighting = this.sightings.get(request.chain[depth])?.get(address);
            if (sighting?.confirmedAt === undefined || sighting.boot !== reply.engineBoot) {
                return undefined;
            }
            return sighting.confirmedAt < sentAt ? sentAt - sighting.confirmedAt : undefined;
        };
        const oldestHit = cachedPieces > 0 ? ageAt(cachedPieces - 1) : undefined;
        const youngestMiss = ageAt(cachedPieces);
        if (oldestHit !== undefined && oldestHit > server.retentionMs) {
            const longer = server.retentionMs * (1 + this.settings.retentionGain);
            server.retentionMs = Math.min(MAXIMUM_RETENTION_MS, longer);
        }
        if (youngestMiss !== undefined && youngestMiss < server.retentionMs) {
            const shorter = server.retentionMs * (1 - this.settings.retentionGain);
            server.retentionMs = Math.max(MINIMUM_RETENTION_MS, shorter);
        }
    }

    private serverOf(address: string): Server {
        const server = this.servers.get(address)
            ?? { tracker: new boots.BootTracker(), retentionMs: this.settings.initialRetentionMs };
        this.servers.set(address, server);
        return server;
    }

    private record(
        chain: readonly string[],
        address: string,
        sighting: (earlier: Sighting | undefined) => Sighting,
    ): void {
        // Deepest first, so that the shallow levels, which more requests share, are the most recently used.
        for (const hash of chain.toReversed()) {
            const holders = this.sightings.get(hash) ?? new Map<string, Sighting>();
            const earlier = holders.get(address);
            this.pairs += earlier === undefined ? 1 : 0;
            holders.set(address, sighting(earlier));
            this.sightings.delete(hash);
            this.sightings.set(hash, holders);
        }
        this.evict();
    }

    private evict(): void {
        for (const [hash, holders] of this.sightings) {
            if (this.pairs <= this.settings.indexCapacity) {
                return;
            }
            this.sightings.delete(hash);
            this.pairs -= holders.size;
        }
    }
}
