/** Log events of the dissemination of documents. */
import type * as event from "../core/event.js";

export const events = {
    "gossip-round-failed": {
        number: 1501,
        level: "warn",
        message: fields => `no peer answered an exchange of documents: ${fields.peers}`,
        hint: "Expected while peers restart. When it persists, check the network between the instances.",
    },
    "bootstrap-finished": {
        number: 1502,
        level: "info",
        message: fields =>
            `documents read at start: ${fields.documents} from ${fields.answered} of ${fields.asked} sources`,
        hint: "",
    },
    "document-refused": {
        number: 1503,
        level: "warn",
        message: fields => `a document was refused: ${fields.document}: ${fields.reason}`,
        hint: "A peer of another release, or more documents of a kind than a process keeps.",
    },
} as const satisfies event.EventCatalogue;
