/** The store object `budgets/holders`: its encoding, and conditional updates of individual groups. */
import * as zod from "zod";
import * as outcomes from "../core/outcome.js";
import * as objectApi from "../object-api/types.js";
import * as constants from "./constants.js";
import type * as messages from "./messages.js";
import * as ownerships from "./ownership.js";
import type * as types from "./types.js";

const incarnation = zod.object({ address: zod.string(), boot: zod.string() });

const holderRecord = zod.object({
    group: zod.int().nonnegative(),
    epoch: zod.int().positive(),
    primary: incarnation,
    standby: incarnation.optional(),
});

const holdersObject = zod.object({ groups: zod.array(holderRecord) });

/** A change that is applied only if the epoch of the group is at most the expected one. */
export interface HolderChange {
    readonly record: types.HolderRecord;
    readonly expectedEpoch: number;
}

export interface ChangeResult {
    readonly change: HolderChange;
    readonly result: messages.WriteResult;
}

export interface WriteOutcome {
    readonly results: readonly ChangeResult[];
    /** Holders in the store as last read or written; absent if unknown. */
    readonly holders?: types.Holders;
}

/** Decodes the content of the object. Fails with `budget-holders-invalid`. */
export function decode(value: unknown, version: number): outcomes.Outcome<types.Holders> {
    const parsed = holdersObject.safeParse(value);
    return parsed.success
        ? outcomes.succeed({ version, groups: parsed.data.groups })
        : outcomes.fail("budget-holders-invalid", parsed.error.issues.map(issue => issue.message).join("; "));
}

export function encode(holders: types.Holders): string {
    return JSON.stringify({ groups: holders.groups });
}

/** Reads the holders of all groups. Fails with `store-unavailable` or `budget-holders-invalid`. */
export async function read(store: objectApi.ObjectStore): Promise<outcomes.Outcome<types.Holders>> {
    const found = await store.get(constants.HOLDERS_OBJECT);
    if (!found.ok) {
        return found;
    }
    if (found.value === undefined) {
        return outcomes.succeed({ version: objectApi.ABSENT, groups: [] });
    }
    return decode(parse(found.value.value), found.value.version);
}

/**
 * Writes the changes of several groups in one update.
 *
 * A write conflict is usually caused by a change of another group. The changes whose groups still have the expected
 * epoch are then retried on the new version. If the response to a write is lost, the object is read again.
 */
export async function applyChanges(
    store: objectApi.ObjectStore,
    changes: readonly HolderChange[],
): Promise<WriteOutcome> {
    let unconfirmed = false;
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
        const current = await read(store);
        if (!current.ok) {
            return { results: withResult(changes, { kind: unconfirmed ? "unconfirmed" : "unavailable" }) };
        }
        const checked = changes.map(candidate => ({
            change: candidate,
            result: resultWithoutWrite(candidate, current.value),
        }));
        const changesToWrite = checked.filter(item => item.result === undefined).map(item => item.change);
        const resultsWithoutWrite = checked.filter((item): item is ChangeResult => item.result !== undefined);
        if (changesToWrite.length === 0) {
            return { results: resultsWithoutWrite, holders: current.value };
        }
        const next = mergeChanges(current.value, changesToWrite);
        const written = await store.put(constants.HOLDERS_OBJECT, encode(next), current.value.version);
        if (written.ok) {
            const holders = { ...next, version: written.value };
            return { results: [...resultsWithoutWrite, ...withResult(changesToWrite, { kind: "recorded" })], holders };
        }
        if (written.failure.kind === "store-unavailable") {
            const kind = unconfirmed ? "unconfirmed" : "unavailable";
            return {
                results: [...resultsWithoutWrite, ...withResult(changesToWrite, { kind })],
                holders: current.value,
            };
        }
        unconfirmed ||= written.failure.kind !== "store-conflict";
    }
    return { results: withResult(changes, { kind: unconfirmed ? "unconfirmed" : "unavailable" }) };
}

const MAXIMUM_ATTEMPTS = 8;

/** The result of a change that needs no write according to the current object; otherwise `undefined`. */
function resultWithoutWrite(candidate: HolderChange, current: types.Holders): messages.WriteResult | undefined {
    const found = current.groups.find(group => group.group === candidate.record.group);
    if (found !== undefined && ownerships.sameHolders(found, candidate.record)) {
        return { kind: "recorded" };
    }
    return found === undefined || found.epoch <= candidate.expectedEpoch
        ? undefined
        : { kind: "superseded", record: found };
}

function mergeChanges(current: types.Holders, changes: readonly HolderChange[]): types.Holders {
    const changed = new Map(changes.map(item => [item.record.group, item.record]));
    const kept = current.groups.filter(group => !changed.has(group.group));
    const groups = [...kept, ...changed.values()].sort((left, right) => left.group - right.group);
    return { version: current.version, groups };
}

function withResult(changes: readonly HolderChange[], result: messages.WriteResult): readonly ChangeResult[] {
    return changes.map(item => ({ change: item, result }));
}

function parse(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
