/**
 * Writes the statuses of rollouts to the store. Every write is conditional on the revision that this entry has read, so that
 * of two entries that end a rollout differently the first one decides, and the other adopts its status.
 */
import type * as clocks from "../clock/clock.js";
import * as background from "../core/background.js";
import type * as event from "../core/event.js";
import type * as fleet from "../fleet/types.js";
import type * as storeAccess from "../store-access/types.js";
import type * as serviceRollouts from "./service-rollouts.js";

const STEP_INTERVAL_MS = 200;
/** Time in milliseconds that a written status takes to return in the copy of the store, or after which it is repeated. */
const REPEAT_AFTER_MS = 700;

export interface StatusPorts {
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    readonly store: storeAccess.RecordStore;
    readonly kind: string;
    readonly rollouts: serviceRollouts.ServiceRollouts;
    /** Whether this entry advances the rollouts and writes their statuses; another one takes over when it is gone. */
    readonly isCoordinator: () => boolean;
    /** Encodes a status in the format of the store. */
    readonly encode: (order: fleet.RolloutOrder, state: fleet.RolloutState, startedAt: number) => unknown;
}

export class RolloutStatuses implements AsyncDisposable {
    private readonly tasks: background.BackgroundTasks;
    private readonly stop = new AbortController();
    private readonly writtenAt = new Map<string, number>();

    constructor(private readonly ports: StatusPorts) {
        this.tasks = new background.BackgroundTasks("rollouts", ports.journal);
    }

    start(): void {
        this.tasks.start("step", () => this.run());
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stop.abort();
        await this.tasks[Symbol.asyncDispose]();
    }

    private async run(): Promise<void> {
        while (!this.stop.signal.aborted) {
            this.stepSafely();
            await this.ports.clock.sleep(STEP_INTERVAL_MS, this.stop.signal);
        }
    }

    /** An error ends this step, and not those that follow. */
    private stepSafely(): void {
        const { clock, journal, rollouts, isCoordinator } = this.ports;
        try {
            rollouts.evaluate(clock.now(), isCoordinator());
            if (isCoordinator()) {
                this.writeAll(clock.now());
            }
        }
        catch (error) {
            const reason = (error as Error).stack ?? String(error);
            journal.emit("controller-step-failed", { controller: "rollouts", reason });
        }
    }

    private writeAll(now: number): void {
        for (const { order, state } of this.ports.rollouts.outdatedStatuses()) {
            const key = `${order.service} ${state} ${order.revision}`;
            if (now - (this.writtenAt.get(key) ?? Number.NEGATIVE_INFINITY) >= REPEAT_AFTER_MS) {
                this.writtenAt.set(key, now);
                this.tasks.start(key, () => this.write(order, state));
            }
        }
    }

    private async write(order: fleet.RolloutOrder, state: fleet.RolloutState): Promise<void> {
        const { clock, journal, store, kind, rollouts, encode } = this.ports;
        const startedAt = order.startedAt ?? clock.wallTime() - rollouts.elapsedMs(order.service, clock.now());
        const status = encode(order, state, startedAt);
        const outcome = await store.putStatus(kind, order.service, status, order.revision);
        journal.emit("service-rollout-status-written", {
            service: order.service,
            target: order.target,
            state,
            outcome: outcome.ok ? "accepted" : outcome.failure.detail,
        });
    }
}
