/** Log events of the fair queue in front of a backend server. */
import type * as event from "../core/event.js";

export const events = {
    "queue-shed": {
        number: 1901,
        level: "warn",
        message: fields => `the queue refused a request of customer ${fields.customer}: ${fields.reason}`,
        hint: "The customer exceeds its share. If this affects many customers repeatedly, add backend servers.",
    },
} as const satisfies event.EventCatalogue;
