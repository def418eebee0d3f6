/**
 * What is known about one suspect, and how the knowledge of several processes is merged.
 *
 * A record only grows: crashes and clearances are united. Gossip keeps the higher version of a document, so two agents
 * that report at the same time would lose one report if versions could be equal. The version therefore starts with the
 * count of facts and ends with a hash of them: of two different records one wins everywhere, and a process whose facts
 * are missing in the winner publishes the union, which has more facts and a higher version.
 */
import * as zod from "zod";
import * as hashing from "../core/hashing.js";
import type * as types from "./types.js";

/** A suspect that is not sent again is forgotten after this time. */
export const SUSPICION_MS = 10 * 60 * 1000;
/** A request that crashed a server alone is refused for this time. */
export const QUARANTINE_MS = 60 * 60 * 1000;

const HASH_RANGE = 2 ** 20;

export interface Crash {
    /** Run of the server that crashed; each crash counts once however many processes report it. */
    readonly id: string;
    /** Address of the agent. */
    readonly server: string;
    /** The request ran as a trial, with nothing else in flight. */
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
        crashes: [...crashes.values()].sort((one, other) => compare(one.id, other.id)),
        cleared: [...new Set([...left.cleared, ...right.cleared])].sort(compare),
    };
}

export function withCrash(record: SuspectRecord, crash: Crash): SuspectRecord {
    return merge(record, { ...empty(record.fingerprint), crashes: [crash] });
}

/** A completed trial clears the crashes known so far; a crash of the request alone is never cleared. */
export function withCompletion(record: SuspectRecord): SuspectRecord {
    const cleared = record.crashes.filter(crash => !crash.alone).map(crash => crash.id);
    return merge(record, { ...empty(record.fingerprint), cleared });
}

/** Version of the document of a record. */
export function version(record: SuspectRecord): number {
    const alone = record.crashes.filter(crash => crash.alone).length;
    const facts = record.crashes.length + alone + record.cleared.length;
    return facts * HASH_RANGE + hashing.hash32(JSON.stringify(value(record))) % HASH_RANGE;
}

export function value(record: SuspectRecord): object {
    return { crashes: record.crashes, cleared: record.cleared };
}

/** Reads the value of a document; undefined when it has another shape. */
export function parse(fingerprint: string, documentValue: unknown): SuspectRecord | undefined {
    const result = schema.safeParse(documentValue);
    return result.success ? merge(empty(fingerprint), { fingerprint, ...result.data }) : undefined;
}

/** Crashes that still count. `wallTime` is in milliseconds. */
export function activeCrashes(record: SuspectRecord, wallTime: number): readonly Crash[] {
    const cleared = new Set(record.cleared);
    return record.crashes.filter(crash =>
        crash.alone ? wallTime - crash.at < QUARANTINE_MS : wallTime - crash.at < SUSPICION_MS && !cleared.has(crash.id)
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

function compare(left: string, right: string): number {
    return left < right ? -1 : Number(left > right);
}
