/** Reply to an entry that gets no admissions because this process may not grant. */
import * as constants from "./constants.js";
import type * as messages from "./messages.js";

/** A call of an entry for admissions; its number connects the reply to it. */
export interface AcquireCall {
    readonly call: number;
    readonly demands: readonly messages.Demand[];
}

/** What the refusing process knows of the group. */
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
        nextInMs: constants.RETRY_HINT_MS,
        validForMs: 0,
    }));
    const failure = { kind, detail: `group ${known.group}`, retryAfterMs: constants.RETRY_HINT_MS } as const;
    const reply = { epoch: known.epoch, grants, failure, primaryAddress: known.primaryAddress };
    return { kind: "reply", call: call.call, reply };
}
