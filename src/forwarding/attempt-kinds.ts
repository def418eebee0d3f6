/** What the end of an attempt tells about its server, by kind. */
import type * as serviceRollouts from "../rollout/service-rollouts.js";
import type * as retries from "./retry-decision.js";

export type AttemptKind = "answered" | retries.AttemptFailure;

/** What an attempt tells about the software version of its server; undefined for nothing. */
export const OUTCOME_ENDS: Readonly<Record<AttemptKind, serviceRollouts.AttemptOutcome["end"] | undefined>> = {
    "answered": "answered",
    "server-failure": "failed",
    "broken": "lost",
    "silent": "abandoned",
    "held-up": undefined,
    "withdrawn": undefined,
    "unsendable": undefined,
    "not-sent": undefined,
    "not-executed": undefined,
};

/** Attempts that reached no server or were rejected without being run. */
export const UNEXECUTED_KINDS: ReadonlySet<AttemptKind> = new Set(["not-sent", "not-executed", "unsendable"]);

/** Attempts whose end is not the server's doing. */
export const BLAMELESS_KINDS: ReadonlySet<AttemptKind> = new Set(["withdrawn", "unsendable", "held-up"]);
