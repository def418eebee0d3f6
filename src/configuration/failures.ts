/** Failures of keys and of configuration versions. */
import type * as failure from "../core/failure.js";

export const failures = {
    "configuration-stale": {
        number: 1601,
        status: 503,
        execution: "not-run",
        retry: "same-request",
        message: detail => `the request was authorized under an older configuration: ${detail}`,
        hint: "The entry fetches the newer configuration, reauthorizes the request and repeats it.",
    },
    "configuration-unavailable": {
        number: 1602,
        status: 503,
        execution: "not-run",
        retry: "after-delay",
        message: detail => `the required configuration is not available: ${detail}`,
        hint: "The process has no configuration, or cannot reach a process that holds the required version.",
    },
    "key-revoked": {
        number: 1603,
        status: 401,
        execution: "unknown",
        retry: "never",
        message: detail => `the key was revoked: ${detail}`,
        hint: "Use another key of the customer. A request in flight was aborted.",
    },
} as const satisfies failure.FailureCatalogue;
