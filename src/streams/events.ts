/** Log events of this feature. */
import type * as event from "../core/event.js";

export const events = {
    "stream-continued": {
        number: 2201,
        level: "warn",
        message: fields =>
            `request ${fields.request} leaves server ${fields.server} after ${fields.tokens} tokens: ${fields.reason}`,
        hint: "Check the server when it is named repeatedly.",
    },
    "stream-event-dropped": {
        number: 2202,
        level: "debug",
        message: fields => `request ${fields.request} dropped an event: ${fields.reason}`,
        hint: "",
    },
} as const satisfies event.EventCatalogue;
