/** Log events of the placement of calls. */
import type * as event from "../core/event.js";

export const events = {
    "cache-store-followed": {
        number: 3601,
        level: "info",
        message: fields => `the content of the cache store at ${fields.address} is followed from ${fields.next}`,
        hint: "After a gap the parts before it are taken as absent and are saved again.",
    },
    "cache-store-lost": {
        number: 3602,
        level: "warn",
        message: fields => `the cache store at ${fields.address} is not followed any more`,
        hint: "Its content is estimated meanwhile. Check the store when this lasts.",
    },
} as const satisfies event.EventCatalogue;
