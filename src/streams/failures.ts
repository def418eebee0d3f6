/** Failures of this feature. */
import type * as failure from "../core/failure.js";

export const failures = {
    "stream-incomplete": {
        number: 2202,
        status: 502,
        execution: "unknown",
        retry: "same-request",
        message: detail => `a server ended its stream without a terminal event: ${detail}`,
        hint: "The answer continues on another server if the retry budget allows it.",
    },
    "stream-stalled": {
        number: 2203,
        status: 504,
        execution: "unknown",
        retry: "same-request",
        message: detail => `a server sent nothing for too long: ${detail}`,
        hint: "The server or its agent is stopped. Check it when the same server is named repeatedly.",
    },
    "stream-inconsistent": {
        number: 2204,
        status: 502,
        execution: "unknown",
        retry: "same-request",
        message: detail => `a server sent events that contradict each other: ${detail}`,
        hint: "Check that the versions of entry and agent match.",
    },
    "stream-interrupted": {
        number: 2205,
        status: 502,
        execution: "unknown",
        retry: "after-delay",
        message: detail => `the answer could not be continued on another server: ${detail}`,
        hint: "The caller has a correct beginning of the answer. Check the servers that failed.",
    },
    "chat-request-invalid": {
        number: 2206,
        status: 400,
        execution: "not-run",
        retry: "never",
        message: detail => `the request is not a valid chat completion request: ${detail}`,
        hint: "Correct the named fields.",
    },
} as const satisfies failure.FailureCatalogue;
