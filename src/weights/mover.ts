/** Follows the server beside an agent and moves it to the newest weights. The only process that orders this server. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import type * as fleet from "../fleet/types.js";
import type * as peering from "../peering/types.js";
import * as moves from "./move.js";
import * as namingHistories from "./naming-history.js";
import * as turns from "./turn.js";
import type * as types from "./types.js";

/** Period in milliseconds of reading the server's state, which is free on its own instance. */
const PERIOD_MS = 100;
/** Failed reads in a row after which the server is reported as dead. */
const FAILED_READS = 2;

export interface MoverPorts {
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    readonly engine: types.EnginePort;
    readonly address: string;
    /** The other servers with the model that answer, as far as their agents were heard of late. */
    readonly neighbours: (model: string) => readonly turns.Standing[];
    /** Tells the entries about a change at once. */
    readonly announce: () => void;
}

export class Mover implements AsyncDisposable {
    private engine: types.EngineState | undefined;
    private failedReads = 0;
    private move: moves.MoveState | undefined;
    private readonly named = new Map<string, namingHistories.NamingHistory>();
    private timer: NodeJS.Timeout | undefined;
    private isStopped = false;

    constructor(private readonly ports: MoverPorts) {}

    start(): void {
        void this.tick();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.isStopped = true;
        clearTimeout(this.timer);
        return Promise.resolve();
    }

    /** Takes over weights that were named, from the store or from a peer. */
    name(weights: fleet.NamedWeights): void {
        const history = this.named.get(weights.model) ?? new namingHistories.NamingHistory(0);
        this.named.set(weights.model, history);
        if (history.add(weights, this.ports.clock.now())) {
            const { model, version, revision } = weights;
            this.ports.journal.emit("weights-named", { model, version, revision });
        }
    }

    namedWeights(): readonly fleet.NamedWeights[] {
        return [...this.named.values()].map(history => history.newest).filter(newest => newest !== undefined);
    }

    report(): peering.ServerReport {
        const weights = [...this.engine?.weights ?? []].map(([model, version]) => ({ model, version }));
        return {
            address: this.ports.address,
            isAlive: this.failedReads < FAILED_READS,
            startedAt: this.engine?.startedAt,
            weights,
            isLoadingWeights: this.move?.announcedAt !== undefined || this.engine?.isBusy === true,
            loadsWeightsSoon: this.move !== undefined && this.move.announcedAt === undefined,
            running: this.engine?.running ?? 0,
            waiting: this.engine?.waiting ?? 0,
        };
    }

    private async tick(): Promise<void> {
        const startedAt = this.ports.clock.now();
        await this.read();
        for (const history of this.named.values()) {
            await this.step(history);
        }
        if (!this.isStopped) {
            const elapsed = this.ports.clock.now() - startedAt;
            this.timer = setTimeout(() => void this.tick(), Math.max(0, PERIOD_MS - elapsed));
        }
    }

    private async read(): Promise<void> {
        const state = await this.ports.engine.state();
        const { address } = this.ports;
        if (state === undefined) {
            this.failedReads++;
            if (this.failedReads === FAILED_READS) {
                this.ports.journal.emit("engine-lost", { address });
                this.ports.announce();
            }
            return;
        }
        const wasLost = this.failedReads >= FAILED_READS || this.engine === undefined;
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

    private async step(history: namingHistories.NamingHistory): Promise<void> {
        const named = history.newest;
        if (named === undefined) {
            return;
        }
        const now = this.ports.clock.now();
        const engine = this.failedReads === 0 ? this.engine : undefined;
        const move = this.move?.model === named.model ? this.move : undefined;
        const step = moves.nextStep({ engine, named, turn: this.turn(history, named, now), move }, now);
        await STEPS[step.kind](this, step as never, now);
    }

    private turn(history: namingHistories.NamingHistory, named: fleet.NamedWeights, now: number): turns.Turn {
        const version = this.engine?.weights.get(named.model) ?? 0;
        const self = { address: this.ports.address, version, isMoving: this.move?.announcedAt !== undefined };
        const outdatedForMs = history.outdatedForMs(version, now) ?? 0;
        return turns.turnOf(self, named.version, outdatedForMs, this.ports.neighbours(named.model));
    }

    /** @internal Used by the table of steps. */
    begin(move: moves.MoveState): void {
        this.move = move;
        this.ports.announce();
    }

    /** @internal Used by the table of steps. */
    async send(order: types.VersionOrder, now: number): Promise<void> {
        this.move = { ...this.move!, orderedAt: now };
        const outcome = await this.ports.engine.order(order);
        const { model, version, fencingToken, expectedOrderCount } = order;
        this.ports.journal.emit("weights-ordered", { model, version, outcome, fencingToken, expectedOrderCount });
    }

    /** @internal Used by the table of steps. */
    finish(version: number, now: number): void {
        const { announcedAt = now, windingDownSince = now, version: ordered } = this.move ?? {};
        this.ports.journal.emit("weights-moved", {
            version,
            ordered,
            elapsedMs: Math.round(now - announcedAt),
            windingDownMs: Math.round(announcedAt - windingDownSince),
        });
        this.move = undefined;
        this.ports.announce();
    }
}

type StepHandlers = {
    readonly [Kind in moves.MoveStep["kind"]]: (
        mover: Mover,
        step: Extract<moves.MoveStep, { readonly kind: Kind; }>,
        now: number,
    ) => Promise<void> | void;
};

const STEPS: StepHandlers = {
    rest: () => undefined,
    wait: () => undefined,
    "wind-down": (mover, step) => mover.begin(step.move),
    announce: (mover, step) => mover.begin(step.move),
    order: (mover, step, now) => mover.send(step.order, now),
    finish: (mover, step, now) => mover.finish(step.version, now),
};
