/** Calls that run at most once, as their callers and the service see them. */
import type * as outcomes from "../core/outcome.js";
import type * as manifest from "../manifest/types.js";
import type * as httpCalls from "../object-api/http-call.js";
import type * as types from "./types.js";

export interface Call {
    readonly customer: string;
    readonly route: manifest.Route;
    readonly key: string;
    readonly requestId: string;
    /** Grows with each attempt of the entry for the same request. */
    readonly attempt: number;
    /** Hash of method, target and body. */
    readonly bodyHash: string;
    /** Monotonic time in milliseconds. */
    readonly deadline: number;
    /** Stops a call that has not started; a call that has started runs to its end. */
    readonly signal?: AbortSignal;
}

export type LookupCall = Pick<Call, "customer" | "route" | "key" | "requestId" | "deadline">;

export interface Answer {
    readonly response: types.ServiceResponse;
    /** The call ran earlier, or by another request. */
    readonly replayed: boolean;
}

/** The right to send the call to the service once. */
export interface Permit {
    /** Value of `Idempotency-Key` for the service; differs between customers that use the same key. */
    readonly serviceKey: string;
    readonly timeoutMs: number;
    /** Must be asked directly before the first byte is sent; false forbids the call. */
    mayStart(): boolean;
}

export type Execute = (permit: Permit) => Promise<httpCalls.HttpResult>;

export type LookupResult =
    | { readonly state: "none" | "claimed" | "not-run"; }
    | { readonly state: "unknown"; readonly retryAfterMs?: number; }
    | { readonly state: "done"; readonly answer: outcomes.Outcome<Answer>; };
