/** Log events of weight moves. */
import type * as event from "../core/event.js";

export const events = {
    "weights-named": {
        number: 3401,
        level: "info",
        message: fields => `version ${fields.version} of ${fields.model} is named, revision ${fields.revision}`,
        hint: "",
    },
    "weights-ordered": {
        number: 3402,
        level: "info",
        message: fields => `ordered version ${fields.version} of ${fields.model}: ${fields.outcome}`,
        hint: "",
    },
    "weights-moved": {
        number: 3403,
        level: "info",
        message: fields => `the server has version ${fields.version} after ${fields.elapsedMs} ms`,
        hint: "",
    },
    "engine-lost": {
        number: 3404,
        level: "warn",
        message: fields => `the server at ${fields.address} does not answer`,
        hint: "The entries stop using it. Check the server when this lasts.",
    },
    "engine-regained": {
        number: 3405,
        level: "info",
        message: fields => `the server at ${fields.address} answers, started at ${fields.startedAt}`,
        hint: "",
    },
} as const satisfies event.EventCatalogue;
