/** Log events of version rollouts. */
import type * as event from "../core/event.js";

export const events = {
    "rollout-lease-taken": {
        number: 2501,
        level: "info",
        message: fields =>
            `this agent now coordinates rollouts with fencing number ${fields.fencingNumber}: ${fields.reason}`,
        hint: "",
    },
    "rollout-lease-lost": {
        number: 2502,
        level: "warn",
        message: fields => `this agent no longer coordinates rollouts: ${fields.reason}`,
        hint: "Repeated occurrences indicate process pauses or a slow object API.",
    },
    "rollout-changed": {
        number: 2503,
        level: "info",
        message: fields => `rollout ${fields.rollout} is in phase ${fields.phase} at share ${fields.share}`,
        hint: "",
    },
    "service-rollout-ordered": {
        number: 2510,
        level: "info",
        message: fields => `rollout of ${fields.service} to ${fields.target} within ${fields.durationMs} ms`,
        hint: "",
    },
    "service-rollout-changed": {
        number: 2511,
        level: "info",
        message: fields => `rollout of ${fields.service} to ${fields.target}: ${fields.stage}, ${fields.reason}`,
        hint: "After a rollback, the reason names the route and the counts of both versions.",
    },
    "service-rollout-status-written": {
        number: 2512,
        level: "info",
        message: fields => `status ${fields.state} of ${fields.service} to ${fields.target}: ${fields.outcome}`,
        hint: "Without an accepted status the write is repeated. Check the store if this persists.",
    },
    "rollout-rolled-back": {
        number: 2504,
        level: "warn",
        message: fields => `rollout ${fields.rollout} was rolled back: ${fields.reason}`,
        hint: "Remove the rollout from the manifest. Declare another attempt under a different name.",
    },
    "rollout-vetoed": {
        number: 2505,
        level: "error",
        message: fields => `the new version of rollout ${fields.rollout} is worse than the old one: ${fields.reason}`,
        hint: "Requests go to the old version; the status becomes rolled-back once the object API is reachable.",
    },
    "rollout-order-failed": {
        number: 2506,
        level: "warn",
        message: fields => `the order ${fields.order} to ${fields.address} failed: ${fields.reason}`,
        hint: "The coordinator retries it. If it keeps failing, check the engine and the weight store.",
    },
    "rollout-status-invalid": {
        number: 2507,
        level: "error",
        message: fields => `the stored rollout status is malformed: ${fields.reason}`,
        hint: "Correct or delete the object rollout/status; no rollout proceeds until then.",
    },
} as const satisfies event.EventCatalogue;
