/**
 * Crashes and clearances of one suspect, and the merge of the records of several processes.
 *
 * A record only grows: a merge is the union of crashes and clearances. Gossip keeps the higher version of a document,
 * so with equal versions one of two concurrent reports would be lost. The high part of the version is therefore the
 * number of facts (crashes, crashes alone, clearances) and the low part a hash of the record. Of two different records
 * the same one wins in every process, and a process that knows facts missing in the winner publishes the union, whose
 * version is higher.
 */
import * as hashing from "../core/hashing.js";
import * as policies from "./policy.js";
import type * as types from "./types.js";

/** Time in milliseconds for which a crash makes a request a suspect. */
export const SUSPECT_DURATION_MS = 10 * 60 * 1000;
/** Time in milliseconds for which a request that crashed a server alone is refused. */
export const QUARANTINE_MS = 60 * 60 * 1000;

/** Versions reserved for the hash below each number of facts. */
const HASH_RANGE = 2 ** 20;

export interface Crash {
    /** Boot identifier of the server that crashed; a crash reported by several processes counts once. */
    readonly id: string;
    /** Address of the agent. */
    readonly server: string;
    /** Whether the request ran as a trial, with nothing else in flight. */
    readonly alone: boolean;
    /** Wall-clock time in milliseconds. */
    readonly at: number;
}

export interface SuspectRecord {
    readonly fingerprint: string;
    readonly crashes: readonly Crash[];
    /** Identifiers of the crashes known when a trial completed. */
    readonly cleared: readonly string[];
}

export function empty(fingerprint: string): SuspectRecord {
    return { fingerprint, crashes: [], cleared: [] };
}

/** Union of two records of one fingerprint; commutative, associative and idempotent. */
export function merge(left: SuspectRecord, right: SuspectRecord): SuspectRecord {
    const crashes = new Map<string, Crash>();
    for (const crash of [...left.crashes, ...right.crashes]) {
        crashes.set(crash.id, mergeCrash(crashes.get(crash.id) ?? crash, crash));
    }
    return {
        fingerprint: left.fingerprint,
        crashes: [...crashes.values()].sort((one, other) => compareStrings(one.id, other.id)),
        cleared: [...new Set([...left.cleared, ...right.cleared])].sort(compareStrings),
    };
}

export function withCrash(record: SuspectRecord, crash: Crash): SuspectRecord {
    return merge(record, { ...empty(record.fingerprint), crashes: [crash] });
}

/** Clears the crashes known so far after an answer; whether this includes the crashes of trials is up to the policy. */
export function withCompletion(
    record: SuspectRecord,
    policy: policies.Policy = policies.isolatedTrials,
): SuspectRecord {
    const clearable = record.crashes.filter(crash => policy.answerClearsTrials || !crash.alone);
    return withCleared(record, clearable.map(crash => crash.id));
}

export function withCleared(record: SuspectRecord, cleared: readonly string[]): SuspectRecord {
    return merge(record, { ...empty(record.fingerprint), cleared });
}

/** Version of the document that holds the record. */
export function version(record: SuspectRecord): number {
    const alone = record.crashes.filter(crash => crash.alone).length;
    const factCount = record.crashes.length + alone + record.cleared.length;
    return factCount * HASH_RANGE + hashing.hash32(JSON.stringify(value(record))) % HASH_RANGE;
}

export function value(record: SuspectRecord): object {
    return { crashes: record.crashes, cleared: record.cleared };
}

/** Crashes that are neither expired nor cleared. `wallTime` is in milliseconds. */
export function activeCrashes(
    record: SuspectRecord,
    wallTime: number,
    policy: policies.Policy = policies.isolatedTrials,
): readonly Crash[] {
    const cleared = new Set(record.cleared);
    const uncleared = record.crashes.filter(crash => {
        return !cleared.has(crash.id) || crash.alone && !policy.answerClearsTrials;
    });
    // Where a refusal takes several crashes, all of them last as long as that of the trial.
    const hasFailedTrial = policy.crashesForRefusal > 1
        && uncleared.some(crash => crash.alone && wallTime - crash.at < QUARANTINE_MS);
    return uncleared.filter(crash => {
        return wallTime - crash.at < (crash.alone || hasFailedTrial ? QUARANTINE_MS : SUSPECT_DURATION_MS);
    });
}

export function verdict(
    record: SuspectRecord | undefined,
    wallTime: number,
    policy: policies.Policy = policies.isolatedTrials,
): types.Verdict {
    const active = record === undefined ? [] : activeCrashes(record, wallTime, policy);
    if (active.length >= policy.crashesForRefusal && active.some(crash => crash.alone)) {
        return "refuse";
    }
    return active.length >= policy.crashesForTrial ? "run-alone" : "run";
}

function mergeCrash(left: Crash, right: Crash): Crash {
    const at = Math.min(left.at, right.at);
    const server = left.server < right.server ? left.server : right.server;
    return { id: left.id, server, alone: left.alone || right.alone, at };
}

function compareStrings(left: string, right: string): number {
    return left < right ? -1 : Number(left > right);
}
