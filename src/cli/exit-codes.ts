/** Exit codes of the command-line tool. */
import type * as failures from "../core/failure.js";

export const SUCCESS = 0;
export const INTERNAL_ERROR = 1;
export const USAGE = 2;
export const INVALID = 3;
export const CONFLICT = 4;
export const LAGGING = 5;
export const UNAVAILABLE = 6;
export const OUTCOME_UNKNOWN = 7;
export const NO_PROCESS = 8;

/** Text for the help of each command. */
export const DESCRIPTION = `
Exit codes
  0  success
  1  internal error
  2  wrong usage
  3  the manifest or the file is not valid; nothing changed
  4  another change came first; nothing changed
  5  accepted, but not in force everywhere, or a process lags or does not answer
  6  the object API or the instance list did not answer; nothing changed
  7  the outcome of the write is unknown
  8  no process answered
`;

const BY_KIND: Readonly<Partial<Record<failures.FailureKind, number>>> = {
    "argument-invalid": USAGE,
    "file-unreadable": INVALID,
    "manifest-syntax": INVALID,
    "manifest-invalid": INVALID,
    "store-value-too-large": INVALID,
    "store-conflict": CONFLICT,
    "change-not-in-force": LAGGING,
    "drain-not-finished": LAGGING,
    "store-unavailable": UNAVAILABLE,
    "store-write-unconfirmed": OUTCOME_UNKNOWN,
    "no-process-answered": NO_PROCESS,
    "peer-unreachable": NO_PROCESS,
    "peer-connection-lost": NO_PROCESS,
};

export function ofFailure(failure: failures.Failure): number {
    return BY_KIND[failure.kind] ?? INTERNAL_ERROR;
}
