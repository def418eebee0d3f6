/** Log events of rate-limited admission. */
import type * as event from "../core/event.js";

export const events = {
    "budget-ownership-taken": {
        number: 1801,
        level: "info",
        message: fields =>
            `this agent became primary of group ${fields.group} in epoch ${fields.epoch}: ${fields.reason}`,
        hint: "",
    },
    "budget-ownership-lost": {
        number: 1802,
        level: "warn",
        message: fields => `this agent is no longer primary of group ${fields.group}: ${fields.reason}`,
        hint: "Repeated occurrences indicate process pauses or slow connections between the holders.",
    },
    "budget-standby-lost": {
        number: 1803,
        level: "warn",
        message: fields => `the standby of group ${fields.group} is lost: ${fields.reason}`,
        hint: "The primary assigns another standby once the object API is available.",
    },
    "budget-handed-over": {
        number: 1804,
        level: "info",
        message: fields => `this agent handed over group ${fields.group}: ${fields.reason}`,
        hint: "",
    },
    "budget-holders-invalid": {
        number: 1805,
        level: "error",
        message: fields => `the budget holders object is malformed: ${fields.reason}`,
        hint: "Compare the object with its documentation. The holders can't change until it is corrected.",
    },
} as const satisfies event.EventCatalogue;
