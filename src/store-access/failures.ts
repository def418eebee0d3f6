/** Failures of the access to the platform's store. */
import type * as failure from "../core/failure.js";

export const failures = {
    "store-history-lost": {
        number: 3101,
        status: 503,
        execution: "not-run",
        retry: "same-request",
        message: detail => `the store no longer has the changes after a revision: ${detail}`,
        hint: "The kind is listed again; no action is needed.",
    },
} as const satisfies failure.FailureCatalogue;
