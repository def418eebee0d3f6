/** Log events of calls that an entry forwards. One line per decision on a call. */
import type * as event from "../core/event.js";

export const events = {
    "call-refused": {
        number: 3301,
        level: "info",
        message: fields => `call ${fields.call} refused: ${fields.failure}, ${fields.detail}`,
        hint: "The failure says why; the fields hold what decided.",
    },
    "call-placed": {
        number: 3302,
        level: "info",
        message: fields => `call ${fields.call} sent to ${fields.backendServer}, attempt ${fields.attempt}`,
        hint: "",
    },
    "call-waits": {
        number: 3303,
        level: "info",
        message: fields => `call ${fields.call} waits: ${fields.reason}`,
        hint: "",
    },
    "attempt-ended": {
        number: 3304,
        level: "info",
        message: fields => `call ${fields.call} at ${fields.backendServer}: ${fields.end}, then ${fields.decision}`,
        hint: "",
    },
    "call-answered": {
        number: 3305,
        level: "info",
        message: fields => `call ${fields.call} answered with ${fields.status} after ${fields.elapsedMs} ms`,
        hint: "",
    },
    "call-cancelled": {
        number: 3306,
        level: "info",
        message: fields => `the caller of ${fields.call} left after ${fields.elapsedMs} ms`,
        hint: "",
    },
    "call-broken-off": {
        number: 3307,
        level: "warn",
        message: fields => `the answer to call ${fields.call} was broken off: ${fields.reason}`,
        hint: "The stream of the server ended early and may not be continued.",
    },
    "server-suspected": {
        number: 3308,
        level: "warn",
        message: fields => `${fields.backendServer} is out of use for ${fields.pauseMs} ms: ${fields.reason}`,
        hint: "Check the server when this repeats.",
    },
    "configuration-in-force": {
        number: 3309,
        level: "info",
        message: fields =>
            `configuration ${fields.version} is in force: ${fields.routes} routes, ${fields.customers} customers`,
        hint: "",
    },
    "call-faulted": {
        number: 3311,
        level: "error",
        message: fields => `a call ended with a fault of the entry: ${fields.reason}`,
        hint: "Report this; the other calls go on.",
    },
    "record-invalid": {
        number: 3310,
        level: "warn",
        message: fields => `${fields.kind} ${fields.record} is not usable: ${fields.reason}`,
        hint: "The record is ignored; another writer may have left it.",
    },
} as const satisfies event.EventCatalogue;
