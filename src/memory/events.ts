/** Log events of the memory budget. */
import type * as event from "../core/event.js";

export const events = {
    "memory-high": {
        number: 3901,
        level: "warn",
        message: fields => `${fields.residentBytes} of ${fields.limitBytes} bytes are resident`,
        hint:
            "New calls are refused or read slower. The fields tell what the memory is used for; see docs/OPERATIONS.md.",
    },
    "memory-recovered": {
        number: 3902,
        level: "info",
        message: fields => `${fields.residentBytes} of ${fields.limitBytes} bytes are resident again`,
        hint: "",
    },
} as const satisfies event.EventCatalogue;
