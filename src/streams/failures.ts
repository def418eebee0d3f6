/** Failures of response streams and chat completion requests. */
import type * as failure from "../core/failure.js";

export const failures = {
    "stream-incomplete": {
        number: 2202,
        status: 502,
        execution: "unknown",
        retry: "same-request",
        message: detail => `a server ended its stream without a terminal event: ${detail}`,
        hint: "The response continues on another server if the retry budget allows it.",
    },
    "stream-stalled": {
        number: 2203,
        status: 504,
        execution: "unknown",
        retry: "same-request",
        message: detail => `a server sent no event before the timeout: ${detail}`,
        hint: "The server or its agent does not respond. Check it if the same server is reported repeatedly.",
    },
    "stream-inconsistent": {
        number: 2204,
        status: 502,
        execution: "unknown",
        retry: "same-request",
        message: detail => `a server sent inconsistent events: ${detail}`,
        hint: "Check that the versions of entry and agent match.",
    },
    "stream-interrupted": {
        number: 2205,
        status: 502,
        execution: "unknown",
        retry: "after-delay",
        message: detail => `the response could not be continued on another server: ${detail}`,
        hint: "The caller received a correct prefix of the response. Check the servers that failed.",
    },
    "chat-request-invalid": {
        number: 2206,
        status: 400,
        execution: "not-run",
        retry: "never",
        message: detail => `the request is not a valid chat completion request: ${detail}`,
        hint: "Correct the fields given in the message.",
    },
} as const satisfies failure.FailureCatalogue;
