/** Log events of configuration versions. */
import type * as event from "../core/event.js";

export const events = {
    "configuration-adopted": {
        number: 1601,
        level: "info",
        message: fields => `configuration ${fields.version} is in force, before ${fields.previous}`,
        hint: "",
    },
    "configuration-rejected": {
        number: 1602,
        level: "error",
        message: fields => `configuration ${fields.version} is not valid and not adopted: ${fields.reason}`,
        hint: "The last valid configuration stays in force. Apply a corrected manifest; use `ibisstep validate` first.",
    },
    "store-unconfirmed": {
        number: 1603,
        level: "warn",
        message: fields => `no process has confirmed the object API for ${fields.ageMs} ms`,
        hint: "Changes and revocations of keys do not arrive here. Check the object API and the network.",
    },
    "store-confirmed": {
        number: 1604,
        level: "info",
        message: fields => `the object API is reachable again, after ${fields.ageMs} ms`,
        hint: "",
    },
    "store-behind": {
        number: 1605,
        level: "error",
        message: fields =>
            `the object API is at revision ${fields.revision}, configuration ${fields.version} is in force`,
        hint: "The object API was reset or restored. Changes are ignored until its revisions exceed the one in force.",
    },
    "former-version-lost": {
        number: 1606,
        level: "warn",
        message: fields =>
            `configuration ${fields.expected} was in force before the restart; peers know ${fields.known}`,
        hint: "The process serves under the version its peers know. Check the object API and apply the change again.",
    },
} as const satisfies event.EventCatalogue;
