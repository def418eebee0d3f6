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

/** Mean delay of a watcher after a failed call; jitter varies it by up to half. */
const WATCH_RETRY_MS = 500;
/** Time to wait for a pushed manifest before it is fetched from a member that reports its version. */
const FETCH_DELAY_MS = 300;
/** Members that are asked for a reported version at the same time. */
const FETCH_FAN_OUT = 3;
/**
 * Time for which a restarted process waits for the version that it had in force before the restart. An accepted version
 * is in force everywhere within 4 s, so a longer wait would only delay a process whose peers have all lost the version.
 */
const FORMER_VERSION_WAIT_MS = 4000;
/** Time since the object API was last known to be reachable, after which `store-unconfirmed` is logged. */
const UNCONFIRMED_ALARM_AFTER_MS = 15_000;

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
    /** Version in force before a restart. Lower versions are not adopted during `FORMER_VERSION_WAIT_MS`. */
    readonly formerVersion?: number;
}

/** Watches or reads the object API, receives manifests from other processes, and adopts newer valid versions. */
export class ConfigurationController implements controllers.Controller {
    readonly name = "configuration";
    private readonly tasks: background.BackgroundTasks;
    private readonly reader: readers.StoreReader;
    private readonly subscription: Disposable;
    private readonly runningFetches = new Map<string, Promise<void>>();
    private readonly startedAt: number;
    private formerVersion: number;
    private rejectedVersion = 0;
    private watching = false;
    private failedReads = 0;
    private nextReadAt = Number.NEGATIVE_INFINITY;
    private readJitter: number;
    private lagSince: number | undefined;
    private unconfirmedSince: number | undefined;
    private reportedBehindVersion = 0;

    /** Adopts the manifest that the documents already contain, so that a bootstrapped process is ready immediately. */
    constructor(private readonly options: ConfigurationOptions) {
        this.tasks = new background.BackgroundTasks(this.name, options.journal);
        this.reader = new readers.StoreReader(options.store, options.clock);
        this.startedAt = options.clock.now();
        this.readJitter = options.clock.random();
        this.formerVersion = options.formerVersion ?? 0;
        this.subscription = options.documents.subscribe(
            adoption.MANIFEST_DOCUMENT,
            document => this.acceptDocument(document),
        );
        const known = options.documents.get(adoption.MANIFEST_DOCUMENT);
        if (known !== undefined) {
            this.acceptDocument(known);
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
        this.expireFormerVersion(now);
        this.fetchReportedVersion(now);
        this.updateUnconfirmedAlarm(now);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.subscription[Symbol.dispose]();
        await this.tasks[Symbol.asyncDispose]();
    }

    /**
     * Returns a configuration of at least the given version, fetched from the given RPC addresses if necessary.
     *
     * Fails with `configuration-unavailable` if none of them provides it.
     */
    async ensureVersion(
        version: number,
        addresses: readonly string[],
    ): Promise<outcomes.Outcome<manifest.Configuration>> {
        if (this.inForce().version < version) {
            await Promise.all(addresses.map(address => this.fetchOnce(address)));
        }
        const configuration = this.inForce();
        return configuration.version >= version
            ? outcomes.succeed(configuration)
            : outcomes.fail(
                "configuration-unavailable",
                `version ${version} is required, ${configuration.version} is in force`,
            );
    }

    /** RPC addresses of a random sample of members that report the version or a higher one. */
    membersWithVersion(version: number): readonly string[] {
        const addresses = [...this.options.board.read("members").values()]
            .filter(member => member.manifestVersion >= version)
            .map(member => member.incarnation.address)
            .filter(address => address !== this.options.address);
        return sampling.sample(addresses, FETCH_FAN_OUT, this.options.clock.random);
    }

    private inForce(): manifest.Configuration {
        return this.options.board.read("configuration");
    }

    private isWatcher(): boolean {
        const { address, dataCentre, board } = this.options;
        const self = board.read("draining") ? undefined : { address, dataCentre };
        return watchers.watchersOf(dataCentre, board.read("members"), self).includes(address);
    }

    private acceptDocument(document: gossip.Document): void {
        const candidate = adoption.fromDocument(document);
        if (candidate.ok) {
            this.evaluate(candidate.value);
        }
        else {
            this.reject(document.version, candidate.failure.detail);
        }
    }

    private evaluate(candidate: adoption.Candidate): void {
        const previous = this.inForce();
        if (this.isBelowFormerVersion(candidate.version)) {
            return;
        }
        const decision = adoption.decideAdoption(previous, candidate);
        if (decision.action === "reject") {
            this.reject(candidate.version, decision.failure.detail);
        }
        if (decision.action === "adopt") {
            this.options.board.write("configuration", decision.configuration);
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

    /** Stops waiting for the version in force before the restart and adopts the newest one received. */
    private expireFormerVersion(now: number): void {
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
            this.acceptDocument(known);
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
                this.recordStoreResponse(clock.now());
                outcome.value.candidates.forEach(candidate => this.evaluate(candidate));
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
        this.recordStoreResponse(sentAt);
        if (outcome.value !== undefined) {
            this.evaluate(outcome.value);
            this.reportStoreBehind(outcome.value.version);
        }
    }

    private recordStoreResponse(seenAt: number): void {
        this.failedReads = 0;
        storeConfirmation.recordStoreConfirmation(this.options.board, seenAt);
    }

    private reportStoreBehind(revision: number): void {
        const version = this.inForce().version;
        if (revision < version && this.reportedBehindVersion !== version) {
            this.reportedBehindVersion = version;
            this.options.journal.emit("store-behind", { revision, version });
        }
    }

    /** Fetches a newer version that other members report, in case its push was lost. */
    private fetchReportedVersion(now: number): void {
        const members = this.options.board.read("members").values();
        const highest = [...members].reduce((version, member) => Math.max(version, member.manifestVersion), 0);
        if (highest <= Math.max(this.inForce().version, this.rejectedVersion)) {
            this.lagSince = undefined;
            return;
        }
        this.lagSince ??= now;
        if (now - this.lagSince >= FETCH_DELAY_MS) {
            this.lagSince = now;
            this.tasks.start(
                "fetch",
                async () => void await this.ensureVersion(highest, this.membersWithVersion(highest)),
            );
        }
    }

    private fetchOnce(address: string): Promise<void> {
        const running = this.runningFetches.get(address);
        if (running !== undefined) {
            return running;
        }
        const started = this.fetch(address).finally(() => this.runningFetches.delete(address));
        this.runningFetches.set(address, started);
        return started;
    }

    private async fetch(address: string): Promise<void> {
        const outcome = await this.options.peers.fetch(address, [adoption.MANIFEST_DOCUMENT]);
        if (!outcome.ok) {
            return;
        }
        for (const document of outcome.value.filter(found => found.name === adoption.MANIFEST_DOCUMENT)) {
            this.acceptDocument(document);
        }
    }

    private updateUnconfirmedAlarm(now: number): void {
        const seenAt = Math.max(this.options.board.read("storeSeenAt"), this.startedAt);
        const unconfirmed = now - seenAt >= UNCONFIRMED_ALARM_AFTER_MS;
        if (unconfirmed && this.unconfirmedSince === undefined) {
            this.unconfirmedSince = seenAt;
            this.options.journal.emit("store-unconfirmed", { ageMs: Math.round(now - seenAt) });
        }
        if (!unconfirmed && this.unconfirmedSince !== undefined) {
            this.options.journal.emit("store-confirmed", { ageMs: Math.round(now - this.unconfirmedSince) });
            this.unconfirmedSince = undefined;
        }
    }
}
