/** Log events of the communication between processes. */
import type * as event from "../core/event.js";

export const events = {
    "peer-heard": {
        number: 3201,
        level: "info",
        message: fields => `received a heartbeat from ${fields.peer}, incarnation ${fields.incarnation}`,
        hint: "",
    },
    "peer-silent": {
        number: 3202,
        level: "warn",
        message: fields => `no heartbeat from ${fields.peer} for ${fields.silentMs} ms`,
        hint: "Its share of the quotas stays unused until heartbeats resume. Check the process and the network.",
    },
    "peer-send-failed": {
        number: 3203,
        level: "warn",
        message: fields => `failed to send a heartbeat to ${fields.peer}: ${fields.reason}`,
        hint: "The next heartbeat is sent as usual.",
    },
    "document-fetch-failed": {
        number: 3204,
        level: "warn",
        message: fields => `failed to fetch the copy of ${fields.kind} from ${fields.peer}: ${fields.reason}`,
        hint: "The copy is fetched from another peer or from the store next.",
    },
    "heartbeat-invalid": {
        number: 3205,
        level: "warn",
        message: fields => `ignored a datagram that is not a usable heartbeat: ${fields.reason}`,
        hint: "A process of another version or another program sends to the port. Find the sender if this persists.",
    },
} as const satisfies event.EventCatalogue;
