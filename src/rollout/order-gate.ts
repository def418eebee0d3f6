/** Fencing point of the orders to the engine beside the agent. */
import * as states from "../agent/backend-state.js";
import type * as engineTypes from "../agent/engine-types.js";
import * as outcomes from "../core/outcome.js";
import type * as boards from "../daemon/board.js";
import * as orderPlans from "./order-plan.js";
import * as statusObjects from "./status-object.js";

/** The part of the engine's client that orders need. */
export interface OrderedEngine {
    order(order: engineTypes.Order): Promise<outcomes.Outcome<readonly string[]>>;
}

export interface OrderGateOptions {
    readonly board: boards.Board;
    /** Absent on agents of plain services. */
    readonly engine: OrderedEngine | undefined;
    /** Milliseconds since the Unix epoch. */
    readonly wallTime: () => number;
}

export class OrderGate {
    private highestSeen = 0;

    constructor(private readonly options: OrderGateOptions) {}

    /**
     * Passes an order to the engine and returns the loaded weights.
     *
     * Fails with `rollout-order-fenced`, `rollout-order-unsafe`, `no-backend-server` or a failure of the engine's client.
     */
    async give(order: engineTypes.Order): Promise<outcomes.Outcome<readonly string[]>> {
        const { board, engine } = this.options;
        if (engine === undefined) {
            return outcomes.fail("no-backend-server", "the agent has no engine");
        }
        // The statuses replace the memory that the agent loses with a restart.
        const known = statusObjects.highestFencingNumber(board.read("rollouts").statuses);
        this.highestSeen = Math.max(this.highestSeen, known);
        if (order.fencingNumber < this.highestSeen) {
            return outcomes.fail("rollout-order-fenced", `${order.fencingNumber}, known is ${this.highestSeen}`);
        }
        this.highestSeen = order.fencingNumber;
        if (order.kind === "unload-weights" && this.isNeeded(order)) {
            return outcomes.fail("rollout-order-unsafe", states.weightsName(order.model, order.weightsVersion));
        }
        return engine.order(order);
    }

    private isNeeded(order: engineTypes.Order): boolean {
        const { board, wallTime } = this.options;
        const configuration = board.read("configuration");
        const model = configuration.models.get(order.model);
        return model !== undefined
            && orderPlans.neededVersions(configuration, board.read("rollouts"), model, wallTime())
                .has(order.weightsVersion);
    }
}
