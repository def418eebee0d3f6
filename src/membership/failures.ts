/** Failures of processes and servers that are draining or removed. */
import type * as failure from "../core/failure.js";

export const failures = {
    "server-leaving": {
        number: 1701,
        status: 503,
        execution: "not-run",
        retry: "same-request",
        message: detail => `the backend server is draining or removed and accepts no new work: ${detail}`,
        hint: "Send the request to another backend server.",
    },
} as const satisfies failure.FailureCatalogue;
