/** Failures of calls for which there is no memory. */
import type * as failure from "../core/failure.js";

export const failures = {
    "memory-exhausted": {
        number: 3901,
        status: 503,
        execution: "not-run",
        retry: "after-delay",
        message: detail => `no memory for the call: ${detail}`,
        hint: "Retry after the stated time. If it persists, compare the reserved memory by purpose with the limit.",
    },
} as const satisfies failure.FailureCatalogue;
