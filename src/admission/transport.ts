/** Calls of the admission budget protocol to other processes, and the conversion of its messages. */
import type * as failures from "../core/failure.js";
import type * as clientPools from "../rpc/client-pool.js";
import * as budgets from "../rpc/gen/ibisstep/v1/budget_pb.js";
import * as constants from "./constants.js";
import type * as messages from "./messages.js";

/** Calls made by agents and entries. A call without a reply in time resolves to `undefined`. */
export interface Transport {
    renew(address: string, renewal: messages.Renewal): Promise<messages.RenewalReply | undefined>;
    acquire(address: string, call: AcquireRequest): Promise<messages.AcquireReply | undefined>;
}

export interface AcquireRequest {
    readonly group: number;
    readonly epoch: number;
    readonly demands: readonly messages.Demand[];
    readonly manifestVersion: number;
}

/** Creates a transport that uses the connections of a pool. */
export function createTransport(pool: clientPools.ClientPool): Transport {
    const client = (address: string) => pool.client(budgets.BudgetService, address);
    return {
        renew: (address, renewal) =>
            undefinedOnError(async () => {
                const options = { timeoutMs: constants.RENEWAL_TIMEOUT_MS };
                return renewalReply(await client(address).renew(renewalMessage(renewal), options));
            }),
        acquire: (address, call) =>
            undefinedOnError(async () => {
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
    // The entry handles all failures in the same way: it asks another process.
    return response.failure === undefined
        ? reply
        : { ...reply, failure: { kind: "budget-not-holder", detail: response.failure.kind } };
}

/** Broken connections, timeouts and cancelled calls all count as no reply. */
async function undefinedOnError<Value>(call: () => Promise<Value>): Promise<Value | undefined> {
    try {
        return await call();
    }
    catch {
        return undefined;
    }
}
