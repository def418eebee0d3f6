/** Log events of process startup, shutdown and settings. */
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
        message: fields => `ready ${fields.elapsedMs} ms after startup, configuration ${fields.configuration}`,
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
        hint: "Calls still in flight were answered as of unknown outcome at the end of the shutdown grace period.",
    },
    "settings-reloaded": {
        number: 3505,
        level: "info",
        message: fields => `reloaded the settings on ${fields.signal}: ${fields.outcome}`,
        hint: "",
    },
    "member-registration-failed": {
        number: 3506,
        level: "warn",
        message: fields => `failed to register the process or to list the members: ${fields.reason}`,
        hint: "The process retries; it already knows seeds and peers that send heartbeats.",
    },
    "settings-unusable": {
        number: 3507,
        level: "error",
        message: fields => `the settings cannot be used: ${fields.reason}`,
        hint: "The process waits until they can be used. Correct the settings file.",
    },
    "internal-error": {
        number: 3508,
        level: "error",
        message: fields => `an unexpected error did not end the process: ${fields.reason}`,
        hint: "Report this as a bug. The operation in which it occurred has failed; others go on.",
    },
    "process-failed": {
        number: 3509,
        level: "error",
        message: fields => `the process ends on an unexpected error: ${fields.reason}`,
        hint: "Report this as a bug.",
    },
    "process-ended": {
        number: 3510,
        level: "info",
        message: fields => `ended with status ${fields.status} after ${fields.uptimeMs} ms`,
        hint: "A process without this line was killed, ran out of memory, or got a signal before it could take it.",
    },
    "settings-partly-unreadable": {
        number: 3511,
        level: "warn",
        message: fields => `lines of the settings were left out, since they cannot be read: ${fields.lines}`,
        hint: "The process needs none of them. Correct the settings file if they are not new fields of the platform.",
    },
} as const satisfies event.EventCatalogue;
