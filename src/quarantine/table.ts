/** Immutable table of suspects; each change returns a new table. Times are wall-clock milliseconds. */
import * as policies from "./policy.js";
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
    const trials = new Set(report.trial && fingerprints.length === 1 ? fingerprints : []);
    return recordCrashWithTrials(table, { ...report, inFlight: fingerprints, trials }, wallTime);
}

/** Accuses the fingerprints in flight at a crash; `trials` are those of calls that ran as trials. */
export function recordCrashWithTrials(
    table: Table,
    report: Omit<CrashReport, "trial"> & { readonly trials: ReadonlySet<string>; },
    wallTime: number,
): Table {
    const crashOf = (fingerprint: string): records.Crash => {
        return { id: report.boot, server: report.server, alone: report.trials.has(fingerprint), at: wallTime };
    };
    const accused = [...new Set(report.inFlight)];
    return update(
        table,
        accused.map(fingerprint => records.withCrash(get(table, fingerprint), crashOf(fingerprint))),
        wallTime,
    );
}

/** Records that a suspect was answered without a crash. */
export function recordCompletion(
    table: Table,
    fingerprint: string,
    wallTime: number,
    policy: policies.Policy = policies.isolatedTrials,
): Table {
    const record = table.get(fingerprint);
    return record === undefined ? table : update(table, [records.withCompletion(record, policy)], wallTime);
}

/**
 * Clears the crashes that a refused fingerprint explains from the suspects that were only in flight at them. Refused
 * ones are left as they are: fingerprints that always occur together cannot be told apart by their crashes.
 */
export function clearExplained(table: Table, wallTime: number, policy: policies.Policy): Table {
    const all = [...table.values()];
    const isRefused = (record: records.SuspectRecord) => records.verdict(record, wallTime, policy) === "refuse";
    const refused = all.filter(isRefused);
    const explained = new Set(refused.flatMap(record => {
        return records.activeCrashes(record, wallTime, policy).map(crash => crash.id);
    }));
    const changed = all.filter(record => !isRefused(record)).flatMap(record => {
        const ids = records.activeCrashes(record, wallTime, policy).map(crash => crash.id);
        const cleared = ids.filter(id => explained.has(id));
        return cleared.length === 0 ? [] : [records.withCleared(record, cleared)];
    });
    return changed.length === 0 ? table : update(table, changed, wallTime);
}

/** Merges the record that another process published. */
export function mergeRecord(table: Table, record: records.SuspectRecord, wallTime: number): Table {
    return update(table, [records.merge(get(table, record.fingerprint), record)], wallTime);
}

export function verdict(
    table: Table,
    fingerprint: string,
    wallTime: number,
    policy: policies.Policy = policies.isolatedTrials,
): types.Verdict {
    return records.verdict(table.get(fingerprint), wallTime, policy);
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
