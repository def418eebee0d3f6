/** Decisions of entries and agents whether a request may run. */
import type * as failures from "../core/failure.js";
import type * as outcomes from "../core/outcome.js";
import * as outcome from "../core/outcome.js";
import type * as types from "./types.js";

/**
 * Time in milliseconds for which an agent whose engine is down holds a trial before it fails with `engine-unreachable`.
 * It is one anti-entropy round, since a restarted agent may not know yet that the request crashed its engine. If a
 * document with that crash arrives within this time, `onVerdictEscalated` ends the run with `request-quarantined`.
 */
export const TRIAL_HOLD_MS = 1000;

/** Evidence that an entry has beyond its table of suspects. */
export interface EntryEvidence {
    /** See `Loss` in streams/types.ts. */
    readonly loss: "none" | "agent" | "engine";
    /**
     * The last agent is proved dead, so its server may have crashed. A lost connection alone is no proof of a crash.
     */
    readonly agentDead: boolean;
    /** An agent refused or withdrew the request as a suspect, which the table of the entry may not show yet. */
    readonly flaggedAsSuspect: boolean;
}

/** Decides how an entry sends an attempt. A request whose engine was lost runs alone even before a document arrives. */
export function decideAtEntry(verdict: types.Verdict, evidence: EntryEvidence): types.Verdict {
    const executorLost = evidence.loss === "engine" || (evidence.loss === "agent" && evidence.agentDead);
    return verdict === "run" && (executorLost || evidence.flaggedAsSuspect) ? "run-alone" : verdict;
}

/**
 * Decides whether an agent passes a request to its isolation gate. Fails with `request-quarantined`, or with
 * `request-suspected` for a suspect that did not arrive as a trial: the entry then selects the trial server. Running it
 * here could cause two concurrent trials.
 */
export function checkAtAgent(
    verdict: types.Verdict,
    runAlone: boolean,
    fingerprint: string,
): outcomes.Outcome<undefined> {
    if (verdict === "refuse") {
        return outcome.fail("request-quarantined", fingerprint);
    }
    return verdict === "run-alone" && !runAlone
        ? outcome.fail("request-suspected", fingerprint)
        : outcome.succeed(undefined);
}

/**
 * Failure of a run that was in flight at a crash; call it after the crash was reported. It carries the verdict because
 * the entry would otherwise retry the lost request before the document reaches it.
 */
export function crashFailure(verdict: types.Verdict, fingerprint: string): failures.Failure {
    return verdict === "refuse"
        ? { kind: "request-quarantined", detail: fingerprint }
        : { kind: "engine-connection-lost", detail: `crash with ${fingerprint} in flight` };
}

/** Failure of a run that an agent cancels because the verdict of its request became stricter. */
export function withdrawalFailure(verdict: types.Verdict, fingerprint: string): failures.Failure {
    return { kind: verdict === "refuse" ? "request-quarantined" : "suspect-withdrawn", detail: fingerprint };
}
