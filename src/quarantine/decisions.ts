/** Decisions of entries and agents about one request. Pure. */
import type * as failures from "../core/failure.js";
import type * as outcomes from "../core/outcome.js";
import * as outcome from "../core/outcome.js";
import type * as types from "./types.js";

/**
 * Time in milliseconds for which an agent whose engine is down keeps a trial before it answers `engine-unreachable`;
 * one round of anti-entropy. A restarted agent may have forgotten that this very request crashed its engine; the
 * documents arrive meanwhile and `onWorse` ends the run with `request-quarantined`.
 */
export const TRIAL_HOLD_MS = 1000;

/** What an entry knows beyond the table. */
export interface EntryEvidence {
    /** See `Loss` of the streams. */
    readonly loss: "none" | "agent" | "engine";
    /** The last agent is proven dead, so its server may be too. A lost connection alone proves no crash. */
    readonly agentDead: boolean;
    /** An agent refused or withdrew the request as a suspect; the table of the entry may not know yet. */
    readonly toldSuspect: boolean;
}

/** Decides how an entry sends an attempt. A request that lost its engine runs alone before any document arrives. */
export function atEntry(verdict: types.Verdict, evidence: EntryEvidence): types.Verdict {
    const lost = evidence.loss === "engine" || (evidence.loss === "agent" && evidence.agentDead);
    return verdict === "run" && (lost || evidence.toldSuspect) ? "run-alone" : verdict;
}

/**
 * Decides whether an agent passes a request to its gate. A suspect that arrives as an ordinary request is sent back,
 * so that its entry selects the trial server; running it here could make two trials at a time.
 */
export function atAgent(verdict: types.Verdict, runAlone: boolean, fingerprint: string): outcomes.Outcome<undefined> {
    if (verdict === "refuse") {
        return outcome.fail("request-quarantined", fingerprint);
    }
    return verdict === "run-alone" && !runAlone
        ? outcome.fail("request-suspected", fingerprint)
        : outcome.succeed(undefined);
}

/**
 * Decides what an agent answers to a run that was in flight at a crash, after the crash was reported. The entry of a
 * trial must learn the verdict from this answer, since it sends a lost request on before the document reaches it.
 */
export function afterCrash(verdict: types.Verdict, fingerprint: string): failures.Failure {
    return verdict === "refuse"
        ? { kind: "request-quarantined", detail: fingerprint }
        : { kind: "engine-connection-lost", detail: `crash with ${fingerprint} in flight` };
}

/** What an agent answers to a run that it cancels because the verdict worsened. */
export function withdrawal(verdict: types.Verdict, fingerprint: string): failures.Failure {
    return { kind: verdict === "refuse" ? "request-quarantined" : "suspect-withdrawn", detail: fingerprint };
}
