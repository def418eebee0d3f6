/** Checks orders on the agent before they reach its engine, and rejects those with an outdated fencing number. */
import * as states from "../agent/backend-state.js";
import type * as engineTypes from "../agent/engine-types.js";
import * as outcomes from "../core/outcome.js";
import type * as boards from "../daemon/board.js";
import * as orderPlans from "./order-plan.js";
import * as statusObjects from "./status-object.js";

/** The part of the engine client that executes orders. */
export interface OrderExecutor {
    order(order: engineTypes.Order): Promise<outcomes.Outcome<readonly string[]>>;
}

export interface OrderHandlerOptions {
    readonly board: boards.Board;
    /** `undefined` on agents whose backend server is a service. */
    readonly engine: OrderExecutor | undefined;
    /** Milliseconds since the Unix epoch. */
    readonly wallTime: () => number;
}

export class OrderHandler {
    private highestFencingNumber = 0;

    constructor(private readonly options: OrderHandlerOptions) {}

    /**
     * Sends an order to the engine and returns the loaded weights.
     *
     * Fails with `rollout-order-fenced`, `rollout-order-unsafe`, `no-backend-server` or a failure of the engine client.
     */
    async execute(order: engineTypes.Order): Promise<outcomes.Outcome<readonly string[]>> {
        const { board, engine } = this.options;
        if (engine === undefined) {
            return outcomes.fail("no-backend-server", "the agent has no engine");
        }
        // After a restart of the agent the published statuses supply the highest known fencing number.
        const publishedFencingNumber = statusObjects.highestFencingNumber(board.read("rollouts").statuses);
        this.highestFencingNumber = Math.max(this.highestFencingNumber, publishedFencingNumber);
        if (order.fencingNumber < this.highestFencingNumber) {
            return outcomes.fail(
                "rollout-order-fenced",
                `${order.fencingNumber}, highest seen is ${this.highestFencingNumber}`,
            );
        }
        this.highestFencingNumber = order.fencingNumber;
        if (order.kind === "unload-weights" && this.isRetained(order)) {
            return outcomes.fail("rollout-order-unsafe", states.weightsName(order.model, order.weightsVersion));
        }
        return engine.order(order);
    }

    private isRetained(order: engineTypes.Order): boolean {
        const { board, wallTime } = this.options;
        const configuration = board.read("configuration");
        const model = configuration.models.get(order.model);
        return model !== undefined
            && orderPlans.retainedVersions(configuration, board.read("rollouts"), model, wallTime())
                .has(order.weightsVersion);
    }
}
