/** Failures of version rollouts. */
import type * as failure from "../core/failure.js";

export const failures = {
    "version-withdrawn": {
        number: 2501,
        status: 503,
        execution: "not-run",
        retry: "same-request",
        message: detail => `the weights version has been withdrawn: ${detail}`,
        hint: "The entry sends the request to the old version. The report of the rollout says why it was rolled back.",
    },
    "rollout-order-fenced": {
        number: 2502,
        status: 409,
        execution: "not-run",
        retry: "never",
        message: detail => `the order has an outdated fencing number: ${detail}`,
        hint: "A newer coordinator has taken over; the sender stops on its own.",
    },
    "rollout-order-unsafe": {
        number: 2503,
        status: 409,
        execution: "not-run",
        retry: "never",
        message: detail => `the order would unload weights that are in use: ${detail}`,
        hint:
            "The coordinator has an older configuration or status than the agent; its next plan uses the current one.",
    },
    "rollout-order-malformed": {
        number: 2504,
        status: 400,
        execution: "not-run",
        retry: "never",
        message: detail => `the order is malformed: ${detail}`,
        hint: "Check that all processes run the same software version.",
    },
    "rollout-status-invalid": {
        number: 2505,
        status: 500,
        execution: "not-run",
        retry: "never",
        message: detail => `the stored rollout status is malformed: ${detail}`,
        hint: "Correct or delete the object rollout/status. No rollout proceeds until then; each ends at its deadline.",
    },
} as const satisfies failure.FailureCatalogue;
