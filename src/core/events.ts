/** Log events that any feature can emit. */
import type * as event from "./event.js";

export const events = {
    "controller-step-failed": {
        number: 1001,
        level: "error",
        message: fields => `controller ${fields.controller} failed: ${fields.reason}`,
        hint: "The controller continues with its next step. Report repeated occurrences.",
    },
} as const satisfies event.EventCatalogue;
