/** Simulated prefix cache of limited size with least-recently-used eviction and an event log. */
import * as crypto from "node:crypto";
import * as completions from "./completion.js";
import type * as settings from "./settings.js";

const MAXIMUM_LOG_EVENTS = 20_000;
const HASH_HEX_DIGITS = 16;
const POLL_INTERVAL_MS = 5;

export interface CacheEvent {
    readonly sequence: number;
    readonly kind: "stored" | "evicted" | "cleared";
    readonly hash: string;
}

interface LoggedEvent extends CacheEvent {
    readonly loggedAt: number;
}

/**
 * Hashes of the full pieces of a prompt. Each hash covers the piece and the hash before it; the first one covers the
 * cache scope instead.
 */
export function chainHashes(scope: string, prompt: string, pieceTokens: number): readonly string[] {
    const bytes = Buffer.from(prompt);
    const pieceBytes = pieceTokens * completions.TOKEN_BYTES;
    const hashes: string[] = [];
    let previous = scope;
    for (let end = pieceBytes; end <= bytes.length; end += pieceBytes) {
        const piece = bytes.subarray(end - pieceBytes, end);
        previous = crypto.createHash("sha256").update(`${previous}\n`).update(piece).digest("hex")
            .slice(0, HASH_HEX_DIGITS);
        hashes.push(previous);
    }
    return hashes;
}

export class PrefixCache {
    /** `model@version` of the weights by hash of the cached piece, least recently used first. */
    private readonly weightsByHash = new Map<string, string>();
    private log: LoggedEvent[] = [];
    private sequence = 0;

    constructor(private readonly currentSettings: () => settings.Settings) {}

    /** Number of leading pieces that are cached. */
    cachedPrefixLength(hashes: readonly string[]): number {
        const missing = hashes.findIndex(hash => !this.weightsByHash.has(hash));
        return missing === -1 ? hashes.length : missing;
    }

    /** Stores the pieces of a prompt. The first piece becomes the most recently used, so the last is evicted first. */
    store(hashes: readonly string[], weights: string): void {
        for (const hash of [...hashes].reverse()) {
            if (!this.weightsByHash.delete(hash)) {
                this.append("stored", hash);
            }
            this.weightsByHash.set(hash, weights);
        }
        while (this.weightsByHash.size > this.currentSettings().cache_pieces) {
            const [oldest] = this.weightsByHash.keys();
            this.weightsByHash.delete(oldest);
            this.append("evicted", oldest);
        }
    }

    clear(): void {
        this.weightsByHash.clear();
        this.append("cleared", "");
    }

    /** Returns those of the given pieces that are cached for the weights. */
    exportable(hashes: readonly string[], weights: string): readonly string[] {
        return hashes.filter(hash => this.weightsByHash.get(hash) === weights);
    }

    /** Returns all cached pieces. `next` is the value of `after` that reads the events that follow the snapshot. */
    snapshot(): { readonly next: number; readonly hashes: readonly string[]; } {
        return { next: this.sequence, hashes: [...this.weightsByHash.keys()] };
    }

    /** Waits for events after a sequence number. `next` is the value of `after` for the next call. */
    async events(after: number, waitMs: number): Promise<{ next: number; events: readonly CacheEvent[]; }> {
        const end = Date.now() + waitMs;
        while (this.visibleEvents(after).length === 0 && Date.now() < end) {
            await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
        }
        const events = this.visibleEvents(after).map(({ sequence, kind, hash }) => ({ sequence, kind, hash }));
        return { next: events.at(-1)?.sequence ?? after, events };
    }

    private visibleEvents(after: number): readonly LoggedEvent[] {
        const latest = Date.now() - this.currentSettings().event_delay_ms;
        return this.log.filter(event => event.sequence > after && event.loggedAt <= latest);
    }

    private append(kind: CacheEvent["kind"], hash: string): void {
        this.sequence++;
        const dropEvery = this.currentSettings().event_drop_every;
        if (dropEvery > 0 && this.sequence % dropEvery === 0) {
            return;
        }
        this.log.push({ sequence: this.sequence, kind, hash, loggedAt: Date.now() });
        if (this.log.length > MAXIMUM_LOG_EVENTS) {
            this.log = this.log.slice(MAXIMUM_LOG_EVENTS / 2);
        }
    }
}
