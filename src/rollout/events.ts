/** Log events of version rollouts. */
import type * as event from "../core/event.js";

export const events = {
    "rollout-lease-taken": {
        number: 2501,
        level: "info",
        message: fields => `coordinates rollouts with fencing number ${fields.fencingNumber}: ${fields.reason}`,
        hint: "",
    },
    "rollout-lease-lost": {
        number: 2502,
        level: "warn",
        message: fields => `no longer coordinates rollouts: ${fields.reason}`,
        hint: "Repeated occurrences point to pauses of the process or to a slow object API.",
    },
    "rollout-changed": {
        number: 2503,
        level: "info",
        message: fields => `rollout ${fields.rollout} is ${fields.phase} at share ${fields.share}`,
        hint: "",
    },
    "rollout-rolled-back": {
        number: 2504,
        level: "warn",
        message: fields => `rollout ${fields.rollout} was rolled back: ${fields.reason}`,
        hint: "Remove the rollout from the manifest. Another attempt needs another name.",
    },
    "rollout-vetoed": {
        number: 2505,
        level: "error",
        message: fields => `the new version of rollout ${fields.rollout} is proved bad: ${fields.reason}`,
        hint: "Requests go to the old version; the rollout is rolled back as soon as the object API answers.",
    },
    "rollout-order-failed": {
        number: 2506,
        level: "warn",
        message: fields => `the order ${fields.order} to ${fields.address} failed: ${fields.reason}`,
        hint: "It is repeated. When it persists, check the engine and the weight store.",
    },
    "rollout-status-invalid": {
        number: 2507,
        level: "error",
        message: fields => `the status of the rollouts is malformed: ${fields.reason}`,
        hint: "Correct or delete the object rollout/status; no rollout proceeds until then.",
    },
} as const satisfies event.EventCatalogue;
