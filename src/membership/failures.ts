/** Failures of processes and servers that leave. */
import type * as failure from "../core/failure.js";

export const failures = {
    "server-leaving": {
        number: 1701,
        status: 503,
        execution: "not-run",
        retry: "same-request",
        message: detail => `the backend server leaves and takes no new work: ${detail}`,
        hint: "Send the request to another backend server.",
    },
} as const satisfies failure.FailureCatalogue;
