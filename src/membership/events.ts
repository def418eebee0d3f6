/** Log events of members and of shutdown. */
import type * as event from "../core/event.js";

export const events = {
    "member-gone": {
        number: 1701,
        level: "info",
        message: fields => `member ${fields.address} (${fields.boot}) is gone: ${fields.kind}`,
        hint: "",
    },
    "instance-list-implausible": {
        number: 1702,
        level: "error",
        message: fields =>
            `ignored the instance list: most known instances are missing from it; it has ${fields.listed}`,
        hint: "Check the instance list. Until it is plausible again, processes find members only through each other.",
    },
    "drain-started": {
        number: 1703,
        level: "info",
        message: fields => `shutdown started (${fields.reason}) with ${fields.inFlight} requests in flight`,
        hint: "",
    },
    "drain-finished": {
        number: 1704,
        level: "info",
        message: fields => `shutdown completed all requests in flight after ${fields.durationMs} ms`,
        hint: "",
    },
    "drain-interrupted": {
        number: 1705,
        level: "error",
        message: fields => `shutdown interrupted ${fields.interrupted} requests after ${fields.durationMs} ms`,
        hint: "Requests ran longer than `timing.drain_ms`. Raise it above the longest deadline.",
    },
} as const satisfies event.EventCatalogue;
