/** Types of calls that run at most once, and of their results. */
import type * as outcomes from "../core/outcome.js";
import type * as manifest from "../manifest/types.js";
import type * as httpClients from "../object-api/http-client.js";
import type * as types from "./types.js";

/** A call to a service that runs at most once for its customer, route and key. */
export interface Call {
    readonly customer: string;
    readonly route: manifest.Route;
    /** The idempotency key. */
    readonly key: string;
    readonly requestId: string;
    /** Increases with each attempt that the entry makes for the same request. */
    readonly attempt: number;
    /** Hash of method, target and body. */
    readonly bodyHash: string;
    /** Monotonic time in milliseconds. */
    readonly deadline: number;
    /** Cancels a call that has not started; a call that has started runs to completion. */
    readonly signal?: AbortSignal;
}

/** Identifies a call whose outcome is looked up. */
export type LookupCall = Pick<Call, "customer" | "route" | "key" | "requestId" | "deadline">;

/** The response to a call that ran. */
export interface CallResult {
    readonly response: types.ServiceResponse;
    /** The response comes from an earlier run or from another request. */
    readonly replayed: boolean;
}

/** Permission to send the call to the service once. */
export interface Permit {
    /** Value of the `Idempotency-Key` header for the service; differs between customers that use the same key. */
    readonly serviceKey: string;
    readonly timeoutMs: number;
    /** Must be called immediately before the first byte is sent; the call must not be sent if it returns false. */
    mayStart(): boolean;
}

/** Sends a call to the service. */
export type Executor = (permit: Permit) => Promise<httpClients.HttpResult>;

/** State of the record of a call; `none` when there is no record. */
export type LookupResult =
    | { readonly state: "none" | "claimed" | "not-run"; }
    | { readonly state: "unknown"; readonly retryAfterMs?: number; }
    | { readonly state: "done"; readonly outcome: outcomes.Outcome<CallResult>; };
