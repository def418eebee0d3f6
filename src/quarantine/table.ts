/** Immutable table of suspects; each change returns a new table. Times are wall-clock milliseconds. */
import * as records from "./record.js";
import type * as types from "./types.js";

/** Limit on the memory of the table. One crash adds at most the requests in flight on one server. */
export const MAXIMUM_RECORDS = 4096;

export type Table = ReadonlyMap<string, records.SuspectRecord>;

/** Crash of a server, as observed by its agent. */
export interface CrashReport {
    /** Address of the agent. */
    readonly server: string;
    /** Boot identifier of the server that crashed. */
    readonly boot: string;
    /** Fingerprints of the requests in flight. */
    readonly inFlight: readonly string[];
    /** Whether the only request in flight ran as a trial. */
    readonly trial: boolean;
}

/** Makes the requests in flight at a crash suspects; a trial that ran alone is refused from then on. */
export function recordCrash(table: Table, report: CrashReport, wallTime: number): Table {
    const fingerprints = [...new Set(report.inFlight)];
    const alone = report.trial && fingerprints.length === 1;
    const crash = { id: report.boot, server: report.server, alone, at: wallTime };
    return update(
        table,
        fingerprints.map(fingerprint => records.withCrash(get(table, fingerprint), crash)),
        wallTime,
    );
}

/** Records that a trial completed without a crash. */
export function recordCompletion(table: Table, fingerprint: string, wallTime: number): Table {
    const record = table.get(fingerprint);
    return record === undefined ? table : update(table, [records.withCompletion(record)], wallTime);
}

/** Merges the record that another process published. */
export function mergeRecord(table: Table, record: records.SuspectRecord, wallTime: number): Table {
    return update(table, [records.merge(get(table, record.fingerprint), record)], wallTime);
}

export function verdict(table: Table, fingerprint: string, wallTime: number): types.Verdict {
    return records.verdict(table.get(fingerprint), wallTime);
}

/** Removes records without an active crash. Above the limit it removes the oldest too, refused requests last. */
export function prune(table: Table, wallTime: number): Table {
    const active = [...table.values()].filter(record => records.activeCrashes(record, wallTime).length > 0);
    if (active.length === table.size && active.length <= MAXIMUM_RECORDS) {
        return table;
    }
    const kept = active.sort((left, right) => retentionPriority(right, wallTime) - retentionPriority(left, wallTime))
        .slice(0, MAXIMUM_RECORDS);
    return new Map(kept.map(record => [record.fingerprint, record]));
}

/** Value of the board section `suspects`. */
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
    return next.size > MAXIMUM_RECORDS ? prune(next, wallTime) : next;
}

/** Refused requests have priority over all others; within each group the most recent crash decides. */
function retentionPriority(record: records.SuspectRecord, wallTime: number): number {
    const active = records.activeCrashes(record, wallTime);
    const latest = Math.max(...active.map(crash => crash.at));
    return active.some(crash => crash.alone) ? latest + wallTime : latest;
}
