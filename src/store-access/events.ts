/** Log events of access to the platform's store. */
import type * as event from "../core/event.js";

export const events = {
    "store-kind-lost": {
        number: 3101,
        level: "warn",
        message: fields =>
            `reading kind ${fields.kind} from the store failed: ${fields.reason}; revision ${fields.revision}`,
        hint: "The local copy stays in use and newer ones are fetched from peers. Check the store if this persists.",
    },
    "store-kind-regained": {
        number: 3102,
        level: "info",
        message: fields => `reading kind ${fields.kind} from the store succeeds again after ${fields.lostMs} ms`,
        hint: "",
    },
    "store-kind-changed": {
        number: 3103,
        level: "info",
        message: fields => `${fields.kind}: ${fields.change} at revision ${fields.revision}, from ${fields.source}`,
        hint: "",
    },
    "store-kind-unusable": {
        number: 3104,
        level: "error",
        message: fields => `records of kind ${fields.kind} could not be used: ${fields.reason}`,
        hint: "The kind is listed again. Report this as a bug if it persists.",
    },
} as const satisfies event.EventCatalogue;
