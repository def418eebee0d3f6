/** Log events of request quarantine. */
import type * as event from "../core/event.js";

export const events = {
    "requests-suspected": {
        number: 2401,
        level: "warn",
        message: fields => `server ${fields.server} crashed with ${fields.requests} requests in flight`,
        hint: "Requests that are suspected repeatedly run as trials. Check the engine's log.",
    },
    "request-quarantined": {
        number: 2402,
        level: "error",
        message: fields => `request ${fields.fingerprint} crashed server ${fields.server} during its trial`,
        hint: "The request is refused from now on. Report it to the operators of the engine.",
    },
    "suspect-cleared": {
        number: 2403,
        level: "info",
        message: fields => `request ${fields.fingerprint} was answered during its trial and is no longer a suspect`,
        hint: "",
    },
    "trial-started": {
        number: 2405,
        level: "info",
        message: fields => `a call runs as the trial of ${fields.fingerprints}`,
        hint: "Other calls with these fingerprints wait for its outcome.",
    },
    "suspect-document-invalid": {
        number: 2404,
        level: "warn",
        message: fields => `ignored the invalid suspect document ${fields.document}`,
        hint: "Check that all processes run compatible versions.",
    },
} as const satisfies event.EventCatalogue;
