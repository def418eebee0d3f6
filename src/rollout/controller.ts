/** Coordinates version rollouts on one agent at a time; on each agent judges the own counts. */
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
import * as collections from "./collection.js";
import * as effects from "./effect.js";
import * as evidence from "./evidence.js";
import * as leases from "./lease.js";
import * as orderDispatch from "./order-dispatch.js";
import * as orderPlans from "./order-plan.js";
import type * as outcomeCounters from "./outcome-counter.js";
import * as progress from "./progress.js";
import * as sections from "./section.js";
import * as statusObjects from "./status-object.js";
import type * as transports from "./transport.js";
import * as types from "./types.js";

export const STEP_INTERVAL_MS = 250;

const LEASE_INTERVAL_MS = 1000;
const COLLECTION_INTERVAL_MS = 500;
/** Agents that compete for the lease; reads by all agents would use up the rate of the object API. */
const CANDIDATES = 3;

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
    private readonly lease: leases.LeaseKeeper;
    private readonly orders: orderDispatch.OrderDispatch;
    private readonly collections = new Map<string, collections.Collection>();
    /** Statuses as this coordinator last read or wrote them, and the fencing number under which it did. */
    private stored: { readonly fencingNumber: number; readonly content: statusObjects.StoredStatuses; } | undefined;
    private nextLeaseAt = Number.NEGATIVE_INFINITY;
    private nextCollectionAt = Number.NEGATIVE_INFINITY;

    constructor(private readonly options: RolloutControllerOptions) {
        const { journal, transport, clock, board } = options;
        this.tasks = new background.BackgroundTasks(this.name, journal);
        this.orders = new orderDispatch.OrderDispatch({ transport, clock, journal, tasks: this.tasks });
        this.lease = new leases.LeaseKeeper({
            ...options,
            knownFencingNumber: () => statusObjects.highestFencingNumber(board.read("rollouts").statuses),
        });
    }

    async step(now: number): Promise<void> {
        this.judgeOwn(now);
        this.dropEnded();
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
        // While the object API is down nobody can hold the lease, but a proof needs none.
        if (now >= this.nextCollectionAt && (isHolder || !this.lease.storeAnswers)) {
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

    /** Any agent whose own counts are a proof writes the veto, also without a coordinator and without the store. */
    private judgeOwn(now: number): void {
        const { board, counter } = this.options;
        const agents = [...board.read("members").values()].filter(member => member.role === "agent").length;
        for (const rollout of this.openRollouts()) {
            const counts = counter.counts(types.identityOf(rollout), now);
            this.veto(rollout, evidence.findProof(counts, rollout, evidence.agentTestError(agents)));
        }
    }

    private veto(rollout: manifest.Rollout, reason: string | undefined): void {
        const { documents, journal } = this.options;
        const document = statusObjects.vetoDocument(types.identityOf(rollout), reason ?? "");
        if (reason !== undefined && documents.publish(document)) {
            journal.emit("rollout-vetoed", { rollout: rollout.name, reason });
        }
    }

    private openRollouts(): readonly manifest.Rollout[] {
        const { board, clock } = this.options;
        const rollouts = board.read("rollouts");
        return board.read("configuration").rollouts
            .filter(rollout => effects.isOpen(rollout, rollouts, clock.wallTime()));
    }

    private dropEnded(): void {
        const identities = new Set(this.openRollouts().map(types.identityOf));
        this.options.counter.retain(identities);
        [...this.collections.keys()].filter(identity => !identities.has(identity))
            .forEach(identity => this.collections.delete(identity));
    }

    /** A rollout that is not settled, or a server that lacks weights or has superfluous ones. */
    private hasWork(): boolean {
        const { board } = this.options;
        const configuration = board.read("configuration");
        const rollouts = board.read("rollouts");
        const unsettled = configuration.rollouts.some(rollout => {
            const status = types.statusOf(rollouts, rollout);
            const isVetoed = rollouts.vetoes.has(types.identityOf(rollout));
            return status === undefined || !progress.isSettled(status) || (isVetoed && status.phase === "done");
        });
        const orphaned = configuration.version > 0 && rollouts.statuses.some(status => !progress.isSettled(status));
        // A server whose orders fail is still work; otherwise the lease would be released between two attempts.
        const input = this.planInput(rollouts);
        const servers = input.servers.map(server => ({ ...server, failing: false }));
        return unsettled || orphaned || orderPlans.wantedOrders({ ...input, servers }).length > 0;
    }

    private isCandidate(): boolean {
        const { board, self } = this.options;
        const agents = [...board.read("members").values()]
            .filter(member => member.role === "agent" && member.state === "live")
            .map(member => ({ id: member.incarnation.address, weight: 1 }));
        return rendezvous.rank("rollout-coordinator", agents)
            .slice(0, CANDIDATES)
            .some(node => node.id === self.address);
    }

    private async collect(): Promise<void> {
        await Promise.all(this.openRollouts().map(rollout => this.collectFor(rollout)));
    }

    private async collectFor(rollout: manifest.Rollout): Promise<void> {
        const identity = types.identityOf(rollout);
        const collection = this.collections.get(identity) ?? new collections.Collection();
        this.collections.set(identity, collection);
        const servers = orderPlans.serversOf(this.servers(), rollout.model);
        await Promise.all(servers.map(async server => {
            const reply = await this.options.transport.outcomes(server.address, identity);
            if (reply.ok) {
                collection.add(reply.value);
            }
        }));
        this.veto(rollout, evidence.findProof(collection.total(), rollout, evidence.COORDINATOR_TEST_ERROR));
    }

    /** One round under the lease: read the statuses once, decide, write, publish, and give orders. */
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
        this.orders.give(this.planInput(rollouts), fencingNumber);
    }

    private async readStatuses(fencingNumber: number): Promise<statusObjects.StoredStatuses | undefined> {
        if (this.stored?.fencingNumber === fencingNumber) {
            return this.stored.content;
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
     * Writes the next statuses. The first write under a fencing number comes before any order and stamps the number on
     * the statuses, so that a delayed write of the former coordinator meets a newer version.
     */
    private async writeStatuses(
        base: statusObjects.StoredStatuses,
        fencingNumber: number,
    ): Promise<statusObjects.StoredStatuses | undefined> {
        const { board, clock, store } = this.options;
        const rollouts = { ...board.read("rollouts"), statuses: base.statuses };
        const viewOf = (rollout: manifest.Rollout) => this.viewOf(rollout);
        const configuration = board.read("configuration");
        const next = progress.advanceAll(configuration, rollouts, viewOf, fencingNumber, clock.wallTime());
        const stamped = progress.stamp(next, fencingNumber);
        const isUnchanged = JSON.stringify(stamped) === JSON.stringify(base.statuses);
        const written = isUnchanged
            ? { ok: true as const, value: base }
            : await statusObjects.write(store, base, stamped, fencingNumber);
        if (!written.ok) {
            this.stored = undefined;
            return undefined;
        }
        this.stored = { fencingNumber, content: written.value };
        this.report(base.statuses, written.value.statuses);
        return written.value;
    }

    private viewOf(rollout: manifest.Rollout): progress.View {
        const identity = types.identityOf(rollout);
        const servers = orderPlans.serversOf(this.servers(), rollout.model).filter(server => !server.failing);
        const counts = this.collections.get(identity)?.total() ?? [];
        return {
            veto: sections.vetoReason(this.options.documents, identity),
            suspicion: evidence.findSuspicion(counts, rollout),
            servers: servers.length,
            loaded: servers.filter(server => orderPlans.isLoaded(server, rollout.model, rollout.to)).length,
            isSufficient: evidence.isSufficient(counts, rollout),
        };
    }

    private planInput(rollouts: types.Rollouts): orderPlans.PlanInput {
        const { board, clock } = this.options;
        return {
            configuration: board.read("configuration"),
            rollouts,
            servers: this.servers(),
            inFlight: this.orders.inFlight,
            settling: this.orders.settling(clock.now()),
            wallTime: clock.wallTime(),
        };
    }

    /** Engines that the manifest names and whose agent and engine are up. */
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
                    failing: this.orders.isFailing(member.incarnation.address, clock.now()),
                }]
                : [];
        });
    }

    private report(before: readonly types.RolloutStatus[], after: readonly types.RolloutStatus[]): void {
        const known = new Map(before.map(status => [types.identityOfStatus(status), status]));
        for (const status of after) {
            const former = known.get(types.identityOfStatus(status));
            if (former?.phase === status.phase && former.share === status.share) {
                continue;
            }
            const { rollout, phase, share, reason } = status;
            const name = phase === "rolled-back" ? "rollout-rolled-back" : "rollout-changed";
            this.options.journal.emit(name, { rollout, phase, share, reason });
        }
    }
}
