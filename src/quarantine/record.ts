/**
 * Crashes and clearances of one suspect, and the merge of the records of several processes.
 *
 * A record only grows: a merge is the union of crashes and clearances. Gossip keeps the higher version of a document,
 * so with equal versions one of two concurrent reports would be lost. The high part of the version is therefore the
 * number of facts (crashes, crashes alone, clearances) and the low part a hash of the record. Of two different records
 * the same one wins in every process, and a process that knows facts missing in the winner publishes the union, whose
 * version is higher.
 */
import * as zod from "zod";
import * as hashing from "../core/hashing.js";
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

const schema = zod.object({
    crashes: zod.array(zod.object({
        id: zod.string(),
        server: zod.string(),
        alone: zod.boolean(),
        at: zod.number(),
    })),
    cleared: zod.array(zod.string()),
});

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

/** Clears the crashes known so far after a completed trial; a crash of the request alone is never cleared. */
export function withCompletion(record: SuspectRecord): SuspectRecord {
    const cleared = record.crashes.filter(crash => !crash.alone).map(crash => crash.id);
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

/** Parses the value of a document; undefined if it does not match the schema. */
export function parse(fingerprint: string, documentValue: unknown): SuspectRecord | undefined {
    const result = schema.safeParse(documentValue);
    return result.success ? merge(empty(fingerprint), { fingerprint, ...result.data }) : undefined;
}

/** Crashes that are neither expired nor cleared. `wallTime` is in milliseconds. */
export function activeCrashes(record: SuspectRecord, wallTime: number): readonly Crash[] {
    const cleared = new Set(record.cleared);
    return record.crashes.filter(crash =>
        crash.alone
            ? wallTime - crash.at < QUARANTINE_MS
            : wallTime - crash.at < SUSPECT_DURATION_MS && !cleared.has(crash.id)
    );
}

export function verdict(record: SuspectRecord | undefined, wallTime: number): types.Verdict {
    const active = record === undefined ? [] : activeCrashes(record, wallTime);
    if (active.some(crash => crash.alone)) {
        return "refuse";
    }
    return active.length > 0 ? "run-alone" : "run";
}

function mergeCrash(left: Crash, right: Crash): Crash {
    const at = Math.min(left.at, right.at);
    const server = left.server < right.server ? left.server : right.server;
    return { id: left.id, server, alone: left.alone || right.alone, at };
}

function compareStrings(left: string, right: string): number {
    return left < right ? -1 : Number(left > right);
}
