/**
 * Disseminates documents: pushes new ones promptly (rumor mongering) and compares digests each second (anti-entropy).
 */
import type * as clocks from "../clock/clock.js";
import * as background from "../core/background.js";
import type * as controllers from "../core/controller.js";
import type * as event from "../core/event.js";
import * as sampling from "../core/sampling.js";
import type * as boards from "../daemon/board.js";
import * as digests from "./digest.js";
import type * as peers from "./peers.js";
import * as storeConfirmation from "./store-confirmation.js";
import type * as tables from "./table.js";
import type * as types from "./types.js";

/** Peers to which each document is pushed. */
const FAN_OUT = 3;
/** Additional peers that replace those to which a push failed. */
const REPLACEMENT_PUSHES = 3;
/** Documents that arrive within this time are pushed in one message. */
const PUSH_DELAY_MS = 10;
const ROUND_INTERVAL_MS = 1000;
/** Peers that one round tries at most, until one of them responds. */
const ROUND_ATTEMPTS = 3;
/**
 * Age of the last confirmation of the object API from which a round asks a process that watches it. With random peers
 * alone, a confirmation takes more than 3 s to reach 1,210 processes when 14 of them watch the object API.
 */
const ASK_WATCHER_AFTER_MS = 1500;
const TOMBSTONE_SWEEP_INTERVAL_MS = 60_000;

export interface GossipOptions {
    /** RPC address of this process. */
    readonly address: string;
    readonly board: boards.Board;
    readonly documents: tables.DocumentTable;
    readonly peers: peers.Peers;
    /** RPC addresses of the processes to exchange documents with. */
    readonly peerAddresses: () => readonly string[];
    /** RPC addresses of the processes that watch the object API. */
    readonly watchers: () => readonly string[];
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
}

export class GossipController implements controllers.Controller {
    readonly name = "gossip";
    private readonly tasks: background.BackgroundTasks;
    private readonly pendingDocuments = new Map<string, types.Document>();
    private readonly subscription: Disposable;
    private pushScheduled = false;
    private nextRoundAt: number;
    private nextSweepAt: number;

    constructor(private readonly options: GossipOptions) {
        this.tasks = new background.BackgroundTasks(this.name, options.journal);
        const now = options.clock.now();
        this.nextRoundAt = now + options.clock.random() * ROUND_INTERVAL_MS;
        this.nextSweepAt = now + TOMBSTONE_SWEEP_INTERVAL_MS;
        this.subscription = options.documents.subscribe("", document => this.enqueue(document));
    }

    async step(now: number): Promise<void> {
        if (now >= this.nextSweepAt) {
            this.nextSweepAt = now + TOMBSTONE_SWEEP_INTERVAL_MS;
            this.options.documents.sweep(now);
        }
        if (now >= this.nextRoundAt) {
            this.nextRoundAt = now + ROUND_INTERVAL_MS;
            this.tasks.start("round", () => this.round());
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.subscription[Symbol.dispose]();
        await this.tasks[Symbol.asyncDispose]();
    }

    /** Pushes the pending documents immediately; used before the process exits. */
    async flush(): Promise<void> {
        const documents = [...this.pendingDocuments.values()];
        this.pendingDocuments.clear();
        if (documents.length === 0) {
            return;
        }
        const targets = sampling.sample(this.peerAddresses(), FAN_OUT + REPLACEMENT_PUSHES, this.options.clock.random);
        const first = targets.slice(0, FAN_OUT);
        const replacements = targets.slice(FAN_OUT);
        await Promise.all(first.map(target => this.pushWithReplacement(target, replacements, documents)));
    }

    private peerAddresses(): readonly string[] {
        return this.options.peerAddresses().filter(address => address !== this.options.address);
    }

    private enqueue(document: types.Document): void {
        this.pendingDocuments.set(document.name, document);
        if (!this.pushScheduled) {
            this.pushScheduled = true;
            this.tasks.spawn(() => this.pushPending());
        }
    }

    private async pushPending(): Promise<void> {
        await this.options.clock.sleep(PUSH_DELAY_MS, this.tasks.signal);
        this.pushScheduled = false;
        await this.flush();
    }

    private async pushWithReplacement(
        target: string,
        replacements: string[],
        documents: readonly types.Document[],
    ): Promise<void> {
        for (let address: string | undefined = target; address !== undefined; address = replacements.pop()) {
            const outcome = await this.options.peers.push(address, documents);
            if (outcome.ok) {
                outcome.value.forEach(document => this.options.documents.offer(document));
                return;
            }
        }
    }

    private async round(): Promise<void> {
        const candidates = sampling.sample(this.peerAddresses(), ROUND_ATTEMPTS, this.options.clock.random);
        const watcher = this.watcherToAsk();
        const order = watcher === undefined ? candidates : [watcher, ...candidates].slice(0, ROUND_ATTEMPTS);
        for (const address of order) {
            if (this.tasks.signal.aborted || await this.exchange(address)) {
                return;
            }
        }
        if (order.length > 0) {
            this.options.journal.emit("gossip-round-failed", { peers: order.join(" ") });
        }
    }

    private watcherToAsk(): string | undefined {
        const { board, clock, watchers, address } = this.options;
        if (clock.now() - board.read("storeSeenAt") < ASK_WATCHER_AFTER_MS) {
            return undefined;
        }
        return sampling.sample(watchers().filter(other => other !== address), 1, clock.random)[0];
    }

    /** Runs one round with one peer. Returns false if the peer did not respond. */
    private async exchange(address: string): Promise<boolean> {
        const documents = this.options.documents;
        const first = await this.compare(address, []);
        if (first === undefined) {
            return false;
        }
        if (first.equal) {
            return true;
        }
        const buckets = digests.differingBuckets(documents.digest().bucketHashes, first.bucketHashes);
        const second = await this.compare(address, buckets);
        if (second === undefined) {
            return false;
        }
        second.newer.forEach(document => documents.offer(document));
        const wanted = second.wanted.flatMap(name => documents.get(name) ?? []);
        return wanted.length === 0 || (await this.options.peers.push(address, wanted)).ok;
    }

    private async compare(address: string, buckets: readonly number[]): Promise<peers.ComparisonReply | undefined> {
        const { board, clock, documents } = this.options;
        const sentAt = clock.now();
        const outcome = await this.options.peers.compare(address, {
            totalHash: documents.digest().totalHash,
            buckets,
            versions: documents.inBuckets(buckets).map(({ name, version }) => ({ name, version })),
            storeAgeMs: sentAt - board.read("storeSeenAt"),
        });
        if (!outcome.ok) {
            return undefined;
        }
        // Subtracting the age from the sending time never makes the confirmation look more recent than it is. Only the
        // caller uses the age: at the callee the unknown delay of the request would make it more recent on each hop.
        storeConfirmation.recordStoreConfirmation(board, sentAt - outcome.value.storeAgeMs);
        return outcome.value;
    }
}
