/** Failures of reading a manifest. */
import type * as failure from "../core/failure.js";

export const failures = {
    "manifest-syntax": {
        number: 1201,
        status: 400,
        execution: "not-run",
        retry: "never",
        message: detail => `the manifest is not valid TOML: ${detail}`,
        hint: "Correct the named line; nothing of the manifest took effect.",
    },
    "manifest-invalid": {
        number: 1202,
        status: 400,
        execution: "not-run",
        retry: "never",
        message: detail => `the manifest is not valid: ${detail}`,
        hint: "Correct the named paths; nothing of the manifest took effect.",
    },
} as const satisfies failure.FailureCatalogue;
