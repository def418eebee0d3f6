/** Log events of the agent. */
import type * as event from "../core/event.js";

export const events = {
    "backend-reachable": {
        number: 2801,
        level: "info",
        message: fields => `the backend server at ${fields.address} answers (boot ${fields.backendBoot ?? "unknown"})`,
        hint: "",
    },
    "backend-unreachable": {
        number: 2802,
        level: "error",
        message: fields => `the backend server at ${fields.address} does not answer`,
        hint: "Check the backend server on this instance. The agent takes no work until it answers again.",
    },
} as const satisfies event.EventCatalogue;
