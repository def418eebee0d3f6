/** Rollout controller of an agent: evaluates its own counts and, while it holds the lease, coordinates all rollouts. */
import type * as clocks from "../clock/clock.js";
import * as background from "../core/background.js";
import type * as controllers from "../core/controller.js";
import type * as event from "../core/event.js";
import type * as incarnations from "../core/incarnation.js";
import * as rendezvous from "../core/rendezvous.js";
import type * as boards from "../daemon/board.js";
import type * as gossip from "../gossip/types.js";
import type * as manifest from "../manifest/types.js";
import type * as membership from "../membership/types.js";
import type * as objectApi from "../object-api/types.js";
import * as outcomeTotals from "./collection.js";
import * as evidence from "./evidence.js";
import * as leases from "./lease.js";
import * as orderDispatchers from "./order-dispatcher.js";
import * as orderPlans from "./order-plan.js";
import type * as outcomeCounters from "./outcome-counter.js";
import * as rolloutFollowers from "./rollout-follower.js";
import * as servingPolicies from "./serving-policy.js";
import * as statusObjects from "./status-object.js";
import * as transitions from "./transition.js";
import type * as transports from "./transport.js";
import * as types from "./types.js";

export const STEP_INTERVAL_MS = 250;

const LEASE_INTERVAL_MS = 1000;
const COLLECTION_INTERVAL_MS = 500;
/** Agents that compete for the lease; reads by all agents would exhaust the request rate of the object API. */
const MAXIMUM_CANDIDATES = 3;

export interface RolloutControllerOptions {
    readonly self: incarnations.Incarnation;
    readonly board: boards.Board;
    readonly documents: gossip.Documents;
    readonly store: objectApi.ObjectStore;
    readonly liveness: membership.LivenessProbe;
    readonly transport: transports.RolloutTransport;
    readonly counter: outcomeCounters.OutcomeCounter;
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
}

export class RolloutController implements controllers.Controller {
    readonly name = "rollout";
    private readonly tasks: background.BackgroundTasks;
    private readonly lease: leases.LeaseManager;
    private readonly orders: orderDispatchers.OrderDispatcher;
    private readonly outcomeTotals = new Map<string, outcomeTotals.OutcomeTotals>();
    /** Statuses that this coordinator last wrote or confirmed, with the fencing number that it held. */
    private cachedStatuses:
        | { readonly fencingNumber: number; readonly content: statusObjects.StoredStatuses; }
        | undefined;
    private nextLeaseAt = Number.NEGATIVE_INFINITY;
    private nextCollectionAt = Number.NEGATIVE_INFINITY;

    constructor(private readonly options: RolloutControllerOptions) {
        const { journal, transport, clock, board } = options;
        this.tasks = new background.BackgroundTasks(this.name, journal);
        this.orders = new orderDispatchers.OrderDispatcher({ transport, clock, journal, tasks: this.tasks });
        this.lease = new leases.LeaseManager({
            ...options,
            knownFencingNumber: () => statusObjects.highestFencingNumber(board.read("rollouts").statuses),
        });
    }

    async step(now: number): Promise<void> {
        this.evaluateOwnCounts(now);
        this.dropEndedRollouts();
        const isHolder = this.lease.fencingNumber(now) !== undefined;
        if (!this.hasWork() || this.options.board.read("draining")) {
            if (isHolder) {
                this.tasks.start("lease", () => this.lease.release());
            }
            return;
        }
        if (!isHolder && !this.isCandidate()) {
            return;
        }
        if (now >= this.nextLeaseAt) {
            this.nextLeaseAt = now + LEASE_INTERVAL_MS;
            this.tasks.start("lease", () => this.lease.step());
        }
        // During an outage of the object API no agent can hold the lease, but finding a regression doesn't need it.
        if (now >= this.nextCollectionAt && (isHolder || !this.lease.isStoreReachable)) {
            this.nextCollectionAt = now + COLLECTION_INTERVAL_MS;
            this.tasks.start("collect", () => this.collect());
        }
        if (isHolder) {
            this.tasks.start("coordinate", () => this.coordinate());
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.tasks[Symbol.asyncDispose]();
        if (this.lease.fencingNumber(this.options.clock.now()) !== undefined) {
            await this.lease.release();
        }
    }

    /** Publishes a veto if this agent's own counts show a regression; needs no coordinator and no object API. */
    private evaluateOwnCounts(now: number): void {
        const { board, counter } = this.options;
        const agents = [...board.read("members").values()].filter(member => member.role === "agent").length;
        for (const rollout of this.rolloutsInProgress()) {
            const counts = counter.counts(types.identityOf(rollout), now);
            this.publishVeto(
                rollout,
                evidence.findRegression(counts, rollout, evidence.agentErrorProbability(agents)),
            );
        }
    }

    private publishVeto(rollout: manifest.Rollout, reason: string | undefined): void {
        const { documents, journal } = this.options;
        const document = statusObjects.vetoDocument(types.identityOf(rollout), reason ?? "");
        if (reason !== undefined && documents.publish(document)) {
            journal.emit("rollout-vetoed", { rollout: rollout.name, reason });
        }
    }

    private rolloutsInProgress(): readonly manifest.Rollout[] {
        const { board, clock } = this.options;
        const rollouts = board.read("rollouts");
        return board.read("configuration").rollouts
            .filter(rollout => servingPolicies.isInProgress(rollout, rollouts, clock.wallTime()));
    }

    private dropEndedRollouts(): void {
        const identities = new Set(this.rolloutsInProgress().map(types.identityOf));
        this.options.counter.retain(identities);
        [...this.outcomeTotals.keys()].filter(identity => !identities.has(identity))
            .forEach(identity => this.outcomeTotals.delete(identity));
    }

    /** True while a rollout is not in a terminal phase or a server has weights to load or unload. */
    private hasWork(): boolean {
        const { board } = this.options;
        const configuration = board.read("configuration");
        const rollouts = board.read("rollouts");
        const hasUnfinishedRollout = configuration.rollouts.some(rollout => {
            const status = types.statusOf(rollouts, rollout);
            const isVetoed = rollouts.vetoes.has(types.identityOf(rollout));
            return status === undefined || !transitions.isTerminal(status) || (isVetoed && status.phase === "done");
        });
        const hasUndeclaredRollout = configuration.version > 0
            && rollouts.statuses.some(status => !transitions.isTerminal(status));
        // Servers in backoff count as work; otherwise the lease would be released between two attempts.
        const input = this.planInput(rollouts);
        const servers = input.servers.map(server => ({ ...server, isBackingOff: false }));
        return hasUnfinishedRollout || hasUndeclaredRollout
            || orderPlans.requiredOrders({ ...input, servers }).length > 0;
    }

    private isCandidate(): boolean {
        const { board, self } = this.options;
        const agents = [...board.read("members").values()]
            .filter(member => member.role === "agent" && member.state === "live")
            .map(member => ({ id: member.incarnation.address, weight: 1 }));
        return rendezvous.rank("rollout-coordinator", agents)
            .slice(0, MAXIMUM_CANDIDATES)
            .some(node => node.id === self.address);
    }

    private async collect(): Promise<void> {
        await Promise.all(this.rolloutsInProgress().map(rollout => this.collectFor(rollout)));
    }

    private async collectFor(rollout: manifest.Rollout): Promise<void> {
        const identity = types.identityOf(rollout);
        const totals = this.outcomeTotals.get(identity) ?? new outcomeTotals.OutcomeTotals();
        this.outcomeTotals.set(identity, totals);
        const servers = orderPlans.serversOf(this.servers(), rollout.model);
        await Promise.all(servers.map(async server => {
            const reply = await this.options.transport.outcomes(server.address, identity);
            if (reply.ok) {
                totals.add(reply.value);
            }
        }));
        this.publishVeto(
            rollout,
            evidence.findRegression(totals.total(), rollout, evidence.COORDINATOR_ERROR_PROBABILITY),
        );
    }

    /**
     * One round of the lease holder: reads the statuses once per lease, computes and writes the next ones, publishes
     * them and sends orders.
     */
    private async coordinate(): Promise<void> {
        const { clock, documents } = this.options;
        const fencingNumber = this.lease.fencingNumber(clock.now());
        if (fencingNumber === undefined) {
            return;
        }
        const base = await this.readStatuses(fencingNumber);
        if (base === undefined || this.lease.fencingNumber(clock.now()) !== fencingNumber) {
            return;
        }
        const current = await this.writeStatuses(base, fencingNumber);
        if (current === undefined || this.lease.fencingNumber(clock.now()) !== fencingNumber) {
            return;
        }
        if (current.version > 0) {
            documents.publish(statusObjects.toDocument(current));
        }
        const rollouts = { ...this.options.board.read("rollouts"), ...current };
        this.orders.dispatch(this.planInput(rollouts), fencingNumber);
    }

    private async readStatuses(fencingNumber: number): Promise<statusObjects.StoredStatuses | undefined> {
        if (this.cachedStatuses?.fencingNumber === fencingNumber) {
            return this.cachedStatuses.content;
        }
        const found = await statusObjects.read(this.options.store);
        if (found.ok) {
            return found.value;
        }
        if (found.failure.kind === "rollout-status-invalid") {
            this.options.journal.emit("rollout-status-invalid", { reason: found.failure.detail });
        }
        return undefined;
    }

    /**
     * Writes the next statuses. The first write under a new fencing number precedes any order and sets the number in
     * the statuses, so that a delayed write of the previous coordinator fails with a version conflict.
     */
    private async writeStatuses(
        base: statusObjects.StoredStatuses,
        fencingNumber: number,
    ): Promise<statusObjects.StoredStatuses | undefined> {
        const { board, clock, store } = this.options;
        const rollouts = { ...board.read("rollouts"), statuses: base.statuses };
        const observe = (rollout: manifest.Rollout) => this.observationOf(rollout);
        const configuration = board.read("configuration");
        const next = transitions.advanceAll(configuration, rollouts, observe, fencingNumber, clock.wallTime());
        const stamped = transitions.withFencingNumber(next, fencingNumber);
        const isUnchanged = JSON.stringify(stamped) === JSON.stringify(base.statuses);
        const written = isUnchanged
            ? { ok: true as const, value: base }
            : await statusObjects.write(store, base, stamped, fencingNumber);
        if (!written.ok) {
            this.cachedStatuses = undefined;
            return undefined;
        }
        this.cachedStatuses = { fencingNumber, content: written.value };
        this.logChanges(base.statuses, written.value.statuses);
        return written.value;
    }

    private observationOf(rollout: manifest.Rollout): transitions.RolloutObservation {
        const identity = types.identityOf(rollout);
        const servers = orderPlans.serversOf(this.servers(), rollout.model).filter(server => !server.isBackingOff);
        const counts = this.outcomeTotals.get(identity)?.total() ?? [];
        return {
            vetoReason: rolloutFollowers.vetoReason(this.options.documents, identity),
            suspectedRegression: evidence.findSuspectedRegression(counts, rollout),
            serverCount: servers.length,
            loadedCount: servers.filter(server => orderPlans.isLoaded(server, rollout.model, rollout.to)).length,
            hasSufficientRequests: evidence.hasSufficientRequests(counts, rollout),
        };
    }

    private planInput(rollouts: types.Rollouts): orderPlans.PlanInput {
        const { board, clock } = this.options;
        return {
            configuration: board.read("configuration"),
            rollouts,
            servers: this.servers(),
            inFlight: this.orders.inFlight,
            awaitingVisibility: this.orders.awaitingVisibility(clock.now()),
            wallTime: clock.wallTime(),
        };
    }

    /** Engines that the manifest declares and whose agent and engine are running. */
    private servers(): readonly orderPlans.Server[] {
        const { board, clock } = this.options;
        const { backendServers } = board.read("configuration");
        return [...board.read("members").values()].flatMap(member => {
            const declared = backendServers.get(member.backendServer);
            const isEngine = declared?.kind === "engine" && member.state === "live" && member.backendBoot !== "";
            return isEngine
                ? [{
                    address: member.incarnation.address,
                    models: declared.models,
                    weights: member.weights,
                    isBackingOff: this.orders.isBackingOff(member.incarnation.address, clock.now()),
                }]
                : [];
        });
    }

    private logChanges(before: readonly types.RolloutStatus[], after: readonly types.RolloutStatus[]): void {
        const previousByIdentity = new Map(before.map(status => [types.identityOfStatus(status), status]));
        for (const status of after) {
            const previous = previousByIdentity.get(types.identityOfStatus(status));
            if (previous?.phase === status.phase && previous.share === status.share) {
                continue;
            }
            const { rollout, phase, share, reason } = status;
            const name = phase === "rolled-back" ? "rollout-rolled-back" : "rollout-changed";
            this.options.journal.emit(name, { rollout, phase, share, reason });
        }
    }
}
