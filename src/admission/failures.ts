/** Failures of rate-limited admission. */
import type * as failure from "../core/failure.js";

export const failures = {
    "rate-exceeded": {
        number: 1801,
        status: 429,
        execution: "not-run",
        retry: "after-delay",
        message: detail => `the customer exceeds its rate: ${detail}`,
        hint: "Retry after the given delay. To allow the customer more requests, raise its rate in the manifest.",
    },
    "budget-unavailable": {
        number: 1802,
        status: 503,
        execution: "not-run",
        retry: "after-delay",
        message: detail => `no holder of the budget granted an admission in time: ${detail}`,
        hint: "Retry after the given delay. If the failure persists, check the object API and the agents of the group.",
    },
    "budget-not-holder": {
        number: 1803,
        status: 503,
        execution: "not-run",
        retry: "same-request",
        message: detail => `the process does not hold the budget: ${detail}`,
        hint: "The entry asks the process named in the reply.",
    },
    "budget-lease-missing": {
        number: 1804,
        status: 503,
        execution: "not-run",
        retry: "after-delay",
        message: detail => `the holder currently has no lease: ${detail}`,
        hint: "The holder waits for its standby or for a change of the holders in the object API.",
    },
    "budget-renewal-refused": {
        number: 1805,
        status: 409,
        execution: "not-run",
        retry: "never",
        message: detail => `the standby refused the renewal: ${detail}`,
        hint: "The sender reads the holders again.",
    },
    "budget-customer-unknown": {
        number: 1806,
        status: 403,
        execution: "not-run",
        retry: "never",
        message: detail => `the active configuration has no such customer: ${detail}`,
        hint: "Check the customers of the manifest.",
    },
    "admission-cancelled": {
        number: 1807,
        status: 499,
        execution: "not-run",
        retry: "same-request",
        message: detail => `the request was cancelled before admission: ${detail}`,
        hint: "",
    },
    "budget-holders-invalid": {
        number: 1808,
        status: 500,
        execution: "not-run",
        retry: "never",
        message: detail => `the budget holders object is malformed: ${detail}`,
        hint: "Compare the object with its documentation. The holders can't change until it is corrected.",
    },
} as const satisfies failure.FailureCatalogue;
