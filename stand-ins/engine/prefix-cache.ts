/** Prefix cache in limited memory with least-recently-used eviction, and its log of events. */
import * as crypto from "node:crypto";
import * as answers from "./answer.js";
import type * as settings from "./settings.js";

const LOG_LIMIT = 20_000;
const HASH_LENGTH = 16;
const POLL_MS = 5;

export interface CacheEvent {
    readonly sequence: number;
    readonly kind: "stored" | "evicted" | "cleared";
    readonly hash: string;
}

interface LoggedEvent extends CacheEvent {
    readonly at: number;
}

/** Chain hashes of the full pieces of a prompt; the scope is the seed of the chain. */
export function chain(scope: string, prompt: string, pieceTokens: number): readonly string[] {
    const bytes = Buffer.from(prompt);
    const pieceBytes = pieceTokens * answers.TOKEN_BYTES;
    const hashes: string[] = [];
    let previous = scope;
    for (let end = pieceBytes; end <= bytes.length; end += pieceBytes) {
        const piece = bytes.subarray(end - pieceBytes, end);
        previous = crypto.createHash("sha256").update(`${previous}\n`).update(piece).digest("hex")
            .slice(0, HASH_LENGTH);
        hashes.push(previous);
    }
    return hashes;
}

export class PrefixCache {
    /** Weights by chain hash, least recently used first. */
    private readonly pieces = new Map<string, string>();
    private log: LoggedEvent[] = [];
    private sequence = 0;

    constructor(private readonly current: () => settings.Settings) {}

    /** Number of leading pieces that are cached. */
    match(hashes: readonly string[]): number {
        const missing = hashes.findIndex(hash => !this.pieces.has(hash));
        return missing === -1 ? hashes.length : missing;
    }

    /** Stores pieces. The beginning of the chain becomes the most recently used part, so its end is evicted first. */
    store(hashes: readonly string[], weights: string): void {
        for (const hash of [...hashes].reverse()) {
            if (!this.pieces.delete(hash)) {
                this.append("stored", hash);
            }
            this.pieces.set(hash, weights);
        }
        while (this.pieces.size > this.current().cache_pieces) {
            const [oldest] = this.pieces.keys();
            this.pieces.delete(oldest);
            this.append("evicted", oldest);
        }
    }

    clear(): void {
        this.pieces.clear();
        this.append("cleared", "");
    }

    /** The named pieces that are cached for these weights. */
    export(hashes: readonly string[], weights: string): readonly string[] {
        return hashes.filter(hash => this.pieces.get(hash) === weights);
    }

    /** `next` is the value of `after` with which the events following the snapshot are read. */
    snapshot(): { readonly next: number; readonly hashes: readonly string[]; } {
        return { next: this.sequence, hashes: [...this.pieces.keys()] };
    }

    /** Waits for events after a sequence number. `next` is the value of `after` for the next call. */
    async events(after: number, waitMs: number): Promise<{ next: number; events: readonly CacheEvent[]; }> {
        const end = Date.now() + waitMs;
        while (this.visible(after).length === 0 && Date.now() < end) {
            await new Promise(resolve => setTimeout(resolve, POLL_MS));
        }
        const events = this.visible(after).map(({ sequence, kind, hash }) => ({ sequence, kind, hash }));
        return { next: events.at(-1)?.sequence ?? after, events };
    }

    private visible(after: number): readonly LoggedEvent[] {
        const latest = Date.now() - this.current().event_delay_ms;
        return this.log.filter(event => event.sequence > after && event.at <= latest);
    }

    private append(kind: CacheEvent["kind"], hash: string): void {
        this.sequence++;
        const dropEvery = this.current().event_drop_every;
        if (dropEvery > 0 && this.sequence % dropEvery === 0) {
            return;
        }
        this.log.push({ sequence: this.sequence, kind, hash, at: Date.now() });
        if (this.log.length > LOG_LIMIT) {
            this.log = this.log.slice(LOG_LIMIT / 2);
        }
    }
}
