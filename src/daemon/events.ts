/** Log events of the daemon. */
import type * as event from "../core/event.js";

export const events = {
    "process-ready": {
        number: 2901,
        level: "info",
        message: fields => `the process is ready; configuration version ${fields.version}`,
        hint: "",
    },
} as const satisfies event.EventCatalogue;
