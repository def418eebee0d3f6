/** Log events of the dissemination of documents. */
import type * as event from "../core/event.js";

export const events = {
    "gossip-round-failed": {
        number: 1501,
        level: "warn",
        message: fields => `anti-entropy round failed, no peer responded: ${fields.peers}`,
        hint: "Expected while peers restart. If it persists, check the network between the instances.",
    },
    "bootstrap-finished": {
        number: 1502,
        level: "info",
        message: fields =>
            `bootstrap finished with ${fields.documents} documents from ${fields.answered} of ${fields.asked} sources`,
        hint: "",
    },
    "document-refused": {
        number: 1503,
        level: "warn",
        message: fields => `refused the document ${fields.document}: ${fields.reason}`,
        hint: "A peer runs another release, or has more documents of a kind than a process keeps.",
    },
} as const satisfies event.EventCatalogue;
