/** Turns a failure into the HTTP response that callers of the OpenAI API expect. */
import * as catalogue from "../catalogue/failures.js";
import type * as failure from "../core/failure.js";

const MILLISECONDS_PER_SECOND = 1000;

export interface ErrorBody {
    readonly error: {
        readonly message: string;
        readonly type: string;
        readonly code: failure.FailureKind;
        /** Whether the request had an effect. */
        readonly execution: failure.Execution;
        readonly retry: failure.Retry;
        readonly retry_after_ms?: number;
        readonly request_id: string;
    };
}

export interface ErrorResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: ErrorBody;
}

/** Builds the response. The header `x-ibisstep-execution` repeats whether the request ran. */
export function errorResponse(reason: failure.Failure, requestId: string): ErrorResponse {
    const definition: failure.FailureDefinition = catalogue.failures[reason.kind];
    const headers: Record<string, string> = {
        "x-request-id": requestId,
        "x-ibisstep-execution": definition.execution,
    };
    if (reason.retryAfterMs !== undefined) {
        headers["retry-after"] = String(Math.ceil(reason.retryAfterMs / MILLISECONDS_PER_SECOND));
    }
    return {
        status: definition.status,
        headers,
        body: {
            error: {
                message: definition.message(reason.detail),
                type: errorType(definition.status),
                code: reason.kind,
                execution: definition.execution,
                retry: definition.retry,
                retry_after_ms: reason.retryAfterMs,
                request_id: requestId,
            },
        },
    };
}

const ERROR_TYPES: Readonly<Record<number, string>> = {
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    429: "rate_limit_error",
};

function errorType(status: number): string {
    return ERROR_TYPES[status] ?? (status < 500 ? "invalid_request_error" : "server_error");
}
