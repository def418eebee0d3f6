/** Failures that any feature can report. */
import type * as failure from "./failure.js";

export const failures = {
    "deadline-exceeded": {
        number: 1001,
        status: 504,
        execution: "unknown",
        retry: "after-delay",
        message: detail => `the deadline passed: ${detail}`,
        hint: "Retry with a longer deadline; for non-idempotent calls repeat with the same idempotency key.",
    },
    "internal-error": {
        number: 1002,
        status: 500,
        execution: "unknown",
        retry: "after-delay",
        message: detail => `internal error: ${detail}`,
        hint: "Report this with the request identifier.",
    },
} as const satisfies failure.FailureCatalogue;
