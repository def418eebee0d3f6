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
} as const satisfies failure.FailureCatalogue;
