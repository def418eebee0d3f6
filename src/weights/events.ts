/** Log events of weights updates. */
import type * as event from "../core/event.js";

export const events = {
    "weights-named": {
        number: 3401,
        level: "info",
        message: fields =>
            `version ${fields.version} is the new desired version of ${fields.model}, set at revision ${fields.revision}`,
        hint: "",
    },
    "weights-ordered": {
        number: 3402,
        level: "info",
        message: fields => `ordered the server to load version ${fields.version} of ${fields.model}: ${fields.outcome}`,
        hint: "",
    },
    "weights-moved": {
        number: 3403,
        level: "info",
        message: fields => `the weights update ended with version ${fields.version} after ${fields.elapsedMs} ms`,
        hint: "",
    },
    "engine-lost": {
        number: 3404,
        level: "warn",
        message: fields => `the server at ${fields.address} does not respond`,
        hint: "The entries stop sending calls to it. Check the server if this persists.",
    },
    "engine-regained": {
        number: 3405,
        level: "info",
        message: fields => `the server at ${fields.address} responds; it started at ${fields.startedAt}`,
        hint: "",
    },
} as const satisfies event.EventCatalogue;
