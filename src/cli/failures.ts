/** Failures of the command-line tool. */
import type * as failure from "../core/failure.js";

export const failures = {
    "file-unreadable": {
        number: 3001,
        status: 400,
        execution: "not-run",
        retry: "never",
        message: detail => `the file cannot be read: ${detail}`,
        hint: "Check the path and the permissions.",
    },
    "argument-invalid": {
        number: 3002,
        status: 400,
        execution: "not-run",
        retry: "never",
        message: detail => `invalid argument: ${detail}`,
        hint: "Run the command with --help to see its arguments.",
    },
    "change-not-in-force": {
        number: 3003,
        status: 504,
        execution: "ran",
        retry: "after-delay",
        message: detail => `the change is accepted but not in force everywhere: ${detail}`,
        hint: "These processes adopt it once they reach the object API or a peer. Check them with `ibisstep status`.",
    },
    "no-process-answered": {
        number: 3004,
        status: 503,
        execution: "not-run",
        retry: "after-delay",
        message: detail => `no process answered: ${detail}`,
        hint: "Check the addresses of --seed or the URL of --instance-list.",
    },
    "drain-not-finished": {
        number: 3005,
        status: 504,
        execution: "ran",
        retry: "after-delay",
        message: detail => `the process did not stop before the timeout: ${detail}`,
        hint: "The process continues to drain, for at most timing.drain_ms of its settings.",
    },
} as const satisfies failure.FailureCatalogue;
