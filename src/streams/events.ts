/** Log events of response streams. */
import type * as event from "../core/event.js";

export const events = {
    "stream-continued": {
        number: 2201,
        level: "warn",
        message: fields =>
            `request ${fields.request}: ${fields.server} failed after ${fields.tokens} tokens, retrying: ${fields.reason}`,
        hint: "Check the server if it is reported repeatedly.",
    },
    "stream-event-dropped": {
        number: 2202,
        level: "debug",
        message: fields => `dropped a stream event of request ${fields.request}: ${fields.reason}`,
        hint: "",
    },
} as const satisfies event.EventCatalogue;
