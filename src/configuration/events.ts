/** Log events of configuration versions. */
import type * as event from "../core/event.js";

export const events = {
    "configuration-adopted": {
        number: 1601,
        level: "info",
        message: fields => `configuration ${fields.version} is in force, previously ${fields.previous}`,
        hint: "",
    },
    "configuration-rejected": {
        number: 1602,
        level: "error",
        message: fields => `configuration ${fields.version} is invalid and was not adopted: ${fields.reason}`,
        hint: "The last valid configuration stays in force. Apply a corrected manifest; use `ibisstep validate` first.",
    },
    "store-unconfirmed": {
        number: 1603,
        level: "warn",
        message: fields => `the object API has not been confirmed as reachable for ${fields.ageMs} ms`,
        hint: "Configuration changes and key revocations do not arrive. Check the object API and the network.",
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
            `the object API is at revision ${fields.revision}, behind configuration ${fields.version} in force`,
        hint: "The object API was reset or restored. Changes are ignored until its revision exceeds that version.",
    },
    "former-version-lost": {
        number: 1606,
        level: "warn",
        message: fields =>
            `configuration ${fields.expected} was in force before the restart; the newest one found is ${fields.known}`,
        hint: "The process serves with the newest version found. Check the object API and apply the change again.",
    },
} as const satisfies event.EventCatalogue;
