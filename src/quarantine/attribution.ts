/**
 * Decides from the crashes of all suspects whether a call may run, given that a crash is caused by one fingerprint of one
 * of the calls in flight: the call as a whole, or a prompt part that it shares with sound calls.
 *
 * Failure that it answers: calls that are all different but share one part crash server after server.
 */
import * as policies from "./policy.js";
import * as records from "./record.js";
import type * as tables from "./table.js";

/** Pause in milliseconds after its last crash until a refused fingerprint is tried again; grows with each trial. */
const FIRST_RETRIAL_MS = 15_000;
const RETRIAL_GROWTH = 3;
/** The same for a call that lacks another refused fingerprint, which may be the one that caused all crashes. */
const AMBIGUOUS_RETRIAL_MS = 1000;

export type Decision =
    | { readonly kind: "run"; }
    /** The call may run only while no other call with one of these fingerprints has yet to begin. */
    | { readonly kind: "run-alone"; readonly suspects: readonly string[]; readonly since: number; }
    | { readonly kind: "refuse"; readonly fingerprint: string; readonly retryAfterMs: number; };

export const RUN = { kind: "run" } as const satisfies Decision;

/** `wallTime` and the `since` of a trial, which is the time from which it is allowed, are wall-clock milliseconds. */
export function decide(table: tables.Table, fingerprints: readonly string[], wallTime: number): Decision {
    const policy = policies.sharedTrials;
    const known = fingerprints.map(fingerprint => table.get(fingerprint)).filter(record => record !== undefined);
    const refused = known.filter(record => records.verdict(record, wallTime, policy) === "refuse");
    const suspects = known.filter(record => records.verdict(record, wallTime, policy) !== "run");
    if (refused.length > 0) {
        const isAmbiguous = hasOtherCause(table, refused, fingerprints, wallTime);
        const retrials = refused.map(record => ({ record, at: retrialAt(record, isAmbiguous, wallTime) }));
        const last = retrials.reduce((latest, retrial) => retrial.at > latest.at ? retrial : latest);
        if (last.at > wallTime) {
            return { kind: "refuse", fingerprint: last.record.fingerprint, retryAfterMs: last.at - wallTime };
        }
        return { kind: "run-alone", suspects: suspects.map(record => record.fingerprint), since: last.at };
    }
    if (suspects.length === 0) {
        return RUN;
    }
    const since = Math.max(...suspects.map(record => lastCrashAt(record, wallTime)));
    return { kind: "run-alone", suspects: suspects.map(record => record.fingerprint), since };
}

/** Whether a refused fingerprint that the call lacks explains the crashes of all those that it has. */
function hasOtherCause(
    table: tables.Table,
    refused: readonly records.SuspectRecord[],
    fingerprints: readonly string[],
    wallTime: number,
): boolean {
    const others = [...table.values()].filter(record => {
        return !fingerprints.includes(record.fingerprint)
            && records.verdict(record, wallTime, policies.sharedTrials) === "refuse";
    });
    return others.some(other => {
        const ids = new Set(crashIds(other, wallTime));
        return refused.every(record => {
            return crashIds(record, wallTime).every(id => ids.has(id));
        });
    });
}

function retrialAt(record: records.SuspectRecord, isAmbiguous: boolean, wallTime: number): number {
    const active = records.activeCrashes(record, wallTime, policies.sharedTrials);
    const trials = active.filter(crash => crash.alone).length;
    const firstMs = isAmbiguous ? AMBIGUOUS_RETRIAL_MS : FIRST_RETRIAL_MS;
    return lastCrashAt(record, wallTime) + firstMs * RETRIAL_GROWTH ** (trials - 1);
}

function crashIds(record: records.SuspectRecord, wallTime: number): readonly string[] {
    return records.activeCrashes(record, wallTime, policies.sharedTrials).map(crash => crash.id);
}

function lastCrashAt(record: records.SuspectRecord, wallTime: number): number {
    return Math.max(...records.activeCrashes(record, wallTime, policies.sharedTrials).map(crash => crash.at));
}
