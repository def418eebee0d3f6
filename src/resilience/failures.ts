/** Failures of circuit breakers and retry budgets. */
import type * as failure from "../core/failure.js";

export const failures = {
    "retry-budget-exhausted": {
        number: 2001,
        status: 503,
        execution: "unknown",
        retry: "after-delay",
        message: detail => `the attempt failed and the retry budget is exhausted: ${detail}`,
        hint: "Many requests are failing. Retry after a delay, with the same idempotency key if one was used.",
    },
} as const satisfies failure.FailureCatalogue;
