/** Failures of the protection of backend servers. */
import type * as failure from "../core/failure.js";

export const failures = {
    "retry-budget-exhausted": {
        number: 2001,
        status: 503,
        execution: "unknown",
        retry: "after-delay",
        message: detail => `the attempt failed and the retry budget is used up: ${detail}`,
        hint: "Many attempts fail at present. Retry after a delay, with the same idempotency key where one was used.",
    },
    "circuit-open": {
        number: 2002,
        status: 503,
        execution: "not-run",
        retry: "after-delay",
        message: detail => `the circuit of the backend server is open: ${detail}`,
        hint: "The server failed repeatedly. It gets trial requests until it answers again.",
    },
} as const satisfies failure.FailureCatalogue;
