/** Failures of the platform's object API and instance list. */
import type * as failure from "../core/failure.js";

export const failures = {
    "store-unavailable": {
        number: 1301,
        status: 503,
        execution: "not-run",
        retry: "after-delay",
        message: detail => `the object API did not answer: ${detail}`,
        hint: "Nothing was written. The operation is retried; check the object API if this persists.",
    },
    "store-conflict": {
        number: 1302,
        status: 409,
        execution: "not-run",
        retry: "same-request",
        message: detail => `the object was changed by another writer: ${detail}`,
        hint: "Read the object again and apply the change to the new version.",
    },
    "store-write-unconfirmed": {
        number: 1303,
        status: 503,
        execution: "unknown",
        retry: "after-delay",
        message: detail => `the response to a write was lost: ${detail}`,
        hint: "Read the object to find out whether the write took effect.",
    },
    "store-value-too-large": {
        number: 1304,
        status: 413,
        execution: "not-run",
        retry: "never",
        message: detail => `the value exceeds the limit of the object API: ${detail}`,
        hint: "Nothing was written. Reduce the object; the limit is 1 MB.",
    },
} as const satisfies failure.FailureCatalogue;
