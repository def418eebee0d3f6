/** RPC service for admission budgets on agents. */
import type * as connect from "@connectrpc/connect";
import type * as budgets from "../rpc/gen/ibisstep/v1/budget_pb.js";
import * as constants from "./constants.js";
import type * as controllers from "./controller.js";
import * as transports from "./transport.js";

/** Implements `BudgetService` with a budget controller. */
export function createBudgetService(
    controller: controllers.BudgetController,
): connect.ServiceImpl<typeof budgets.BudgetService> {
    return {
        acquire: async request => {
            const reply = await controller.acquire(request.group, Number(request.epoch), request.demands);
            return {
                epoch: BigInt(reply.epoch),
                grants: reply.grants.map(grant => ({
                    ...grant,
                    // The field is an integer; rounding up would extend the validity of the grant.
                    validForMs: Math.floor(grant.validForMs),
                })),
                primaryAddress: reply.primaryAddress,
                ...transports.failureMessage(reply.failure),
            };
        },
        renew: request => {
            const reply = controller.renew(transports.renewalFrom(request));
            return {
                granted: reply.granted,
                epoch: BigInt(reply.epoch),
                leaseMs: reply.granted ? constants.LEASE_MS : 0,
                sequence: BigInt(reply.sequence),
                ...transports.failureMessage(reply.failure),
            };
        },
    };
}
