/** Log events of circuit breakers and retry budgets. */
import type * as event from "../core/event.js";

export const events = {
    "circuit-opened": {
        number: 2001,
        level: "warn",
        message: fields => `the circuit breaker of ${fields.backendServer} opened: ${fields.reason}`,
        hint: "Check the backend server; it receives only trial requests until they succeed.",
    },
    "circuit-closed": {
        number: 2002,
        level: "info",
        message: fields => `the circuit breaker of ${fields.backendServer} closed`,
        hint: "",
    },
    "retry-budget-exhausted": {
        number: 2003,
        level: "warn",
        message: fields => `the request to ${fields.backendServer} is not retried: its retry budget is exhausted`,
        hint: "The retries exceed a tenth of the requests. Check the backend server.",
    },
} as const satisfies event.EventCatalogue;
