/** RPC service of agents for version rollouts. */
import type * as connect from "@connectrpc/connect";
import type * as engineTypes from "../agent/engine-types.js";
import type * as incarnations from "../core/incarnation.js";
import * as outcomes from "../core/outcome.js";
import * as failureCodec from "../rpc/failure-codec.js";
import type * as messages from "../rpc/gen/ibisstep/v1/rollout_pb.js";
import type * as orderHandlers from "./order-handler.js";
import type * as outcomeCounters from "./outcome-counter.js";

export interface RolloutServiceOptions {
    readonly self: incarnations.Incarnation;
    readonly counter: outcomeCounters.OutcomeCounter;
    readonly orders: orderHandlers.OrderHandler;
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
}

const KINDS: ReadonlySet<string> = new Set<engineTypes.Order["kind"]>(["load-weights", "unload-weights"]);

/** Creates the `RolloutService`. The field `rollout` of a request contains the identity of the rollout. */
export function createRolloutService(
    options: RolloutServiceOptions,
): connect.ServiceImpl<typeof messages.RolloutService> {
    return {
        outcomes: request => ({
            agent: options.self,
            counts: options.counter.counts(request.rollout, options.now()).map(count => ({
                ...count,
                finished: BigInt(count.finished),
                failed: BigInt(count.failed),
                slow: BigInt(count.slow),
            })),
        }),
        order: async request => {
            const order = orderFrom(request);
            const result = order.ok ? await options.orders.execute(order.value) : order;
            return result.ok ? {} : { failure: failureCodec.encode(result.failure) };
        },
    };
}

function orderFrom(request: messages.OrderRequest): outcomes.Outcome<engineTypes.Order> {
    const { kind, model, weightsVersion } = request;
    if (!isKind(kind) || model === "" || weightsVersion === "") {
        return outcomes.fail("rollout-order-malformed", `${kind} ${model}@${weightsVersion}`);
    }
    return outcomes.succeed({ kind, model, weightsVersion, fencingNumber: Number(request.fencingNumber) });
}

function isKind(kind: string): kind is engineTypes.Order["kind"] {
    return KINDS.has(kind);
}
