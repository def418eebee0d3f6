/** Sends the orders of the coordinator and tracks orders in flight and failed servers. */
import type * as clocks from "../clock/clock.js";
import type * as background from "../core/background.js";
import type * as event from "../core/event.js";
import * as orderPlans from "./order-plan.js";
import type * as transports from "./transport.js";

/** Backoff after a failed order, during which the plan uses other servers. */
const FAILURE_BACKOFF_MS = 3000;
/** Time until the member document of the server shows the result of an order. */
const VISIBILITY_DELAY_MS = 1000;
/** Time that unneeded weights stay loaded, so that their streams can end and other processes learn the new status. */
const UNLOAD_DELAY_MS = 10_000;

export interface OrderDispatcherOptions {
    readonly transport: transports.RolloutTransport;
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    readonly tasks: background.BackgroundTasks;
}

export class OrderDispatcher {
    private readonly inFlightByAddress = new Map<string, orderPlans.Order>();
    private readonly completedAt = new Map<string, number>();
    private readonly failedAt = new Map<string, number>();
    /** Monotonic time since which each unload has been continuously required, by order key. */
    private unloadPendingSince: ReadonlyMap<string, number> = new Map();

    constructor(private readonly options: OrderDispatcherOptions) {}

    /** Orders that have been sent but have not completed. */
    get inFlight(): readonly orderPlans.Order[] {
        return [...this.inFlightByAddress.values()];
    }

    /** Addresses whose last order completed too recently to be visible in their member document. */
    awaitingVisibility(now: number): ReadonlySet<string> {
        const recent = [...this.completedAt].filter(([, completedAt]) => now - completedAt < VISIBILITY_DELAY_MS);
        return new Set(recent.map(([address]) => address));
    }

    /** True for a while after an order to the address failed. */
    isBackingOff(address: string, now: number): boolean {
        const failedAt = this.failedAt.get(address);
        return failedAt !== undefined && now - failedAt < FAILURE_BACKOFF_MS;
    }

    /** Sends the next orders of the plan in the background. */
    dispatch(input: orderPlans.PlanInput, fencingNumber: number): void {
        const now = this.options.clock.now();
        this.trackUnloads(input, now);
        for (const order of orderPlans.nextOrders(input)) {
            const isEarly = order.kind === "unload-weights"
                && now - (this.unloadPendingSince.get(orderKey(order)) ?? now) < UNLOAD_DELAY_MS;
            if (!isEarly) {
                this.options.tasks.spawn(() => this.send(order, fencingNumber));
            }
        }
    }

    private trackUnloads(input: orderPlans.PlanInput, now: number): void {
        const wanted = orderPlans.requiredOrders(input).filter(order => order.kind === "unload-weights").map(orderKey);
        this.unloadPendingSince = new Map(wanted.map(name => [name, this.unloadPendingSince.get(name) ?? now]));
    }

    private async send(order: orderPlans.Order, fencingNumber: number): Promise<void> {
        const { transport, clock, journal } = this.options;
        this.inFlightByAddress.set(order.address, order);
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
        this.inFlightByAddress.delete(order.address);
    }
}

function orderKey(order: orderPlans.Order): string {
    return `${order.address} ${order.model}@${order.weightsVersion}`;
}
