/** Log events that any feature can emit. */
import type * as event from "./event.js";

export const events = {
    "controller-step-failed": {
        number: 1001,
        level: "error",
        message: fields => `controller ${fields.controller} failed: ${fields.reason}`,
        hint: "The controller continues with its next step. Report repeated occurrences.",
    },
    "listening-failed": {
        number: 1002,
        level: "warn",
        message: fields => `listening on ${fields.address} failed: ${fields.reason}`,
        hint: "The process tries again until it succeeds. Look for another program at the address if it does not.",
    },
} as const satisfies event.EventCatalogue;
