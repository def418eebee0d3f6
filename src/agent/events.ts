/** Log events of the agent. */
import type * as event from "../core/event.js";

export const events = {
    "backend-reachable": {
        number: 2801,
        level: "info",
        message: fields =>
            `the backend server at ${fields.address} is reachable (boot ${fields.backendBoot ?? "unknown"})`,
        hint: "",
    },
    "backend-unreachable": {
        number: 2802,
        level: "error",
        message: fields => `the backend server at ${fields.address} is unreachable`,
        hint: "Check the backend server on this instance. The agent accepts no requests until it is reachable again.",
    },
} as const satisfies event.EventCatalogue;
