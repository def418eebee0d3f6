/** Log events of the event loop of a process. */
import type * as event from "../core/event.js";

export const events = {
    "event-loop-stalled": {
        number: 3951,
        level: "warn",
        message: fields => `the event loop stood still for ${fields.stalledMs} ms`,
        hint:
            "The fields name the work that took most of the time. Without any, compare the processor time with the stall: a process that got none of it waited for the processor.",
    },
} as const satisfies event.EventCatalogue;
