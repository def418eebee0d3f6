/** Failures of RPCs between processes. */
import type * as failure from "../core/failure.js";

export const failures = {
    "peer-unreachable": {
        number: 1401,
        status: 503,
        execution: "not-run",
        retry: "after-delay",
        message: detail => `no connection to the process: ${detail}`,
        hint: "The request was never sent. Check that the process runs and listens on its RPC address.",
    },
    "peer-connection-lost": {
        number: 1402,
        status: 502,
        execution: "unknown",
        retry: "after-delay",
        message: detail => `the connection to the process was lost: ${detail}`,
        hint: "The outcome is unknown; repeat non-idempotent calls with the same idempotency key.",
    },
} as const satisfies failure.FailureCatalogue;
