/** Failures of weights updates. */
import type * as failure from "../core/failure.js";

export const failures = {} as const satisfies failure.FailureCatalogue;
