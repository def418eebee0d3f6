/** Log events of call placement. */
import type * as event from "../core/event.js";

export const events = {
    "cache-store-followed": {
        number: 3601,
        level: "info",
        message: fields => `following the changes of the cache store at ${fields.address} from position ${fields.next}`,
        hint: "After a gap in the changes, parts stored before it count as missing and are saved again.",
    },
    "cache-store-lost": {
        number: 3602,
        level: "warn",
        message: fields => `stopped following the cache store at ${fields.address}`,
        hint: "Until it is followed again, its content is estimated. Check the store if this persists.",
    },
    "cache-store-unusable": {
        number: 3604,
        level: "error",
        message: fields => `the changes of the cache store at ${fields.address} could not be used: ${fields.reason}`,
        hint: "The store is followed again from its present state. Report this as a bug if it persists.",
    },
    "server-limit-changed": {
        number: 3603,
        level: "info",
        message: fields =>
            `${fields.backendServer} takes ${fields.requestsPerSecond ?? "any number of"} requests a second`,
        hint: "A server in need names a limit; its calls go to other servers, or wait.",
    },
    "server-cold": {
        number: 3605,
        level: "info",
        message: fields => `${fields.backendServer} is cold for ${fields.remainingMs} ms, by ${fields.source}`,
        hint: "It has just started, or returns from an evacuation, and gets few calls meanwhile.",
    },
    "server-rejecting": {
        number: 3606,
        level: "info",
        message: fields =>
            `${fields.backendServer} ${
                fields.isRejecting ? "rejects calls" : "takes calls again"
            }, pace ${fields.pace}`,
        hint: "It runs and queues as many calls as it can, or loads weights. It is left out for a moment.",
    },
    "server-pace-changed": {
        number: 3607,
        level: "info",
        message: fields =>
            `${fields.backendServer} is ${fields.isSlow ? "slow" : "as fast as usual"}, pace ${fields.pace}`,
        hint: "Other programs use its machine. Its calls go to other servers while these are faster.",
    },
    "servers-divided": {
        number: 3608,
        level: "info",
        message: fields => {
            return `${fields.shortServers} of ${fields.servers} servers of ${fields.service} are for short prompts`;
        },
        hint: "The division follows the demand of both kinds. With 0, all prompts share the servers.",
    },
    "data-centre-evacuated": {
        number: 3609,
        level: "warn",
        message: fields => `${fields.dataCentre} is evacuated; its servers get no more calls`,
        hint: "The other servers take its calls. It lasts until the operator removes the record.",
    },
    "evacuation-ended": {
        number: 3610,
        level: "info",
        message: fields => `the evacuation of ${fields.dataCentre} has ended`,
        hint: "Its servers count as cold for some seconds, in which they get few calls.",
    },
} as const satisfies event.EventCatalogue;
