/** Typed failures. The kinds are defined in the `failures.ts` catalogue of each feature. */
import type * as catalogue from "../catalogue/failures.js";

/** Whether the failed request was executed: it did not run, it may have run, or it ran. */
export type Execution = "not-run" | "unknown" | "ran";

/** What the caller may do after a failure. */
export type Retry = "never" | "same-request" | "after-delay";

/** One entry of a failure catalogue. */
export interface FailureDefinition {
    readonly number: number;
    /** HTTP status of the response. */
    readonly status: number;
    readonly execution: Execution;
    readonly retry: Retry;
    readonly message: (detail: string) => string;
    readonly hint: string;
}

export type FailureCatalogue = Readonly<Record<string, FailureDefinition>>;

export type FailureKind = keyof typeof catalogue.failures;

export interface Failure {
    readonly kind: FailureKind;
    /** Context for the message; never holds a key or a request body. */
    readonly detail: string;
    /** Delay in milliseconds after which a retry may succeed. */
    readonly retryAfterMs?: number;
}

/** Carries a failure across an interface that can only throw. */
export class FailureError extends Error {
    constructor(readonly failure: Failure) {
        super(`${failure.kind}: ${failure.detail}`);
        this.name = "FailureError";
    }
}
