/** Log events of routing. */
import type * as event from "../core/event.js";

export const events = {
    "cache-view-void": {
        number: 2101,
        level: "info",
        message: fields => `the cache view of engine ${fields.server} is void: ${fields.reason}`,
        hint: "The agent rebuilds the view from a snapshot. Check the event stream of the engine if this repeats.",
    },
    "cache-view-rebuilt": {
        number: 2102,
        level: "debug",
        message: fields => `the cache view of engine ${fields.server} has ${fields.pieces} pieces`,
        hint: "",
    },
} as const satisfies event.EventCatalogue;
