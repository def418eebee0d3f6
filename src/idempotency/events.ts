/** Log events of calls that run at most once. */
import type * as event from "../core/event.js";

export const events = {
    "call-outcome-lost": {
        number: 2301,
        level: "warn",
        message: fields => `the service did not respond to call ${fields.record}: ${fields.reason}`,
        hint: "Calls on routes with a lookup path are settled automatically; for other routes, check the service.",
    },
    "call-settled": {
        number: 2302,
        level: "info",
        message: fields => `call ${fields.record} was settled as ${fields.state} on behalf of its claim holder`,
        hint: "",
    },
    "call-ran-after-settlement": {
        number: 2303,
        level: "error",
        message: fields => `call ${fields.record} has a result, but another claim now owns its record`,
        hint: "The call may have run twice. Compare settle_after_ms of the route with the duration of its calls.",
    },
    "idempotency-group-refused": {
        number: 2304,
        level: "error",
        message: fields => `the record group ${fields.group} was not written: ${fields.reason}`,
        hint: "Calls of this group are refused. Check the named object.",
    },
} as const satisfies event.EventCatalogue;
