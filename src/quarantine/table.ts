/** Table of suspects. Pure: each change gives a new table. Times are wall-clock milliseconds. */
import * as records from "./record.js";
import type * as types from "./types.js";

/** Bounds memory; a crash adds at most the requests in flight on one server. */
export const TABLE_LIMIT = 4096;

export type Table = ReadonlyMap<string, records.SuspectRecord>;

/** A crash of a server as its agent saw it. */
export interface CrashReport {
    /** Address of the agent. */
    readonly server: string;
    /** Boot identifier of the server that crashed. */
    readonly boot: string;
    /** Fingerprints of the requests in flight. */
    readonly inFlight: readonly string[];
    /** The only request in flight ran as a trial. */
    readonly trial: boolean;
}

/** Fingerprints of a crash become suspects; the trial that was alone becomes refused. */
export function crashed(table: Table, report: CrashReport, wallTime: number): Table {
    const fingerprints = [...new Set(report.inFlight)];
    const alone = report.trial && fingerprints.length === 1;
    const crash = { id: report.boot, server: report.server, alone, at: wallTime };
    return update(
        table,
        fingerprints.map(fingerprint => records.withCrash(get(table, fingerprint), crash)),
        wallTime,
    );
}

/** A trial ran to its end without a crash. */
export function completed(table: Table, fingerprint: string, wallTime: number): Table {
    const record = table.get(fingerprint);
    return record === undefined ? table : update(table, [records.withCompletion(record)], wallTime);
}

/** Adds what another process knows. */
export function merged(table: Table, record: records.SuspectRecord, wallTime: number): Table {
    return update(table, [records.merge(get(table, record.fingerprint), record)], wallTime);
}

export function verdict(table: Table, fingerprint: string, wallTime: number): types.Verdict {
    return records.verdict(table.get(fingerprint), wallTime);
}

/** Removes records without an active crash and, beyond the limit, the oldest ones, refused requests last. */
export function prune(table: Table, wallTime: number): Table {
    const active = [...table.values()].filter(record => records.activeCrashes(record, wallTime).length > 0);
    if (active.length === table.size && active.length <= TABLE_LIMIT) {
        return table;
    }
    const kept = active.sort((left, right) => importance(right, wallTime) - importance(left, wallTime))
        .slice(0, TABLE_LIMIT);
    return new Map(kept.map(record => [record.fingerprint, record]));
}

/** Value of the board section. */
export function suspects(table: Table, wallTime: number): types.Suspects {
    const list = [...table.values()].map(record => suspect(record, wallTime)).filter(item => item.crashes > 0);
    return new Map(list.map(item => [item.fingerprint, item]));
}

function suspect(record: records.SuspectRecord, wallTime: number): types.Suspect {
    const active = records.activeCrashes(record, wallTime);
    return {
        fingerprint: record.fingerprint,
        crashes: active.length,
        crashesAlone: active.filter(crash => crash.alone).length,
        servers: [...new Set(active.map(crash => crash.server))],
    };
}

function get(table: Table, fingerprint: string): records.SuspectRecord {
    return table.get(fingerprint) ?? records.empty(fingerprint);
}

function update(table: Table, changed: readonly records.SuspectRecord[], wallTime: number): Table {
    const next = new Map(table);
    changed.forEach(record => next.set(record.fingerprint, record));
    return next.size > TABLE_LIMIT ? prune(next, wallTime) : next;
}

/** Refused requests come before all others; within each kind the latest crash counts. */
function importance(record: records.SuspectRecord, wallTime: number): number {
    const active = records.activeCrashes(record, wallTime);
    const latest = Math.max(...active.map(crash => crash.at));
    return active.some(crash => crash.alone) ? latest + wallTime : latest;
}
