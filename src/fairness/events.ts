/** Log events of waiting for a backend server. */
import type * as event from "../core/event.js";

export const events = {
    "queue-shed": {
        number: 1901,
        level: "warn",
        message: fields => `refused a waiting request of ${fields.customer}: ${fields.reason}`,
        hint: "The customer sends more than its share. Repeated occurrences for many customers call for more servers.",
    },
} as const satisfies event.EventCatalogue;
