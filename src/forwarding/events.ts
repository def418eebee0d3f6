/** Log events of the calls that an entry forwards, one line per decision. */
import type * as event from "../core/event.js";

export const events = {
    "call-refused": {
        number: 3301,
        level: "info",
        message: fields => `call ${fields.call} refused: ${fields.failure}, ${fields.detail}`,
        hint: "See the failure for the cause and the fields for the values behind it.",
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
        message: fields => `call ${fields.call} is waiting: ${fields.reason}`,
        hint: "",
    },
    "attempt-ended": {
        number: 3304,
        level: "info",
        message: fields =>
            `attempt of ${fields.call} at ${fields.backendServer} ended: ${fields.end}; decision: ${fields.decision}`,
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
        message: fields => `the caller of ${fields.call} disconnected after ${fields.elapsedMs} ms`,
        hint: "",
    },
    "call-broken-off": {
        number: 3307,
        level: "warn",
        message: fields => `the response to call ${fields.call} was aborted: ${fields.reason}`,
        hint: "The server's answer ended early and cannot be resumed, or its caller read nothing after the deadline.",
    },
    "server-suspected": {
        number: 3308,
        level: "warn",
        message: fields => `${fields.backendServer} is excluded for ${fields.pauseMs} ms: ${fields.reason}`,
        hint: "Check the server if this repeats.",
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
        message: fields => `a call failed with an internal error in the entry: ${fields.reason}`,
        hint: "Report this as a bug; other calls are not affected.",
    },
    "record-invalid": {
        number: 3310,
        level: "warn",
        message: fields => `record ${fields.record} of kind ${fields.kind} is invalid: ${fields.reason}`,
        hint: "The record is ignored; another program may have written it.",
    },
    "server-leaving": {
        number: 3312,
        level: "info",
        message: fields => `${fields.backendServer} states that it is leaving; it gets no more calls`,
        hint: "",
    },
    "server-paused": {
        number: 3313,
        level: "info",
        message: fields => `${fields.backendServer} wants no calls for ${fields.pauseMs} ms`,
        hint: "",
    },
    "connections-closed": {
        number: 3314,
        level: "warn",
        message: fields => `${fields.count} connections without a call closed, ${fields.left} left: ${fields.reason}`,
        hint: "With the reason memory, compare the reserved memory by purpose with the limit; with the reason "
            + "descriptors, the connections of callers with theirs.",
    },
    "answer-relayed": {
        number: 3315,
        level: "info",
        message: fields => `the answer to ${fields.call} is relayed as it arrives: ${fields.reason}`,
        hint:
            "Its server waits for the caller meanwhile. If `no-memory` persists, compare the reserved memory by purpose.",
    },
} as const satisfies event.EventCatalogue;
