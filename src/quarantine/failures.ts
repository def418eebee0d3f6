/** Failures of request quarantine. */
import type * as failure from "../core/failure.js";

export const failures = {
    "request-quarantined": {
        number: 2401,
        status: 422,
        execution: "not-run",
        retry: "never",
        message: detail => `the request crashed a server while it ran alone: ${detail}`,
        hint: "Do not send this request again; report it with its fingerprint to the operators of the engine.",
    },
    "request-suspected": {
        number: 2402,
        status: 503,
        execution: "not-run",
        retry: "same-request",
        message: detail => `the request was in flight when a server crashed and must run alone: ${detail}`,
        hint: "The entry sends the request to the server selected to run it alone.",
    },
    "suspect-withdrawn": {
        number: 2403,
        status: 503,
        execution: "unknown",
        retry: "same-request",
        message: detail => `the run was stopped because a copy of the request may have crashed a server: ${detail}`,
        hint: "The entry continues the response on the server selected to run the request alone.",
    },
} as const satisfies failure.FailureCatalogue;
