/** Failures of routing. */
import type * as failure from "../core/failure.js";

export const failures = {
    "no-server": {
        number: 2101,
        status: 503,
        execution: "not-run",
        retry: "after-delay",
        message: detail => `no live backend server can run the request: ${detail}`,
        hint: "Check that servers with the model or service are live and not draining.",
    },
} as const satisfies failure.FailureCatalogue;
