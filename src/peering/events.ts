/** Log events of the messages between processes. */
import type * as event from "../core/event.js";

export const events = {
    "peer-heard": {
        number: 3201,
        level: "info",
        message: fields => `${fields.peer} is heard, incarnation ${fields.incarnation}`,
        hint: "",
    },
    "peer-silent": {
        number: 3202,
        level: "warn",
        message: fields => `${fields.peer} has not been heard for ${fields.silentMs} ms`,
        hint: "Its share of the quotas is left unused meanwhile. Check the process and the network.",
    },
    "peer-send-failed": {
        number: 3203,
        level: "warn",
        message: fields => `a beat to ${fields.peer} could not be sent: ${fields.reason}`,
        hint: "The next beat tries again.",
    },
    "document-fetch-failed": {
        number: 3204,
        level: "warn",
        message: fields => `${fields.peer} did not hand over its copy of ${fields.kind}: ${fields.reason}`,
        hint: "Another peer or the store is asked next.",
    },
} as const satisfies event.EventCatalogue;
