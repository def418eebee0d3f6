/** Exit codes of the command-line tool. */
import type * as failures from "../core/failure.js";

export const SUCCESS = 0;
export const INTERNAL_ERROR = 1;
export const USAGE_ERROR = 2;
export const INVALID_INPUT = 3;
export const CONFLICT = 4;
export const LAGGING = 5;
export const UNAVAILABLE = 6;
export const OUTCOME_UNKNOWN = 7;
export const NO_PROCESS_ANSWERED = 8;

/** Section of the help text of each command. */
export const HELP = `
Exit codes
  0  success
  1  internal error
  2  invalid usage
  3  the manifest or another input file is invalid; nothing was changed
  4  conflict with another change; nothing was changed
  5  accepted but not in force everywhere, or a process lags or does not answer
  6  the object API or the instance list did not answer; nothing was changed
  7  the outcome of the write is unknown
  8  no process answered
`;

const EXIT_CODE_BY_FAILURE: Readonly<Partial<Record<failures.FailureKind, number>>> = {
    "argument-invalid": USAGE_ERROR,
    "file-unreadable": INVALID_INPUT,
    "manifest-syntax": INVALID_INPUT,
    "manifest-invalid": INVALID_INPUT,
    "store-value-too-large": INVALID_INPUT,
    "store-conflict": CONFLICT,
    "change-not-in-force": LAGGING,
    "drain-not-finished": LAGGING,
    "store-unavailable": UNAVAILABLE,
    "store-write-unconfirmed": OUTCOME_UNKNOWN,
    "no-process-answered": NO_PROCESS_ANSWERED,
    "peer-unreachable": NO_PROCESS_ANSWERED,
    "peer-connection-lost": NO_PROCESS_ANSWERED,
};

export function forFailure(failure: failures.Failure): number {
    return EXIT_CODE_BY_FAILURE[failure.kind] ?? INTERNAL_ERROR;
}
