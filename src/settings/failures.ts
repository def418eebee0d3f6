/** Failures of loading the settings of a process. */
import type * as failure from "../core/failure.js";

export const failures = {
    "settings-unreadable": {
        number: 1101,
        status: 500,
        execution: "not-run",
        retry: "never",
        message: detail => `the settings file cannot be read: ${detail}`,
        hint: "Check the path given to the daemon and the permissions of the file.",
    },
    "settings-invalid": {
        number: 1102,
        status: 500,
        execution: "not-run",
        retry: "never",
        message: detail => `the settings are not valid: ${detail}`,
        hint: "Correct the reported lines or paths and restart the process.",
    },
} as const satisfies failure.FailureCatalogue;
