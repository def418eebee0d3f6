/** Failures of parsing and validating a manifest. */
import type * as failure from "../core/failure.js";

export const failures = {
    "manifest-syntax": {
        number: 1201,
        status: 400,
        execution: "not-run",
        retry: "never",
        message: detail => `the manifest is not valid TOML: ${detail}`,
        hint: "Correct the reported line; the manifest was not applied.",
    },
    "manifest-invalid": {
        number: 1202,
        status: 400,
        execution: "not-run",
        retry: "never",
        message: detail => `the manifest is not valid: ${detail}`,
        hint: "Correct the reported paths; the manifest was not applied.",
    },
} as const satisfies failure.FailureCatalogue;
