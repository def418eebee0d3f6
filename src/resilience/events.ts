/** Log events of the protection of backend servers. */
import type * as event from "../core/event.js";

export const events = {
    "circuit-opened": {
        number: 2001,
        level: "warn",
        message: fields => `the circuit of ${fields.backendServer} opened: ${fields.reason}`,
        hint: "Check the backend server; it gets only trial requests until it answers again.",
    },
    "circuit-closed": {
        number: 2002,
        level: "info",
        message: fields => `the circuit of ${fields.backendServer} closed`,
        hint: "",
    },
    "retry-budget-exhausted": {
        number: 2003,
        level: "warn",
        message: fields => `no retry at ${fields.backendServer}: its retry budget is used up`,
        hint: "More than a tenth of the attempts fail. Check the backend server.",
    },
} as const satisfies event.EventCatalogue;
