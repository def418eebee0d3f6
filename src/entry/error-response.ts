/** Converts a failure into an HTTP error response in the format of the OpenAI API. */
import * as catalogue from "../catalogue/failures.js";
import type * as failure from "../core/failure.js";
import * as openai from "../streams/openai.js";

const MILLISECONDS_PER_SECOND = 1000;

export interface ErrorResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: object;
}

/**
 * Builds the response. The header `x-ibisstep-execution` tells whether the request ran; `execution` overrides the
 * catalogue's value for requests with several attempts.
 */
export function errorResponse(
    reason: failure.Failure,
    requestId: string,
    execution?: failure.Execution,
): ErrorResponse {
    const definition: failure.FailureDefinition = catalogue.failures[reason.kind];
    const headers: Record<string, string> = {
        "x-request-id": requestId,
        "x-ibisstep-execution": execution ?? definition.execution,
    };
    if (reason.retryAfterMs !== undefined) {
        headers["retry-after"] = String(Math.ceil(reason.retryAfterMs / MILLISECONDS_PER_SECOND));
    }
    return { status: definition.status, headers, body: openai.errorBody(reason, requestId, execution) };
}
