/** Messages of the budget protocol, independent of their encoding. */
import type * as failures from "../core/failure.js";
import type * as incarnations from "../core/incarnation.js";
import type * as types from "./types.js";

export interface Demand {
    readonly customer: string;
    readonly count: number;
    /** Time in milliseconds that the oldest of the requests has waited. */
    readonly waitedMs: number;
}

export interface Grant {
    readonly customer: string;
    readonly count: number;
    /** Milliseconds until the next admission; 0 when all were granted. */
    readonly nextInMs: number;
    /** Milliseconds after the call was sent at which the grant becomes void. */
    readonly validForMs: number;
}

export interface AcquireReply {
    readonly epoch: number;
    readonly grants: readonly Grant[];
    readonly failure?: failures.Failure;
    /** Holder as far as the callee knows; empty when unknown. */
    readonly primaryAddress: string;
}

export interface Level {
    readonly customer: string;
    readonly level: number;
    /** Admissions that the primary may grant until its next confirmed renewal. */
    readonly reservation: number;
}

export interface Renewal {
    readonly group: number;
    readonly epoch: number;
    readonly primary: incarnations.Incarnation;
    readonly levels: readonly Level[];
    readonly sequence: number;
    /** Sequence number of the last reply that the primary received; 0 before the first of the epoch. */
    readonly acknowledged: number;
    readonly handover: boolean;
}

export interface RenewalReply {
    readonly granted: boolean;
    readonly epoch: number;
    readonly sequence: number;
    readonly failure?: failures.Failure;
}

/** Result of a change of the holders in the store. `unconfirmed` leaves open whether it took effect. */
export type WriteResult =
    | { readonly kind: "recorded"; }
    | { readonly kind: "unavailable"; }
    | { readonly kind: "unconfirmed"; }
    | { readonly kind: "superseded"; readonly holder: types.Holder; };

/** What the ownership of a group asks of its surroundings. */
export type Action =
    | { readonly kind: "send-renewal"; readonly to: incarnations.Incarnation; readonly renewal: Renewal; }
    | { readonly kind: "reply"; readonly call: number; readonly reply: AcquireReply; }
    | { readonly kind: "probe"; readonly incarnation: incarnations.Incarnation; }
    | { readonly kind: "write"; readonly holder: types.Holder; readonly expectedEpoch: number; }
    | { readonly kind: "refresh"; }
    | { readonly kind: "notify"; readonly event: OwnershipEvent; readonly reason: string; };

export type OwnershipEvent =
    | "budget-ownership-taken"
    | "budget-ownership-lost"
    | "budget-standby-lost"
    | "budget-handed-over";
