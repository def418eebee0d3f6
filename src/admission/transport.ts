/** Calls of the budget protocol to other processes, and the mapping of its messages. */
import type * as failures from "../core/failure.js";
import type * as clientPools from "../rpc/client-pool.js";
import * as budgets from "../rpc/gen/ibisstep/v1/budget_pb.js";
import * as constants from "./constants.js";
import type * as messages from "./messages.js";

/** Calls that an agent or an entry makes. A call that got no reply in time resolves to `undefined`. */
export interface Transport {
    renew(address: string, renewal: messages.Renewal): Promise<messages.RenewalReply | undefined>;
    acquire(address: string, call: AcquireCall): Promise<messages.AcquireReply | undefined>;
}

export interface AcquireCall {
    readonly group: number;
    readonly epoch: number;
    readonly demands: readonly messages.Demand[];
    readonly manifestVersion: number;
}

/** Makes the calls over the connections of a pool. */
export function createTransport(pool: clientPools.ClientPool): Transport {
    const client = (address: string) => pool.client(budgets.BudgetService, address);
    return {
        renew: (address, renewal) =>
            answer(async () => {
                const options = { timeoutMs: constants.RENEWAL_TIMEOUT_MS };
                return renewalReply(await client(address).renew(renewalMessage(renewal), options));
            }),
        acquire: (address, call) =>
            answer(async () => {
                const request = {
                    group: call.group,
                    epoch: BigInt(call.epoch),
                    demands: [...call.demands],
                    manifestVersion: BigInt(call.manifestVersion),
                };
                const options = { timeoutMs: constants.GRANT_VALIDITY_MS };
                return acquireReply(await client(address).acquire(request, options));
            }),
    };
}

export function renewalFrom(request: budgets.RenewRequest): messages.Renewal {
    return {
        group: request.group,
        epoch: Number(request.epoch),
        primary: { address: request.primary?.address ?? "", boot: request.primary?.boot ?? "" },
        levels: request.levels.map(({ customer, level, reservation }) => ({ customer, level, reservation })),
        sequence: Number(request.sequence),
        acknowledged: Number(request.acknowledged),
        handover: request.handover,
    };
}

export function failureMessage(failure: failures.Failure | undefined) {
    return failure === undefined
        ? {}
        : { failure: { kind: failure.kind, detail: failure.detail, retryAfterMs: failure.retryAfterMs ?? 0 } };
}

function renewalMessage(renewal: messages.Renewal) {
    return {
        ...renewal,
        epoch: BigInt(renewal.epoch),
        levels: [...renewal.levels],
        sequence: BigInt(renewal.sequence),
        acknowledged: BigInt(renewal.acknowledged),
    };
}

function renewalReply(response: budgets.RenewResponse): messages.RenewalReply {
    return { granted: response.granted, epoch: Number(response.epoch), sequence: Number(response.sequence) };
}

function acquireReply(response: budgets.AcquireResponse): messages.AcquireReply {
    const reply = {
        epoch: Number(response.epoch),
        grants: response.grants.map(({ customer, count, nextInMs, validForMs }) => ({
            customer,
            count,
            nextInMs,
            validForMs,
        })),
        primaryAddress: response.primaryAddress,
    };
    // Any failure sends the entry on to another process; its kind makes no difference here.
    return response.failure === undefined
        ? reply
        : { ...reply, failure: { kind: "budget-not-holder", detail: response.failure.kind } };
}

/** A broken connection, a timeout and a cancelled call all mean that no reply came. */
async function answer<Value>(call: () => Promise<Value>): Promise<Value | undefined> {
    try {
        return await call();
    }
    catch {
        return undefined;
    }
}
