/** RPC calls of the rollout coordinator to the agents. */
import type * as incarnations from "../core/incarnation.js";
import * as outcomes from "../core/outcome.js";
import * as callFailures from "../rpc/call-failure.js";
import type * as clientPools from "../rpc/client-pool.js";
import * as failureCodec from "../rpc/failure-codec.js";
import * as messages from "../rpc/gen/ibisstep/v1/rollout_pb.js";
import type * as orderPlans from "./order-plan.js";
import type * as types from "./types.js";

export interface OutcomesReply {
    readonly agent: incarnations.Incarnation;
    readonly counts: readonly types.OutcomeCount[];
}

export interface RolloutTransport {
    /** Fetches the counts of an agent for the rollout with the identity. */
    outcomes(address: string, identity: string): Promise<outcomes.Outcome<OutcomesReply>>;
    /** Resolves once the engine has executed the order. */
    order(order: orderPlans.Order, fencingNumber: number): Promise<outcomes.Outcome<void>>;
}

const OUTCOMES_TIMEOUT_MS = 500;
/** Loading weights takes a second or more if several servers load concurrently. */
const ORDER_TIMEOUT_MS = 60_000;
const LOAD_LEVELS: ReadonlySet<string> = new Set<types.LoadLevel>(["low", "medium", "high"]);

/** Creates a transport that uses the clients of a pool. */
export function createRolloutTransport(pool: clientPools.ClientPool): RolloutTransport {
    const client = (address: string) => pool.client(messages.RolloutService, address);
    return {
        outcomes: async (address, identity) => {
            try {
                const options = { timeoutMs: OUTCOMES_TIMEOUT_MS };
                const response = await client(address).outcomes({ rollout: identity }, options);
                const { agent } = response;
                return agent === undefined
                    ? outcomes.fail("peer-connection-lost", `${address}: the reply does not name the agent`)
                    : outcomes.succeed({ agent, counts: response.counts.flatMap(countFrom) });
            }
            catch (error) {
                return { ok: false, failure: callFailures.failureOf(error, address) };
            }
        },
        order: async (order, fencingNumber) => {
            const { address, ...fields } = order;
            try {
                const request = { ...fields, fencingNumber: BigInt(fencingNumber) };
                const response = await client(address).order(request, { timeoutMs: ORDER_TIMEOUT_MS });
                return response.failure === undefined
                    ? outcomes.succeed(undefined)
                    : { ok: false, failure: failureCodec.decode(response.failure) };
            }
            catch (error) {
                return { ok: false, failure: callFailures.failureOf(error, address) };
            }
        },
    };
}

function countFrom(message: messages.OutcomeCount): readonly types.OutcomeCount[] {
    const { weightsVersion, route, loadLevel } = message;
    return isLoadLevel(loadLevel)
        ? [{
            weightsVersion,
            route,
            loadLevel,
            finished: Number(message.finished),
            failed: Number(message.failed),
            slow: Number(message.slow),
        }]
        : [];
}

function isLoadLevel(text: string): text is types.LoadLevel {
    return LOAD_LEVELS.has(text);
}
