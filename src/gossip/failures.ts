/** Failures of the dissemination of documents. */
import type * as failure from "../core/failure.js";

export const failures = {
    "document-invalid": {
        number: 1501,
        status: 400,
        execution: "not-run",
        retry: "never",
        message: detail => `a document is not valid: ${detail}`,
        hint: "A peer runs another release, or the document was damaged. The document is ignored.",
    },
} as const satisfies failure.FailureCatalogue;
