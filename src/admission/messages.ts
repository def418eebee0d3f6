/** Messages of the admission budget protocol, independent of their encoding. */
import type * as failures from "../core/failure.js";
import type * as incarnations from "../core/incarnation.js";
import type * as types from "./types.js";

/** Admissions that an entry requests for one customer. */
export interface Demand {
    readonly customer: string;
    readonly count: number;
    /** Milliseconds that the oldest of the requests has waited. */
    readonly waitedMs: number;
}

/** Admissions granted to one customer. */
export interface Grant {
    readonly customer: string;
    readonly count: number;
    /** Milliseconds until the next admission can be granted; 0 if the whole demand was granted. */
    readonly nextInMs: number;
    /** Milliseconds from sending the call until the grant expires. */
    readonly validForMs: number;
}

export interface AcquireReply {
    readonly epoch: number;
    readonly grants: readonly Grant[];
    readonly failure?: failures.Failure;
    /** Address of the primary as far as the callee knows; empty if unknown. */
    readonly primaryAddress: string;
}

/** Level of the bucket of one customer, replicated to the standby. */
export interface BucketLevel {
    readonly customer: string;
    readonly level: number;
    /** Admissions that the primary may grant until its next confirmed renewal. */
    readonly reservation: number;
}

/** Request of a primary to its standby for the next lease; `handover` asks the standby to take over. */
export interface Renewal {
    readonly group: number;
    readonly epoch: number;
    readonly primary: incarnations.Incarnation;
    readonly levels: readonly BucketLevel[];
    readonly sequence: number;
    /** Sequence number of the last reply that the primary received; 0 before the first reply of the epoch. */
    readonly acknowledged: number;
    readonly handover: boolean;
}

export interface RenewalReply {
    readonly granted: boolean;
    readonly epoch: number;
    readonly sequence: number;
    readonly failure?: failures.Failure;
}

/** Result of a change of the holders in the store. `unconfirmed` means that it may or may not have taken effect. */
export type WriteResult =
    | { readonly kind: "recorded"; }
    | { readonly kind: "unavailable"; }
    | { readonly kind: "unconfirmed"; }
    | { readonly kind: "superseded"; readonly record: types.HolderRecord; };

/** Actions that an `Ownership` returns for its caller to perform. */
export type Action =
    | { readonly kind: "send-renewal"; readonly to: incarnations.Incarnation; readonly renewal: Renewal; }
    | { readonly kind: "reply"; readonly callId: number; readonly reply: AcquireReply; }
    | { readonly kind: "probe"; readonly incarnation: incarnations.Incarnation; }
    | { readonly kind: "write"; readonly record: types.HolderRecord; readonly expectedEpoch: number; }
    | { readonly kind: "refresh"; }
    | { readonly kind: "log"; readonly event: OwnershipEvent; readonly reason: string; };

export type OwnershipEvent =
    | "budget-ownership-taken"
    | "budget-ownership-lost"
    | "budget-standby-lost"
    | "budget-handed-over";
