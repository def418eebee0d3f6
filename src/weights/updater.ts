/** Polls the server of an agent and updates it to the desired weights. Only this process sends orders to the server. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import type * as fleet from "../fleet/types.js";
import type * as peering from "../peering/types.js";
import * as positions from "../store-access/position.js";
import * as desiredVersions from "./desired-versions.js";
import * as fencingTokens from "./fencing-token.js";
import * as rollingUpdates from "./rolling-update.js";
import type * as types from "./types.js";
import * as updateSteps from "./update-step.js";

/** Interval in milliseconds for polling the server's state, which costs nothing on the same instance. */
const POLL_INTERVAL_MS = 100;
/** Consecutive failed reads after which the server is reported as dead. */
const MAXIMUM_FAILED_READS = 2;

export interface UpdaterPorts {
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    readonly engine: types.EnginePort;
    readonly address: string;
    /** Calls compete for the servers: an update waits longer for those that the server has. */
    readonly isContended?: boolean;
    /** The other servers with the model that respond, according to the recent heartbeats of their agents. */
    readonly neighbours: (model: string) => readonly rollingUpdates.ServerStatus[];
    /** Sends the current report to the entries immediately. */
    readonly announce: () => void;
}

export class WeightsUpdater implements AsyncDisposable {
    private engine: types.EngineState | undefined;
    private failedReads = 0;
    /** Update in progress; the updates of other models follow it, since the server carries out one order at a time. */
    private update: updateSteps.UpdateState | undefined;
    private readonly histories = new Map<string, desiredVersions.DesiredVersionHistory>();
    private timer: NodeJS.Timeout | undefined;
    private isStopped = false;

    constructor(private readonly ports: UpdaterPorts) {}

    start(): void {
        void this.tick();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.isStopped = true;
        clearTimeout(this.timer);
        return Promise.resolve();
    }

    /** Adopts desired weights from the store or a peer; a version that is not newer is ignored. */
    adoptDesiredWeights(weights: fleet.DesiredWeights): void {
        const history = this.histories.get(weights.model) ?? new desiredVersions.DesiredVersionHistory(0);
        this.histories.set(weights.model, history);
        if (history.add(weights, this.ports.clock.now())) {
            const { model, version, position } = weights;
            this.ports.journal.emit("weights-named", { model, version, ...position });
        }
    }

    /** Newest desired weights of each model. */
    desiredWeights(): readonly fleet.DesiredWeights[] {
        return [...this.histories.values()].map(history => history.newest).filter(newest => newest !== undefined);
    }

    /** State of the server for the next heartbeat. */
    report(): peering.ServerReport {
        const weights = [...this.engine?.weights ?? []].map(([model, version]) => ({ model, version }));
        return {
            address: this.ports.address,
            isAlive: this.failedReads < MAXIMUM_FAILED_READS,
            startedAt: this.engine?.startedAt,
            weights,
            isUpdatingWeights: this.update?.announcedAt !== undefined || this.engine?.isBusy === true,
            isUpdatePending: this.update !== undefined && this.update.announcedAt === undefined,
            running: this.engine?.running ?? 0,
            waiting: this.engine?.waiting ?? 0,
        };
    }

    private async tick(): Promise<void> {
        const startedAt = this.ports.clock.now();
        try {
            await this.readState();
            for (const history of this.histories.values()) {
                await this.step(history);
            }
        }
        catch (error) {
            const reason = (error as Error).stack ?? String(error);
            this.ports.journal.emit("controller-step-failed", { controller: "weights", reason });
        }
        if (!this.isStopped) {
            const elapsed = this.ports.clock.now() - startedAt;
            this.timer = setTimeout(() => void this.tick(), Math.max(0, POLL_INTERVAL_MS - elapsed));
        }
    }

    private async readState(): Promise<void> {
        const state = await this.ports.engine.state();
        const { address } = this.ports;
        if (state === undefined) {
            this.failedReads++;
            if (this.failedReads === MAXIMUM_FAILED_READS) {
                this.ports.journal.emit("engine-lost", { address });
                this.ports.announce();
            }
            return;
        }
        const wasLost = this.failedReads >= MAXIMUM_FAILED_READS || this.engine === undefined;
        this.failedReads = 0;
        const hasChanged = this.engine?.isBusy !== state.isBusy;
        this.engine = state;
        if (wasLost) {
            this.ports.journal.emit("engine-regained", { address, startedAt: state.startedAt });
        }
        if (wasLost || hasChanged) {
            this.ports.announce();
        }
    }

    private async step(history: desiredVersions.DesiredVersionHistory): Promise<void> {
        const desired = history.newest;
        const isOtherModelUpdated = this.update !== undefined && this.update.model !== desired?.model;
        if (desired === undefined || isOtherModelUpdated) {
            return;
        }
        const now = this.ports.clock.now();
        const engine = this.failedReads === 0 ? this.engine : undefined;
        const step = updateSteps.nextStep(
            {
                engine,
                desired,
                fencingToken: this.fencingToken(),
                timing: this.updateTiming(history, desired, now),
                update: this.update,
                isContended: this.ports.isContended === true,
            },
            now,
        );
        await STEP_HANDLERS[step.kind](this, step as never, now);
    }

    /** The latest position of all models, since the server compares the tokens of all orders. */
    private fencingToken(): number {
        const latest = this.desiredWeights().map(weights => weights.position).reduce(
            positions.latest,
            positions.NOWHERE,
        );
        return fencingTokens.fencingToken(latest);
    }

    private updateTiming(
        history: desiredVersions.DesiredVersionHistory,
        desired: fleet.DesiredWeights,
        now: number,
    ): rollingUpdates.UpdateTiming {
        const version = this.engine?.weights.get(desired.model) ?? 0;
        const self = {
            address: this.ports.address,
            version,
            isUpdatingWeights: this.update?.announcedAt !== undefined,
        };
        const outdatedForMs = history.outdatedForMs(version, now) ?? 0;
        return rollingUpdates.updateTiming(self, desired.version, outdatedForMs, this.ports.neighbours(desired.model));
    }

    /** @internal Called by `STEP_HANDLERS`. */
    begin(update: updateSteps.UpdateState): void {
        this.update = update;
        this.ports.announce();
    }

    /** @internal Called by `STEP_HANDLERS`. */
    async send(order: types.VersionOrder, now: number): Promise<void> {
        this.update = { ...this.update!, orderedAt: now };
        const outcome = await this.ports.engine.order(order);
        const { model, version, fencingToken, expectedOrderCount } = order;
        this.ports.journal.emit("weights-ordered", { model, version, outcome, fencingToken, expectedOrderCount });
    }

    /** @internal Called by `STEP_HANDLERS`. */
    finish(version: number, now: number): void {
        const { announcedAt = now, pendingSince = now, version: ordered } = this.update ?? {};
        this.ports.journal.emit("weights-moved", {
            version,
            ordered,
            elapsedMs: Math.round(now - announcedAt),
            windingDownMs: Math.round(announcedAt - pendingSince),
        });
        this.abandon();
    }

    /** @internal Called by `STEP_HANDLERS`. */
    abandon(): void {
        this.update = undefined;
        this.ports.announce();
    }
}

type StepHandlers = {
    readonly [Kind in updateSteps.UpdateStep["kind"]]: (
        updater: WeightsUpdater,
        step: Extract<updateSteps.UpdateStep, { readonly kind: Kind; }>,
        now: number,
    ) => Promise<void> | void;
};

const STEP_HANDLERS: StepHandlers = {
    idle: () => undefined,
    wait: () => undefined,
    "set-pending": (updater, step) => updater.begin(step.update),
    announce: (updater, step) => updater.begin(step.update),
    order: (updater, step, now) => updater.send(step.order, now),
    finish: (updater, step, now) => updater.finish(step.version, now),
    abandon: updater => updater.abandon(),
};
