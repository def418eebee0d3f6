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
    "store-history-lost": {
        number: 3105,
        level: "info",
        message: fields =>
            `the store has no changes of kind ${fields.kind} after revision ${fields.revision}; listing it again`,
        hint: "",
    },
    "store-changes-unreadable": {
        number: 3110,
        level: "warn",
        message: fields =>
            `changes of kind ${fields.kind} after revision ${fields.revision} cannot be read; listing it again`,
        hint: "Look for a record that another writer has left there.",
    },
    "store-listing-ignored": {
        number: 3106,
        level: "warn",
        message: fields =>
            `a listing of kind ${fields.kind} at revision ${fields.listed} is older than the copy at ${fields.revision}`,
        hint: "The copy stays in use.",
    },
    "store-era-changed": {
        number: 3107,
        level: "warn",
        message: fields =>
            `the store came back from an older copy: kind ${fields.kind} is at revision ${fields.revision} of era ${fields.era}`,
        hint: "What the store lost is written again by its owners. Compare the copies if records stay missing.",
    },
    "store-connection-replaced": {
        number: 3108,
        level: "warn",
        message: fields =>
            `a connection for kind ${fields.kind} ${
                fields.isSilent ? "was silent" : "broke or was slow"
            }, and a new one works`,
        hint: "The store was up all the time. Check the network between this process and the store if this persists.",
    },
    "store-connections-renewed": {
        number: 3109,
        level: "info",
        message: fields => `renewing all connections to the store, since ${fields.source} found a silent one`,
        hint: "",
    },
    "store-kind-reduced": {
        number: 3111,
        level: "warn",
        message: fields =>
            `the copy of kind ${fields.kind} has no room for the content of ${fields.emptied ?? "no record"}`,
        hint:
            "The other records hold. Look for large records that another writer has left in the store, and remove them.",
    },
} as const satisfies event.EventCatalogue;
