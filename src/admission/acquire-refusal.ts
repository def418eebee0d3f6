/** Replies to acquire calls that this process refuses because it may not grant admissions. */
import * as constants from "./constants.js";
import type * as messages from "./messages.js";

/** A call in which an entry asks for admissions. `callId` matches the reply to the call. */
export interface AcquireCall {
    readonly callId: number;
    readonly demands: readonly messages.Demand[];
}

/** The primary of the group as far as the refusing process knows it. */
export interface KnownHolder {
    readonly group: number;
    readonly epoch: number;
    readonly primaryAddress: string;
}

export type RefusalKind = "budget-not-holder" | "budget-lease-missing";

export function refuse(call: AcquireCall, kind: RefusalKind, known: KnownHolder): messages.Action {
    const grants = call.demands.map(demand => ({
        customer: demand.customer,
        count: 0,
        nextInMs: constants.RETRY_DELAY_MS,
        validForMs: 0,
    }));
    const failure = { kind, detail: `group ${known.group}`, retryAfterMs: constants.RETRY_DELAY_MS } as const;
    const reply = { epoch: known.epoch, grants, failure, primaryAddress: known.primaryAddress };
    return { kind: "reply", callId: call.callId, reply };
}
