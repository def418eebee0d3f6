/** Keeps the newest valid configuration in force, from the object API and from other processes. */
import type * as clocks from "../clock/clock.js";
import * as background from "../core/background.js";
import type * as controllers from "../core/controller.js";
import type * as event from "../core/event.js";
import * as outcomes from "../core/outcome.js";
import * as sampling from "../core/sampling.js";
import type * as boards from "../daemon/board.js";
import type * as peers from "../gossip/peers.js";
import * as storeConfirmation from "../gossip/store-confirmation.js";
import type * as gossip from "../gossip/types.js";
import type * as manifest from "../manifest/types.js";
import type * as objectApi from "../object-api/types.js";
import * as adoption from "./adoption.js";
import * as readers from "./store-reader.js";
import * as watchers from "./watchers.js";

/** Wait of a watcher after a failed call, before random spreading. */
const WATCH_RETRY_MS = 500;
/** Time for the push of a manifest to arrive before it is fetched from a member that reports it. */
const PURSUE_AFTER_MS = 300;
const PURSUE_FAN_OUT = 3;
/**
 * Time for which a restarted process waits for the version that it had in force. A version is in force everywhere
 * within 4 s of its acceptance, so a longer wait would only delay a process whose peers have all lost the version.
 */
const FORMER_VERSION_WAIT_MS = 4000;
/** Absence of a proof of the store that raises an alarm event. */
const ALARM_AFTER_MS = 15_000;

export interface ConfigurationOptions {
    /** RPC address of this process. */
    readonly address: string;
    readonly dataCentre: string;
    readonly board: boards.Board;
    readonly documents: gossip.Documents;
    readonly store: objectApi.ObjectStore;
    readonly peers: Pick<peers.Peers, "fetch">;
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    /** Version that an earlier run of this process had in force; a lower one is not adopted for some time. */
    readonly formerVersion?: number;
}

export class ConfigurationController implements controllers.Controller {
    readonly name = "configuration";
    private readonly tasks: background.BackgroundTasks;
    private readonly reader: readers.StoreReader;
    private readonly subscription: Disposable;
    private readonly fetches = new Map<string, Promise<void>>();
    private readonly startedAt: number;
    private formerVersion: number;
    private rejectedVersion = 0;
    private watching = false;
    private failedReads = 0;
    private nextReadAt = Number.NEGATIVE_INFINITY;
    private readJitter: number;
    private lagSince: number | undefined;
    private alarmSince: number | undefined;
    private storeBehindAt = 0;

    /** Adopts the manifest that the documents already hold, so that a bootstrapped process is ready at once. */
    constructor(private readonly options: ConfigurationOptions) {
        this.tasks = new background.BackgroundTasks(this.name, options.journal);
        this.reader = new readers.StoreReader(options.store, options.clock);
        this.startedAt = options.clock.now();
        this.readJitter = options.clock.random();
        this.formerVersion = options.formerVersion ?? 0;
        this.subscription = options.documents.subscribe(adoption.MANIFEST_DOCUMENT, document => this.accept(document));
        const known = options.documents.get(adoption.MANIFEST_DOCUMENT);
        if (known !== undefined) {
            this.accept(known);
        }
    }

    async step(now: number): Promise<void> {
        this.watching = this.isWatcher();
        if (this.watching) {
            this.tasks.start("watch", () => this.watch());
        }
        else {
            this.readWhenUnconfirmed(now);
        }
        this.giveUpFormerVersion(now);
        this.pursueReportedVersion(now);
        this.watchAlarm(now);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.subscription[Symbol.dispose]();
        await this.tasks[Symbol.asyncDispose]();
    }

    /**
     * Returns a configuration of at least the version, fetching it from the given RPC addresses when necessary.
     *
     * Fails with `configuration-unavailable` when none of them delivers it.
     */
    async require(version: number, addresses: readonly string[]): Promise<outcomes.Outcome<manifest.Configuration>> {
        if (this.inForce().version < version) {
            await Promise.all(addresses.map(address => this.fetchOnce(address)));
        }
        const configuration = this.inForce();
        return configuration.version >= version
            ? outcomes.succeed(configuration)
            : outcomes.fail("configuration-unavailable", `version ${version}, in force is ${configuration.version}`);
    }

    /** RPC addresses of live members that report the version or a higher one, in random order. */
    holdersOf(version: number): readonly string[] {
        const holders = [...this.options.board.read("members").values()]
            .filter(member => member.manifestVersion >= version)
            .map(member => member.incarnation.address)
            .filter(address => address !== this.options.address);
        return sampling.sample(holders, PURSUE_FAN_OUT, this.options.clock.random);
    }

    private inForce(): manifest.Configuration {
        return this.options.board.read("configuration");
    }

    private isWatcher(): boolean {
        const { address, dataCentre, board } = this.options;
        const self = board.read("draining") ? undefined : { address, dataCentre };
        return watchers.watchersOf(dataCentre, board.read("members"), self).includes(address);
    }

    private accept(document: gossip.Document): void {
        const candidate = adoption.fromDocument(document);
        if (candidate.ok) {
            this.consider(candidate.value);
        }
        else {
            this.reject(document.version, candidate.failure.detail);
        }
    }

    private consider(candidate: adoption.Candidate): void {
        const previous = this.inForce();
        if (this.isBelowFormerVersion(candidate.version)) {
            return;
        }
        const judgement = adoption.judge(previous, candidate);
        if (judgement.action === "reject") {
            this.reject(candidate.version, judgement.failure.detail);
        }
        if (judgement.action === "adopt") {
            this.options.board.write("configuration", judgement.configuration);
            this.options.journal.emit("configuration-adopted", {
                version: candidate.version,
                previous: previous.version,
            });
            this.options.documents.publish(adoption.toDocument(candidate));
        }
    }

    private isBelowFormerVersion(version: number): boolean {
        return version < this.formerVersion && this.options.clock.now() - this.startedAt < FORMER_VERSION_WAIT_MS;
    }

    /** Adopts the best known version when the former one has not arrived in time. */
    private giveUpFormerVersion(now: number): void {
        if (this.formerVersion === 0 || now - this.startedAt < FORMER_VERSION_WAIT_MS) {
            return;
        }
        const expected = this.formerVersion;
        this.formerVersion = 0;
        const known = this.options.documents.get(adoption.MANIFEST_DOCUMENT);
        if (this.inForce().version < expected) {
            this.options.journal.emit("former-version-lost", { expected, known: known?.version ?? 0 });
        }
        if (known !== undefined) {
            this.accept(known);
        }
    }

    private reject(version: number, reason: string): void {
        if (version <= this.rejectedVersion) {
            return;
        }
        this.rejectedVersion = version;
        this.options.journal.emit("configuration-rejected", { version, reason });
    }

    private async watch(): Promise<void> {
        const { clock } = this.options;
        let afterRevision = this.inForce().version;
        while (this.watching && !this.tasks.signal.aborted) {
            const outcome = await this.reader.watch(afterRevision);
            if (outcome.ok) {
                this.storeAnswered(clock.now());
                outcome.value.candidates.forEach(candidate => this.consider(candidate));
                this.reportStoreBehind(outcome.value.revision);
                afterRevision = Math.max(afterRevision, outcome.value.revision);
            }
            else {
                await clock.sleep(WATCH_RETRY_MS * (0.5 + clock.random()), this.tasks.signal);
            }
        }
    }

    private readWhenUnconfirmed(now: number): void {
        const storeSeenAt = this.options.board.read("storeSeenAt");
        if (now < watchers.firstReadAt(storeSeenAt, this.startedAt, this.readJitter) || now < this.nextReadAt) {
            return;
        }
        this.tasks.start("read", () => this.read());
    }

    private async read(): Promise<void> {
        const { clock } = this.options;
        const sentAt = clock.now();
        const outcome = await this.reader.read();
        this.readJitter = clock.random();
        this.nextReadAt = clock.now() + watchers.readIntervalMs(this.failedReads, clock.random());
        if (!outcome.ok) {
            this.failedReads++;
            return;
        }
        this.storeAnswered(sentAt);
        if (outcome.value !== undefined) {
            this.consider(outcome.value);
            this.reportStoreBehind(outcome.value.version);
        }
    }

    private storeAnswered(at: number): void {
        this.failedReads = 0;
        storeConfirmation.recordStoreConfirmation(this.options.board, at);
    }

    private reportStoreBehind(revision: number): void {
        const version = this.inForce().version;
        if (revision < version && this.storeBehindAt !== version) {
            this.storeBehindAt = version;
            this.options.journal.emit("store-behind", { revision, version });
        }
    }

    /** Fetches a version that other members have in force, in case its push was lost. */
    private pursueReportedVersion(now: number): void {
        const members = this.options.board.read("members").values();
        const highest = [...members].reduce((version, member) => Math.max(version, member.manifestVersion), 0);
        if (highest <= Math.max(this.inForce().version, this.rejectedVersion)) {
            this.lagSince = undefined;
            return;
        }
        this.lagSince ??= now;
        if (now - this.lagSince >= PURSUE_AFTER_MS) {
            this.lagSince = now;
            this.tasks.start("pursue", async () => void await this.require(highest, this.holdersOf(highest)));
        }
    }

    private fetchOnce(address: string): Promise<void> {
        const running = this.fetches.get(address);
        if (running !== undefined) {
            return running;
        }
        const fetch = this.fetch(address).finally(() => this.fetches.delete(address));
        this.fetches.set(address, fetch);
        return fetch;
    }

    private async fetch(address: string): Promise<void> {
        const outcome = await this.options.peers.fetch(address, [adoption.MANIFEST_DOCUMENT]);
        if (!outcome.ok) {
            return;
        }
        for (const document of outcome.value.filter(found => found.name === adoption.MANIFEST_DOCUMENT)) {
            this.accept(document);
        }
    }

    private watchAlarm(now: number): void {
        const seenAt = Math.max(this.options.board.read("storeSeenAt"), this.startedAt);
        const unconfirmed = now - seenAt >= ALARM_AFTER_MS;
        if (unconfirmed && this.alarmSince === undefined) {
            this.alarmSince = seenAt;
            this.options.journal.emit("store-unconfirmed", { ageMs: Math.round(now - seenAt) });
        }
        if (!unconfirmed && this.alarmSince !== undefined) {
            this.options.journal.emit("store-confirmed", { ageMs: Math.round(now - this.alarmSince) });
            this.alarmSince = undefined;
        }
    }
}
