/** Log events of cache-aware routing. */
import type * as event from "../core/event.js";

export const events = {
    "cache-view-void": {
        number: 2101,
        level: "info",
        message: fields => `the cache view of engine ${fields.server} is invalid: ${fields.reason}`,
        hint: "The agent rebuilds the view from a snapshot. If this repeats, check the engine's cache event stream.",
    },
    "cache-view-rebuilt": {
        number: 2102,
        level: "debug",
        message: fields => `rebuilt the cache view of engine ${fields.server} with ${fields.pieces} cached pieces`,
        hint: "",
    },
} as const satisfies event.EventCatalogue;
