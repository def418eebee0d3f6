/** Log events of the start and the end of a process. */
import type * as event from "../core/event.js";

export const events = {
    "process-started": {
        number: 3501,
        level: "info",
        message: fields => `started as ${fields.role} in ${fields.dataCentre}`,
        hint: "",
    },
    "entry-ready": {
        number: 3502,
        level: "info",
        message: fields => `ready ${fields.elapsedMs} ms after the start, configuration ${fields.configuration}`,
        hint: "",
    },
    "process-stopping": {
        number: 3503,
        level: "info",
        message: fields => `stopping on ${fields.signal} with ${fields.calls} calls in flight`,
        hint: "",
    },
    "process-stopped": {
        number: 3504,
        level: "info",
        message: fields => `stopped after ${fields.elapsedMs} ms with ${fields.calls} calls in flight`,
        hint: "Calls that are left were broken off at the end of the grace time.",
    },
    "settings-reloaded": {
        number: 3505,
        level: "info",
        message: fields => `settings read again on ${fields.signal}: ${fields.outcome}`,
        hint: "",
    },
    "member-registration-failed": {
        number: 3506,
        level: "warn",
        message: fields => `the process could not register or list members: ${fields.reason}`,
        hint: "It is retried; peers that are seeds or send beats are known without it.",
    },
    "settings-unusable": {
        number: 3507,
        level: "error",
        message: fields => `the settings are not usable: ${fields.reason}`,
        hint: "Correct the settings file; the process ends.",
    },
} as const satisfies event.EventCatalogue;
