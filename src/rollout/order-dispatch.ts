/** Gives the orders of the coordinator and remembers which are under way and which servers failed. */
import type * as clocks from "../clock/clock.js";
import type * as background from "../core/background.js";
import type * as event from "../core/event.js";
import * as orderPlans from "./order-plan.js";
import type * as transports from "./transport.js";

/** Pause after a failed order, in which the plan uses other servers. */
const FAILURE_PAUSE_MS = 3000;
/** Time for the member document of the server to show the result of an order. */
const VISIBILITY_MS = 1000;
/** Weights that nothing needs stay loaded this long, so that their streams can end and copies of the plan catch up. */
const UNLOAD_DELAY_MS = 10_000;

export interface OrderDispatchOptions {
    readonly transport: transports.RolloutTransport;
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    readonly tasks: background.BackgroundTasks;
}

export class OrderDispatch {
    private readonly underWay = new Map<string, orderPlans.Order>();
    private readonly completedAt = new Map<string, number>();
    private readonly failedAt = new Map<string, number>();
    /** Monotonic time since which an unload has been wanted without a break. */
    private unloadsSince: ReadonlyMap<string, number> = new Map();

    constructor(private readonly options: OrderDispatchOptions) {}

    get inFlight(): readonly orderPlans.Order[] {
        return [...this.underWay.values()];
    }

    settling(now: number): ReadonlySet<string> {
        const recent = [...this.completedAt].filter(([, completedAt]) => now - completedAt < VISIBILITY_MS);
        return new Set(recent.map(([address]) => address));
    }

    isFailing(address: string, now: number): boolean {
        const failedAt = this.failedAt.get(address);
        return failedAt !== undefined && now - failedAt < FAILURE_PAUSE_MS;
    }

    /** Starts the next orders of the plan. */
    give(input: orderPlans.PlanInput, fencingNumber: number): void {
        const now = this.options.clock.now();
        this.noteUnloads(input, now);
        for (const order of orderPlans.nextOrders(input)) {
            const isEarly = order.kind === "unload-weights"
                && now - (this.unloadsSince.get(describe(order)) ?? now) < UNLOAD_DELAY_MS;
            if (!isEarly) {
                this.options.tasks.spawn(() => this.send(order, fencingNumber));
            }
        }
    }

    private noteUnloads(input: orderPlans.PlanInput, now: number): void {
        const wanted = orderPlans.wantedOrders(input).filter(order => order.kind === "unload-weights").map(describe);
        this.unloadsSince = new Map(wanted.map(name => [name, this.unloadsSince.get(name) ?? now]));
    }

    private async send(order: orderPlans.Order, fencingNumber: number): Promise<void> {
        const { transport, clock, journal } = this.options;
        this.underWay.set(order.address, order);
        const result = await transport.order(order, fencingNumber);
        if (result.ok) {
            this.failedAt.delete(order.address);
            this.completedAt.set(order.address, clock.now());
        }
        else {
            this.failedAt.set(order.address, clock.now());
            const reason = `${result.failure.kind}: ${result.failure.detail}`;
            const name = `${order.kind} ${order.model}@${order.weightsVersion}`;
            journal.emit("rollout-order-failed", { order: name, address: order.address, reason });
        }
        this.underWay.delete(order.address);
    }
}

function describe(order: orderPlans.Order): string {
    return `${order.address} ${order.model}@${order.weightsVersion}`;
}
