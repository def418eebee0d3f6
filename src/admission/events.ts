/** Log events of the admission under rate and burst. */
import type * as event from "../core/event.js";

export const events = {
    "budget-ownership-taken": {
        number: 1801,
        level: "info",
        message: fields => `holds group ${fields.group} in epoch ${fields.epoch}: ${fields.reason}`,
        hint: "",
    },
    "budget-ownership-lost": {
        number: 1802,
        level: "warn",
        message: fields => `no longer holds group ${fields.group}: ${fields.reason}`,
        hint: "Repeated occurrences point to pauses of the process or to slow connections between the holders.",
    },
    "budget-standby-lost": {
        number: 1803,
        level: "warn",
        message: fields => `the standby of group ${fields.group} is lost: ${fields.reason}`,
        hint: "The primary appoints another one once the object API answers.",
    },
    "budget-handed-over": {
        number: 1804,
        level: "info",
        message: fields => `handed group ${fields.group} over: ${fields.reason}`,
        hint: "",
    },
    "budget-holders-invalid": {
        number: 1805,
        level: "error",
        message: fields => `the object of the holders is malformed: ${fields.reason}`,
        hint: "Compare the object with its documentation; the holders stay as they are until it is corrected.",
    },
} as const satisfies event.EventCatalogue;
