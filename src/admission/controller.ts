/** Runs the ownership of all groups on an agent: renewals, probes, changes of the holders. */
import type * as clocks from "../clock/clock.js";
import type * as cores from "../core/controller.js";
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

export interface Dependencies {
    readonly self: incarnations.Incarnation;
    readonly board: boards.Board;
    readonly store: objectApi.ObjectStore;
    readonly documents: gossip.Documents;
    readonly liveness: membership.LivenessProbe;
    readonly transport: transports.Transport;
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    /** Number of customer groups; the same in all processes. */
    readonly groups?: number;
}

/** Longest interval between two steps at which renewals keep their schedule. */
export const STEP_INTERVAL_MS = 50;

const REFRESH_INTERVAL_MS = 200;

/** Interval at which an agent that could be a holder reads the object while no document names holders. */
const VACANCY_REFRESH_INTERVAL_MS = 1000;

export class BudgetController implements cores.Controller {
    readonly name = "budgets";
    private readonly ownerships: readonly ownerships.Ownership[];
    private readonly calls = new Map<number, (reply: messages.AcquireReply) => void>();
    private readonly tasks = new Set<Promise<void>>();
    private readonly probing = new Set<string>();
    private readonly subscriptions: readonly Disposable[];
    private changes: holdersObjects.HolderChange[] = [];
    private writing = false;
    private reading = false;
    private refreshWanted = false;
    private lastReadAt = Number.NEGATIVE_INFINITY;
    private lastCall = 0;
    private stopped = false;

    constructor(private readonly dependencies: Dependencies) {
        const { board, documents, journal } = dependencies;
        const groups = dependencies.groups ?? constants.DEFAULT_GROUPS;
        this.ownerships = Array.from({ length: groups }, (_, group) => this.createOwnership(group));
        this.applyRates(board.read("configuration"));
        this.subscriptions = [
            board.subscribe("configuration", configuration => this.applyRates(configuration)),
            board.subscribe("holders", holders => this.adopt(holders)),
            board.subscribe("draining", draining => {
                if (draining) {
                    this.ownerships.forEach(owner => this.perform(owner, owner.drain(this.now())));
                }
            }),
            holdersSections.followHolders(documents, board, journal),
        ];
        this.adopt(board.read("holders"));
    }

    async step(now: number): Promise<void> {
        if (this.stopped) {
            return;
        }
        this.ownerships.forEach(owner => this.perform(owner, owner.tick(now)));
        const vacant = this.dependencies.board.read("holders").version === 0;
        const interval = this.refreshWanted ? REFRESH_INTERVAL_MS : VACANCY_REFRESH_INTERVAL_MS;
        if ((this.refreshWanted || (vacant && this.isCandidate())) && now >= this.lastReadAt + interval) {
            this.refresh(now);
        }
        this.writeChanges();
    }

    /** Resolves when the holder has decided; at the latest after the deferral limit and one step. */
    acquire(group: number, epoch: number, demands: readonly messages.Demand[]): Promise<messages.AcquireReply> {
        const owner = this.ownerships.at(group);
        if (owner === undefined || group < 0 || this.stopped) {
            const failure = { kind: "budget-not-holder", detail: `group ${group}` } as const;
            return Promise.resolve({ epoch: 0, grants: [], failure, primaryAddress: "" });
        }
        const call = ++this.lastCall;
        return new Promise(resolve => {
            this.calls.set(call, resolve);
            this.perform(owner, owner.acquire(call, epoch, demands, this.now()));
        });
    }

    renew(renewal: messages.Renewal): messages.RenewalReply {
        const owner = this.ownerships.at(renewal.group);
        if (owner === undefined || this.stopped) {
            const failure = { kind: "budget-renewal-refused", detail: `group ${renewal.group}` } as const;
            return { granted: false, epoch: 0, sequence: renewal.sequence, failure };
        }
        const { reply, actions } = owner.renewal(renewal, this.now());
        this.perform(owner, actions);
        return reply;
    }

    /** True when this process holds no group as primary; a draining agent waits for it before it exits. */
    get idle(): boolean {
        return this.ownerships.every(owner => owner.roleName !== "primary");
    }

    /**
     * Stops granting and waits for the calls under way. Dispose it before the RPC server closes: a refused connection
     * counts as proof of death, and another agent then grants.
     */
    async [Symbol.asyncDispose](): Promise<void> {
        this.stopped = true;
        this.subscriptions.forEach(subscription => subscription[Symbol.dispose]());
        this.ownerships.forEach(owner => this.perform(owner, owner.stop()));
        await Promise.all([...this.tasks]);
    }

    private createOwnership(group: number): ownerships.Ownership {
        const { self, board } = this.dependencies;
        const candidates = () => assignment.candidatesFor(group, board.read("members"));
        return new ownerships.Ownership(group, self, {
            standby: excluded => assignment.standbyFor(self.address, candidates(), excluded),
            position: excluded => {
                const addresses = candidates().map(candidate => candidate.incarnation.address);
                const position = addresses.filter(address => !excluded.has(address)).indexOf(self.address);
                return position < 0 ? Number.POSITIVE_INFINITY : position;
            },
        });
    }

    private isCandidate(): boolean {
        const members = this.dependencies.board.read("members");
        const address = this.dependencies.self.address;
        return this.ownerships.some(owner =>
            assignment.candidatesFor(owner.group, members).slice(0, 2)
                .some(candidate => candidate.incarnation.address === address)
        );
    }

    private applyRates(configuration: manifest.Configuration): void {
        const rates = this.ownerships.map(() => new Map<string, manifest.Rate>());
        for (const customer of configuration.customers.values()) {
            rates[assignment.groupOf(customer.name, rates.length)].set(customer.name, customer.rate);
        }
        this.ownerships.forEach((owner, group) => this.perform(owner, owner.setRates(rates[group], this.now())));
    }

    private adopt(holders: types.Holders): void {
        if (holders.version === 0) {
            return;
        }
        this.adoptRead(holders);
    }

    private adoptRead(holders: types.Holders): void {
        const byGroup = new Map(holders.groups.map(holder => [holder.group, holder]));
        this.ownerships.forEach(owner => this.perform(owner, owner.adopt(byGroup.get(owner.group), this.now())));
    }

    private perform(owner: ownerships.Ownership, actions: readonly messages.Action[]): void {
        for (const action of actions) {
            this.performOne(owner, action);
        }
    }

    private performOne(owner: ownerships.Ownership, action: messages.Action): void {
        switch (action.kind) {
            case "reply":
                this.calls.get(action.call)?.(action.reply);
                this.calls.delete(action.call);
                return;
            case "send-renewal":
                this.run(() => this.sendRenewal(owner, action.to, action.renewal));
                return;
            case "probe":
                this.run(() => this.probe(action.incarnation));
                return;
            case "write":
                this.changes.push({ holder: action.holder, expectedEpoch: action.expectedEpoch });
                return;
            case "refresh":
                this.refreshWanted = true;
                return;
            case "notify":
                this.dependencies.journal.emit(action.event, {
                    group: owner.group,
                    epoch: owner.holder?.epoch,
                    reason: action.reason,
                });
        }
    }

    private async sendRenewal(
        owner: ownerships.Ownership,
        to: incarnations.Incarnation,
        renewal: messages.Renewal,
    ): Promise<void> {
        const reply = await this.dependencies.transport.renew(to.address, renewal);
        this.perform(owner, owner.renewalFinished(renewal.epoch, renewal.sequence, reply, this.now()));
    }

    /** One probe per incarnation serves all groups. */
    private async probe(incarnation: incarnations.Incarnation): Promise<void> {
        const id = incarnations.incarnationId(incarnation);
        if (this.probing.has(id)) {
            return;
        }
        this.probing.add(id);
        try {
            if (await this.dependencies.liveness.probe(incarnation) === "dead") {
                this.ownerships.forEach(owner => this.perform(owner, owner.proved(incarnation, this.now())));
            }
        }
        finally {
            this.probing.delete(id);
        }
        this.writeChanges();
    }

    /** Writes all changes that have come together; the next ones wait for the present write. */
    private writeChanges(): void {
        if (this.writing || this.changes.length === 0 || this.stopped) {
            return;
        }
        const changes = this.changes;
        this.changes = [];
        this.writing = true;
        this.run(() => this.writeHolders(changes));
    }

    private async writeHolders(changes: readonly holdersObjects.HolderChange[]): Promise<void> {
        let outcome: holdersObjects.WriteOutcome = {
            results: changes.map(change => ({ change, result: { kind: "unconfirmed" } })),
        };
        try {
            outcome = await holdersObjects.change(this.dependencies.store, changes);
        }
        finally {
            this.writing = false;
            for (const { change, result } of outcome.results) {
                const owner = this.ownerships[change.holder.group];
                this.perform(owner, owner.writeFinished(change.holder, result, this.now()));
            }
        }
        if (outcome.holders !== undefined) {
            this.spread(outcome.holders);
        }
        this.writeChanges();
    }

    private refresh(now: number): void {
        if (this.reading) {
            return;
        }
        this.reading = true;
        this.lastReadAt = now;
        this.run(() => this.readHolders());
    }

    private async readHolders(): Promise<void> {
        try {
            const found = await holdersObjects.read(this.dependencies.store);
            if (found.ok) {
                this.refreshWanted = false;
                this.adoptRead(found.value);
                this.spread(found.value);
            }
            else if (found.failure.kind === "budget-holders-invalid") {
                this.dependencies.journal.emit("budget-holders-invalid", { reason: found.failure.detail });
            }
        }
        finally {
            this.reading = false;
        }
    }

    private spread(holders: types.Holders): void {
        if (holders.version === 0) {
            return;
        }
        const value = { groups: holders.groups };
        this.dependencies.documents.publish({ name: constants.HOLDERS_DOCUMENT, version: holders.version, value });
        holdersSections.noteHolders(this.dependencies.board, holders);
    }

    private run(work: () => Promise<void>): void {
        const task = work().catch((error: unknown) => {
            const reason = error instanceof Error ? error.message : String(error);
            this.dependencies.journal.emit("controller-step-failed", { controller: this.name, reason });
        }).finally(() => this.tasks.delete(task));
        this.tasks.add(task);
    }

    private now(): number {
        return this.dependencies.clock.now();
    }
}
