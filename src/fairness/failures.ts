/** Failures of the fair queue in front of a backend server. */
import type * as failure from "../core/failure.js";

export const failures = {
    "queue-full": {
        number: 1901,
        status: 503,
        execution: "not-run",
        retry: "after-delay",
        message: detail => `the queue of the backend server is full: ${detail}`,
        hint: "The customer has the most queued work relative to its share. Retry after the advised delay.",
    },
    "queue-deadline": {
        number: 1902,
        status: 504,
        execution: "not-run",
        retry: "after-delay",
        message: detail => `the request can't start before its deadline: ${detail}`,
        hint: "Retry with a longer deadline or after the advised delay.",
    },
    "queue-cancelled": {
        number: 1903,
        status: 499,
        execution: "not-run",
        retry: "same-request",
        message: detail => `the caller cancelled the request before it started: ${detail}`,
        hint: "",
    },
    "queue-closed": {
        number: 1904,
        status: 503,
        execution: "not-run",
        retry: "same-request",
        message: detail => `the process is stopping: ${detail}`,
        hint: "Retry the request; another process will serve it.",
    },
} as const satisfies failure.FailureCatalogue;
