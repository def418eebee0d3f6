/** Maintains the set of live and draining members and publishes the member document of this process. */
import type * as clocks from "../clock/clock.js";
import * as background from "../core/background.js";
import type * as controllers from "../core/controller.js";
import type * as event from "../core/event.js";
import type * as incarnations from "../core/incarnation.js";
import * as outcomes from "../core/outcome.js";
import type * as boards from "../daemon/board.js";
import type * as tables from "../gossip/table.js";
import type * as gossip from "../gossip/types.js";
import type * as objectApi from "../object-api/types.js";
import * as assessment from "./assessment.js";
import * as evidences from "./evidence.js";
import * as listings from "./listing.js";
import * as memberDocuments from "./member-document.js";
import type * as types from "./types.js";

const INSTANCE_LIST_INTERVAL_MS = 2000;
/** Largest random deviation from the interval, as a fraction of it, so that processes do not read at the same time. */
const INSTANCE_LIST_JITTER = 0.25;
/** Batches the member documents that arrive together, since all members publish after a change of the configuration. */
const MEMBER_REFRESH_DELAY_MS = 10;
/** Interval at which members that have long been absent from the instance list are removed. */
const REMOVAL_INTERVAL_MS = 60_000;

export interface MembershipOptions {
    readonly self: incarnations.Incarnation;
    readonly role: types.Role;
    readonly dataCentre: string;
    /** Name in the manifest; empty for entries. */
    readonly backendServer: string;
    readonly seeds: readonly string[];
    readonly board: boards.Board;
    readonly documents: tables.DocumentTable;
    readonly instances: objectApi.InstanceList;
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
}

/** State of the backend server of an agent. */
export interface BackendState {
    /** `model@version` of each loaded set of weights. */
    readonly weights: readonly string[];
    /** Boot identifier; empty when it is unknown or down. */
    readonly backendBoot: string;
}

export class MembershipController implements controllers.Controller {
    readonly name = "membership";
    private readonly tasks: background.BackgroundTasks;
    private readonly subscriptions: readonly Disposable[];
    private readonly knownMembers = new Map<string, types.Member>();
    private listings: listings.Listings = new Map();
    private evidence: evidences.EvidenceByAddress = new Map();
    private backend: BackendState = { weights: [], backendBoot: "" };
    private version: number;
    private publishedMember: types.Member | undefined;
    private started = false;
    private nextListAt = Number.NEGATIVE_INFINITY;
    private nextRemovalAt: number;

    constructor(private readonly options: MembershipOptions) {
        this.tasks = new background.BackgroundTasks(this.name, options.journal);
        this.version = memberDocuments.firstVersion(options.clock.wallTime());
        this.nextRemovalAt = options.clock.now() + REMOVAL_INTERVAL_MS;
        options.documents.list(memberDocuments.MEMBER_PREFIX).forEach(document => this.recordMember(document));
        this.subscriptions = [
            options.documents.subscribe(memberDocuments.MEMBER_PREFIX, document => this.onMemberDocument(document)),
            options.board.subscribe("draining", () => this.refresh()),
            options.board.subscribe("configuration", () => this.refresh()),
        ];
        this.refresh();
    }

    /**
     * The first step publishes the member document; before it, startup can still read the document of the previous run.
     */
    async step(now: number): Promise<void> {
        const { clock } = this.options;
        this.started = true;
        if (now >= this.nextListAt) {
            this.nextListAt = now +
                INSTANCE_LIST_INTERVAL_MS * (1 - INSTANCE_LIST_JITTER + clock.random() * 2 * INSTANCE_LIST_JITTER);
            this.tasks.start("list", () => this.readInstanceList());
        }
        if (now >= this.nextRemovalAt) {
            this.nextRemovalAt = now + REMOVAL_INTERVAL_MS;
            this.removeAbsentMembers(now);
        }
        this.refresh();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.subscriptions.forEach(subscription => subscription[Symbol.dispose]());
        await this.tasks[Symbol.asyncDispose]();
    }

    /**
     * Records that the connection to an incarnation was refused, or that another incarnation responded at its address.
     */
    reportEvidence(incarnation: incarnations.Incarnation, kind: evidences.EvidenceKind): void {
        const evidence = { incarnation, kind, observedAt: this.options.clock.now() };
        this.evidence = new Map(this.evidence).set(incarnation.address, evidence);
        this.options.journal.emit("member-gone", { address: incarnation.address, boot: incarnation.boot, kind });
        this.refresh();
    }

    /** Publishes a change of the backend server or its weights. */
    updateBackend(backend: BackendState): void {
        this.backend = backend;
        this.refresh();
    }

    /** RPC addresses of the processes to exchange documents with: members, listed instances and seeds. */
    peerAddresses(): readonly string[] {
        const listed = [...this.listings].filter(([, listing]) => listing.state !== "absent").map(([address]) =>
            address
        );
        const members = [...this.options.board.read("members").keys()];
        const unknown = listed.filter(address => !this.knownMembers.has(address));
        const addresses = new Set([...members, ...unknown, ...this.seedsToContact(members.length)]);
        addresses.delete(this.options.self.address);
        return [...addresses];
    }

    /** State of an address in the instance list; undefined if the list never had the address. */
    listingOf(address: string): listings.Listing | undefined {
        return this.listings.get(address);
    }

    /**
     * Checks whether this process accepts new work. Fails with `server-leaving` (agents) or `draining`; nothing ran.
     */
    checkNewWork(): outcomes.Outcome<undefined> {
        const { board, role, backendServer } = this.options;
        if (!board.read("draining") && !this.isLeaving()) {
            return outcomes.succeed(undefined);
        }
        return role === "agent" ? outcomes.fail("server-leaving", backendServer) : outcomes.fail("draining", "");
    }

    /** Seeds without a member document, or all seeds when no other process is known. */
    private seedsToContact(memberCount: number): readonly string[] {
        return this.options.seeds.filter(seed => memberCount <= 1 || !this.knownMembers.has(seed));
    }

    private isLeaving(): boolean {
        const { board, self } = this.options;
        return this.listings.get(self.address)?.state === "leaving"
            || assessment.isRemovedByManifest(this.selfMember("live"), board.read("configuration"));
    }

    private selfMember(state: types.MemberState): types.Member {
        const { self, role, dataCentre, backendServer, board } = this.options;
        const manifestVersion = board.read("configuration").version;
        return { incarnation: self, role, dataCentre, backendServer, state, manifestVersion, ...this.backend };
    }

    private onMemberDocument(document: gossip.Document): void {
        this.recordMember(document);
        this.tasks.start("refresh", () => this.refreshAfterDelay());
    }

    private async refreshAfterDelay(): Promise<void> {
        await this.options.clock.sleep(MEMBER_REFRESH_DELAY_MS, this.tasks.signal);
        this.refresh();
    }

    private recordMember(document: gossip.Document): void {
        const member = memberDocuments.fromDocument(document);
        if (member === undefined) {
            return;
        }
        const { self } = this.options;
        if (member.incarnation.address === self.address && member.incarnation.boot !== self.boot) {
            // The document of an earlier run has a higher version if the wall clock was set back since.
            this.version = Math.max(this.version, document.version);
            this.publishedMember = undefined;
            return;
        }
        this.knownMembers.set(member.incarnation.address, member);
    }

    private refresh(): void {
        this.publishSelf();
        this.updateMembers();
    }

    private publishSelf(): void {
        if (!this.started) {
            return;
        }
        const leaving = this.options.board.read("draining") || this.isLeaving();
        const self = this.selfMember(leaving ? "draining" : "live");
        if (this.publishedMember !== undefined && JSON.stringify(self) === JSON.stringify(this.publishedMember)) {
            return;
        }
        this.publishedMember = self;
        this.version++;
        this.options.documents.publish(memberDocuments.toDocument(self, this.version));
    }

    private updateMembers(): void {
        const { board, clock } = this.options;
        const now = clock.now();
        const configuration = board.read("configuration");
        const members = assessment.membersOf([...this.knownMembers.values()], member => ({
            configuration,
            listing: this.listings.get(member.incarnation.address),
            evidence: this.evidence.get(member.incarnation.address),
            now,
        }));
        if (!assessment.sameMembers(members, board.read("members"))) {
            board.write("members", members);
        }
    }

    private async readInstanceList(): Promise<void> {
        const requestedAt = this.options.clock.now();
        const outcome = await this.options.instances.list();
        if (!outcome.ok) {
            return;
        }
        const merged = listings.mergeResponse(this.listings, outcome.value, requestedAt);
        if (merged === this.listings) {
            this.options.journal.emit("instance-list-implausible", { listed: outcome.value.length });
            return;
        }
        this.listings = merged;
        this.refresh();
    }

    private removeAbsentMembers(now: number): void {
        const currentIncarnations = new Map(
            [...this.knownMembers].map(([address, member]) => [address, member.incarnation]),
        );
        this.evidence = evidences.prune(this.evidence, currentIncarnations, now);
        for (const address of this.knownMembers.keys()) {
            if (listings.absentForMs(this.listings.get(address)) >= assessment.REMOVE_AFTER_ABSENCE_MS) {
                this.knownMembers.delete(address);
                this.options.documents.remove(memberDocuments.nameOf(address), now);
            }
        }
    }
}
