/** Failures of access to the platform's store. */
import type * as failure from "../core/failure.js";

export const failures = {
    "store-no-response": {
        number: 3102,
        status: 503,
        execution: "unknown",
        retry: "same-request",
        message: detail => `the store did not respond: ${detail}`,
        hint: "The call is sent again on a new connection. Check the store and the network if this persists.",
    },
    "store-history-lost": {
        number: 3101,
        status: 503,
        execution: "not-run",
        retry: "same-request",
        message: detail => `the store no longer keeps the changes since a revision: ${detail}`,
        hint: "All records of the kind are listed again; no action is needed.",
    },
    "store-changes-unreadable": {
        number: 3103,
        status: 503,
        execution: "not-run",
        retry: "same-request",
        message: detail => `changes in the store cannot be read: ${detail}`,
        hint: "All records of the kind are listed again. Look for a record that another writer has left there.",
    },
    "store-answer-too-large": {
        number: 3104,
        status: 503,
        execution: "unknown",
        retry: "after-delay",
        message: detail => `there is no room for an answer of the store: ${detail}`,
        hint: "The local copy stays in use. Compare the reserved memory with the limit, and look for large records.",
    },
} as const satisfies failure.FailureCatalogue;
