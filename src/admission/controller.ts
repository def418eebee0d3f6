/** Runs the budget ownership of all groups on an agent: renewals, liveness probes and changes of the holders. */
import type * as clocks from "../clock/clock.js";
import type * as controllers from "../core/controller.js";
import type * as event from "../core/event.js";
import * as incarnations from "../core/incarnation.js";
import type * as boards from "../daemon/board.js";
import type * as gossip from "../gossip/types.js";
import type * as manifest from "../manifest/types.js";
import type * as membership from "../membership/types.js";
import type * as objectApi from "../object-api/types.js";
import * as assignment from "./assignment.js";
import * as constants from "./constants.js";
import * as holdersObjects from "./holders-object.js";
import * as holdersSections from "./holders-section.js";
import type * as messages from "./messages.js";
import * as ownerships from "./ownership.js";
import type * as transports from "./transport.js";
import type * as types from "./types.js";

export interface BudgetControllerOptions {
    readonly self: incarnations.Incarnation;
    readonly board: boards.Board;
    readonly store: objectApi.ObjectStore;
    readonly documents: gossip.Documents;
    readonly liveness: membership.LivenessProbe;
    readonly transport: transports.Transport;
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    /** Number of customer groups; must be the same in all processes. */
    readonly groupCount?: number;
}

/** Maximum interval between two steps for renewals to be sent on time. */
export const STEP_INTERVAL_MS = 50;

/** Minimum interval between two reads of the object after a refresh was requested. */
const REFRESH_INTERVAL_MS = 200;

/** Interval at which candidates read the object while no holders are known. */
const NO_HOLDERS_REFRESH_INTERVAL_MS = 1000;

export class BudgetController implements controllers.Controller {
    readonly name = "budgets";
    private readonly ownerships: readonly ownerships.Ownership[];
    private readonly pendingCalls = new Map<number, (reply: messages.AcquireReply) => void>();
    private readonly tasks = new Set<Promise<void>>();
    private readonly probesInProgress = new Set<string>();
    private readonly subscriptions: readonly Disposable[];
    private queuedChanges: holdersObjects.HolderChange[] = [];
    private isWriting = false;
    private isReading = false;
    private isRefreshRequested = false;
    private lastReadAt = Number.NEGATIVE_INFINITY;
    private lastCallId = 0;
    private isStopped = false;

    constructor(private readonly options: BudgetControllerOptions) {
        const { board, documents, journal } = options;
        const groups = options.groupCount ?? constants.DEFAULT_GROUP_COUNT;
        this.ownerships = Array.from({ length: groups }, (_, group) => this.createOwnership(group));
        this.applyRates(board.read("configuration"));
        this.subscriptions = [
            board.subscribe("configuration", configuration => this.applyRates(configuration)),
            board.subscribe("holders", holders => this.adoptPublished(holders)),
            board.subscribe("draining", draining => {
                if (draining) {
                    this.ownerships.forEach(ownership => this.perform(ownership, ownership.drain(this.now())));
                }
            }),
            holdersSections.followHolders(documents, board, journal),
        ];
        this.adoptPublished(board.read("holders"));
    }

    async step(now: number): Promise<void> {
        if (this.isStopped) {
            return;
        }
        this.ownerships.forEach(ownership => this.perform(ownership, ownership.tick(now)));
        const hasNoHolders = this.options.board.read("holders").version === 0;
        const interval = this.isRefreshRequested ? REFRESH_INTERVAL_MS : NO_HOLDERS_REFRESH_INTERVAL_MS;
        if ((this.isRefreshRequested || (hasNoHolders && this.isCandidate())) && now >= this.lastReadAt + interval) {
            this.refresh(now);
        }
        this.writeChanges();
    }

    /** Resolves with the reply of this process, at the latest after the maximum deferral and one step. */
    acquire(group: number, epoch: number, demands: readonly messages.Demand[]): Promise<messages.AcquireReply> {
        const ownership = this.ownerships.at(group);
        if (ownership === undefined || group < 0 || this.isStopped) {
            const failure = { kind: "budget-not-holder", detail: `group ${group}` } as const;
            return Promise.resolve({ epoch: 0, grants: [], failure, primaryAddress: "" });
        }
        const callId = ++this.lastCallId;
        return new Promise(resolve => {
            this.pendingCalls.set(callId, resolve);
            this.perform(ownership, ownership.acquire(callId, epoch, demands, this.now()));
        });
    }

    renew(renewal: messages.Renewal): messages.RenewalReply {
        const ownership = this.ownerships.at(renewal.group);
        if (ownership === undefined || this.isStopped) {
            const failure = { kind: "budget-renewal-refused", detail: `group ${renewal.group}` } as const;
            return { granted: false, epoch: 0, sequence: renewal.sequence, failure };
        }
        const { reply, actions } = ownership.receiveRenewal(renewal, this.now());
        this.perform(ownership, actions);
        return reply;
    }

    /** Whether this process is not the primary of any group. A draining agent waits for this before it exits. */
    get holdsNoGroup(): boolean {
        return this.ownerships.every(ownership => ownership.roleName !== "primary");
    }

    /**
     * Stops granting and waits for the running tasks. Must be disposed before the RPC server closes: a refused
     * connection counts as proof of death, after which another agent grants.
     */
    async [Symbol.asyncDispose](): Promise<void> {
        this.isStopped = true;
        this.subscriptions.forEach(subscription => subscription[Symbol.dispose]());
        this.ownerships.forEach(ownership => this.perform(ownership, ownership.stop()));
        await Promise.all([...this.tasks]);
    }

    private createOwnership(group: number): ownerships.Ownership {
        const { self, board } = this.options;
        const candidates = () => assignment.rankCandidates(group, board.read("members"));
        return new ownerships.Ownership(group, self, {
            nextStandby: excluded => assignment.chooseStandby(self.address, candidates(), excluded),
            takeoverRank: excluded => {
                const addresses = candidates().map(candidate => candidate.incarnation.address);
                const rank = addresses.filter(address => !excluded.has(address)).indexOf(self.address);
                return rank < 0 ? Number.POSITIVE_INFINITY : rank;
            },
        });
    }

    private isCandidate(): boolean {
        const members = this.options.board.read("members");
        const address = this.options.self.address;
        return this.ownerships.some(ownership =>
            assignment.rankCandidates(ownership.group, members).slice(0, 2)
                .some(candidate => candidate.incarnation.address === address)
        );
    }

    private applyRates(configuration: manifest.Configuration): void {
        const rates = this.ownerships.map(() => new Map<string, manifest.Rate>());
        for (const customer of configuration.customers.values()) {
            rates[assignment.groupOf(customer.name, rates.length)].set(customer.name, customer.rate);
        }
        this.ownerships.forEach((ownership, group) =>
            this.perform(ownership, ownership.setRates(rates[group], this.now()))
        );
    }

    private adoptPublished(holders: types.Holders): void {
        if (holders.version === 0) {
            return;
        }
        this.adoptRecords(holders);
    }

    private adoptRecords(holders: types.Holders): void {
        const byGroup = new Map(holders.groups.map(record => [record.group, record]));
        this.ownerships.forEach(ownership =>
            this.perform(ownership, ownership.adopt(byGroup.get(ownership.group), this.now()))
        );
    }

    private perform(ownership: ownerships.Ownership, actions: readonly messages.Action[]): void {
        for (const action of actions) {
            this.performOne(ownership, action);
        }
    }

    private performOne(ownership: ownerships.Ownership, action: messages.Action): void {
        switch (action.kind) {
            case "reply":
                this.pendingCalls.get(action.callId)?.(action.reply);
                this.pendingCalls.delete(action.callId);
                return;
            case "send-renewal":
                this.startTask(() => this.sendRenewal(ownership, action.to, action.renewal));
                return;
            case "probe":
                this.startTask(() => this.probe(action.incarnation));
                return;
            case "write":
                this.queuedChanges.push({ record: action.record, expectedEpoch: action.expectedEpoch });
                return;
            case "refresh":
                this.isRefreshRequested = true;
                return;
            case "log":
                this.options.journal.emit(action.event, {
                    group: ownership.group,
                    epoch: ownership.record?.epoch,
                    reason: action.reason,
                });
        }
    }

    private async sendRenewal(
        ownership: ownerships.Ownership,
        to: incarnations.Incarnation,
        renewal: messages.Renewal,
    ): Promise<void> {
        const reply = await this.options.transport.renew(to.address, renewal);
        this.perform(ownership, ownership.renewalFinished(renewal.epoch, renewal.sequence, reply, this.now()));
    }

    /** Probes an incarnation once for all groups. */
    private async probe(incarnation: incarnations.Incarnation): Promise<void> {
        const id = incarnations.incarnationId(incarnation);
        if (this.probesInProgress.has(id)) {
            return;
        }
        this.probesInProgress.add(id);
        try {
            if (await this.options.liveness.probe(incarnation) === "dead") {
                this.ownerships.forEach(ownership =>
                    this.perform(ownership, ownership.provedDead(incarnation, this.now()))
                );
            }
        }
        finally {
            this.probesInProgress.delete(id);
        }
        this.writeChanges();
    }

    /** Writes all queued changes in one update. Changes queued during a write are written after it. */
    private writeChanges(): void {
        if (this.isWriting || this.queuedChanges.length === 0 || this.isStopped) {
            return;
        }
        const changes = this.queuedChanges;
        this.queuedChanges = [];
        this.isWriting = true;
        this.startTask(() => this.writeHolders(changes));
    }

    private async writeHolders(changes: readonly holdersObjects.HolderChange[]): Promise<void> {
        let outcome: holdersObjects.WriteOutcome = {
            results: changes.map(change => ({ change, result: { kind: "unconfirmed" } })),
        };
        try {
            outcome = await holdersObjects.applyChanges(this.options.store, changes);
        }
        finally {
            this.isWriting = false;
            for (const { change, result } of outcome.results) {
                const ownership = this.ownerships[change.record.group];
                this.perform(ownership, ownership.writeFinished(change.record, result, this.now()));
            }
        }
        if (outcome.holders !== undefined) {
            this.publish(outcome.holders);
        }
        this.writeChanges();
    }

    private refresh(now: number): void {
        if (this.isReading) {
            return;
        }
        this.isReading = true;
        this.lastReadAt = now;
        this.startTask(() => this.readHolders());
    }

    private async readHolders(): Promise<void> {
        try {
            const found = await holdersObjects.read(this.options.store);
            if (found.ok) {
                this.isRefreshRequested = false;
                this.adoptRecords(found.value);
                this.publish(found.value);
            }
            else if (found.failure.kind === "budget-holders-invalid") {
                this.options.journal.emit("budget-holders-invalid", { reason: found.failure.detail });
            }
        }
        finally {
            this.isReading = false;
        }
    }

    private publish(holders: types.Holders): void {
        if (holders.version === 0) {
            return;
        }
        const value = { groups: holders.groups };
        this.options.documents.publish({ name: constants.HOLDERS_DOCUMENT, version: holders.version, value });
        holdersSections.updateHolders(this.options.board, holders);
    }

    private startTask(work: () => Promise<void>): void {
        const task = work().catch((error: unknown) => {
            const reason = error instanceof Error ? error.message : String(error);
            this.options.journal.emit("controller-step-failed", { controller: this.name, reason });
        }).finally(() => this.tasks.delete(task));
        this.tasks.add(task);
    }

    private now(): number {
        return this.options.clock.now();
    }
}
