/** Result of an operation that can fail in an expected way. */
import type * as failures from "./failure.js";

export interface Success<Value> {
    readonly ok: true;
    readonly value: Value;
}

export interface FailedOutcome<Reason = failures.Failure> {
    readonly ok: false;
    readonly failure: Reason;
}

export type Outcome<Value, Reason = failures.Failure> = Success<Value> | FailedOutcome<Reason>;

export function succeed<Value>(value: Value): Success<Value> {
    return { ok: true, value };
}

/** Builds a failed outcome. `retryAfterMs` is in milliseconds. */
export function fail(kind: failures.FailureKind, detail: string, retryAfterMs?: number): FailedOutcome {
    return { ok: false, failure: retryAfterMs === undefined ? { kind, detail } : { kind, detail, retryAfterMs } };
}
