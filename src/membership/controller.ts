/** Keeps the members of the system and publishes the document of this process. */
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

const LIST_INTERVAL_MS = 2000;
/** Part of the interval by which the reads of the list are spread at random. */
const LIST_JITTER = 0.25;
/** Every member publishes a document after each change of the configuration; one refresh serves those that come together. */
const REFRESH_DELAY_MS = 10;
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

/** What the agent knows of its backend server. */
export interface Backend {
    /** `model@version` of each loaded set of weights. */
    readonly weights: readonly string[];
    /** Boot identifier; empty when it is unknown or down. */
    readonly backendBoot: string;
}

export class MembershipController implements controllers.Controller {
    readonly name = "membership";
    private readonly tasks: background.BackgroundTasks;
    private readonly subscriptions: readonly Disposable[];
    private readonly known = new Map<string, types.Member>();
    private listings: listings.Listings = new Map();
    private evidence: evidences.EvidenceByAddress = new Map();
    private backend: Backend = { weights: [], backendBoot: "" };
    private version: number;
    private published: types.Member | undefined;
    private started = false;
    private nextListAt = Number.NEGATIVE_INFINITY;
    private nextRemovalAt: number;

    constructor(private readonly options: MembershipOptions) {
        this.tasks = new background.BackgroundTasks(this.name, options.journal);
        this.version = memberDocuments.firstVersion(options.clock.wallTime());
        this.nextRemovalAt = options.clock.now() + REMOVAL_INTERVAL_MS;
        options.documents.list(memberDocuments.MEMBER_PREFIX).forEach(document => this.learn(document));
        this.subscriptions = [
            options.documents.subscribe(memberDocuments.MEMBER_PREFIX, document => this.onMember(document)),
            options.board.subscribe("draining", () => this.refresh()),
            options.board.subscribe("configuration", () => this.refresh()),
        ];
        this.refresh();
    }

    /** The first step announces the process, so that the start can read the document of its earlier run before. */
    async step(now: number): Promise<void> {
        const { clock } = this.options;
        this.started = true;
        if (now >= this.nextListAt) {
            this.nextListAt = now + LIST_INTERVAL_MS * (1 - LIST_JITTER + clock.random() * 2 * LIST_JITTER);
            this.tasks.start("list", () => this.readList());
        }
        if (now >= this.nextRemovalAt) {
            this.nextRemovalAt = now + REMOVAL_INTERVAL_MS;
            this.removeLongGone(now);
        }
        this.refresh();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.subscriptions.forEach(subscription => subscription[Symbol.dispose]());
        await this.tasks[Symbol.asyncDispose]();
    }

    /** Records that a connection to an incarnation was refused, or that another one answered at its address. */
    report(incarnation: incarnations.Incarnation, kind: evidences.EvidenceKind): void {
        const evidence = { incarnation, kind, observedAt: this.options.clock.now() };
        this.evidence = new Map(this.evidence).set(incarnation.address, evidence);
        this.options.journal.emit("member-gone", { address: incarnation.address, boot: incarnation.boot, kind });
        this.refresh();
    }

    /** Publishes a change of the backend server or its weights. */
    describeBackend(backend: Backend): void {
        this.backend = backend;
        this.refresh();
    }

    /** RPC addresses of other processes to exchange documents with: members, listed instances and seeds. */
    contacts(): readonly string[] {
        const listed = [...this.listings].filter(([, listing]) => listing.state !== "absent").map(([address]) =>
            address
        );
        const members = [...this.options.board.read("members").keys()];
        const unknown = listed.filter(address => !this.known.has(address));
        const contacts = new Set([...members, ...unknown, ...this.reachableSeeds(members.length)]);
        contacts.delete(this.options.self.address);
        return [...contacts];
    }

    /** Word of the instance list about an address; undefined when it never listed the address. */
    listingOf(address: string): listings.Listing | undefined {
        return this.listings.get(address);
    }

    /** Whether this process may take new work. Fails with `server-leaving` (agents) or `draining`; nothing ran. */
    checkNewWork(): outcomes.Outcome<undefined> {
        const { board, role, backendServer } = this.options;
        if (!board.read("draining") && !this.isLeaving()) {
            return outcomes.succeed(undefined);
        }
        return role === "agent" ? outcomes.fail("server-leaving", backendServer) : outcomes.fail("draining", "");
    }

    /** Seeds that have no member document, or all of them when no other process is known. */
    private reachableSeeds(memberCount: number): readonly string[] {
        return this.options.seeds.filter(seed => memberCount <= 1 || !this.known.has(seed));
    }

    private isLeaving(): boolean {
        const { board, self } = this.options;
        return this.listings.get(self.address)?.state === "leaving"
            || assessment.isRemovedByManifest(this.describeSelf("live"), board.read("configuration"));
    }

    private describeSelf(state: types.MemberState): types.Member {
        const { self, role, dataCentre, backendServer, board } = this.options;
        const manifestVersion = board.read("configuration").version;
        return { incarnation: self, role, dataCentre, backendServer, state, manifestVersion, ...this.backend };
    }

    private onMember(document: gossip.Document): void {
        this.learn(document);
        this.tasks.start("refresh", () => this.refreshSoon());
    }

    private async refreshSoon(): Promise<void> {
        await this.options.clock.sleep(REFRESH_DELAY_MS, this.tasks.signal);
        this.refresh();
    }

    private learn(document: gossip.Document): void {
        const member = memberDocuments.fromDocument(document);
        if (member === undefined) {
            return;
        }
        const { self } = this.options;
        if (member.incarnation.address === self.address && member.incarnation.boot !== self.boot) {
            // A document of an earlier run has a higher version when the wall clock was set back in between.
            this.version = Math.max(this.version, document.version);
            this.published = undefined;
            return;
        }
        this.known.set(member.incarnation.address, member);
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
        const self = this.describeSelf(leaving ? "draining" : "live");
        if (this.published !== undefined && JSON.stringify(self) === JSON.stringify(this.published)) {
            return;
        }
        this.published = self;
        this.version++;
        this.options.documents.publish(memberDocuments.toDocument(self, this.version));
    }

    private updateMembers(): void {
        const { board, clock } = this.options;
        const now = clock.now();
        const configuration = board.read("configuration");
        const members = assessment.membersOf([...this.known.values()], member => ({
            configuration,
            listing: this.listings.get(member.incarnation.address),
            evidence: this.evidence.get(member.incarnation.address),
            now,
        }));
        if (!assessment.sameMembers(members, board.read("members"))) {
            board.write("members", members);
        }
    }

    private async readList(): Promise<void> {
        const askedAt = this.options.clock.now();
        const outcome = await this.options.instances.list();
        if (!outcome.ok) {
            return;
        }
        const merged = listings.merge(this.listings, outcome.value, askedAt);
        if (merged === this.listings) {
            this.options.journal.emit("instance-list-implausible", { listed: outcome.value.length });
            return;
        }
        this.listings = merged;
        this.refresh();
    }

    private removeLongGone(now: number): void {
        const present = new Map([...this.known].map(([address, member]) => [address, member.incarnation]));
        this.evidence = evidences.prune(this.evidence, present, now);
        for (const address of this.known.keys()) {
            if (listings.absentForMs(this.listings.get(address)) >= assessment.REMOVE_AFTER_ABSENCE_MS) {
                this.known.delete(address);
                this.options.documents.remove(memberDocuments.nameOf(address), now);
            }
        }
    }
}
