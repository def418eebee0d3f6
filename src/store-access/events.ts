/** Log events of the access to the platform's store. */
import type * as event from "../core/event.js";

export const events = {
    "store-kind-lost": {
        number: 3101,
        level: "warn",
        message: fields => `lost the store for kind ${fields.kind}: ${fields.reason}; revision ${fields.revision}`,
        hint: "The copy stays in use and peers are asked. Check the store when this lasts.",
    },
    "store-kind-regained": {
        number: 3102,
        level: "info",
        message: fields => `the store answers again for kind ${fields.kind} after ${fields.lostMs} ms`,
        hint: "",
    },
    "store-kind-changed": {
        number: 3103,
        level: "info",
        message: fields => `${fields.kind}: ${fields.change} at revision ${fields.revision}, from ${fields.source}`,
        hint: "",
    },
} as const satisfies event.EventCatalogue;
