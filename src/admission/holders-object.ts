/** The object `budgets/holders`: its encoding, and changes of single groups by conditional update. */
import * as zod from "zod";
import * as outcomes from "../core/outcome.js";
import * as objectApi from "../object-api/types.js";
import * as constants from "./constants.js";
import type * as messages from "./messages.js";
import * as ownerships from "./ownership.js";
import type * as types from "./types.js";

const incarnation = zod.object({ address: zod.string(), boot: zod.string() });

const holder = zod.object({
    group: zod.int().nonnegative(),
    epoch: zod.int().positive(),
    primary: incarnation,
    standby: incarnation.optional(),
});

const content = zod.object({ groups: zod.array(holder) });

/** A change that takes effect only while the group has the expected epoch. */
export interface HolderChange {
    readonly holder: types.Holder;
    readonly expectedEpoch: number;
}

export interface ChangeResult {
    readonly change: HolderChange;
    readonly result: messages.WriteResult;
}

export interface WriteOutcome {
    readonly results: readonly ChangeResult[];
    /** Holders in the store as read or written; absent when unknown. */
    readonly holders?: types.Holders;
}

/** Fails with `budget-holders-invalid`. */
export function decode(value: unknown, version: number): outcomes.Outcome<types.Holders> {
    const parsed = content.safeParse(value);
    return parsed.success
        ? outcomes.succeed({ version, groups: parsed.data.groups })
        : outcomes.fail("budget-holders-invalid", parsed.error.issues.map(issue => issue.message).join("; "));
}

export function encode(holders: types.Holders): string {
    return JSON.stringify({ groups: holders.groups });
}

/** Fails with `store-unavailable` or `budget-holders-invalid`. */
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
 * Writes the changes of several groups at once.
 *
 * Each group has its own writers, so a conflict on the object is usually another group's; the changes whose groups
 * still have the expected epoch are then repeated on the new version. A lost answer is resolved by reading.
 */
export async function change(
    store: objectApi.ObjectStore,
    changes: readonly HolderChange[],
): Promise<WriteOutcome> {
    let unconfirmed = false;
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
        const current = await read(store);
        if (!current.ok) {
            return { results: all(changes, { kind: unconfirmed ? "unconfirmed" : "unavailable" }) };
        }
        const judged = changes.map(candidate => ({ change: candidate, result: judge(candidate, current.value) }));
        const open = judged.filter(item => item.result === undefined).map(item => item.change);
        const settled = judged.filter((item): item is ChangeResult => item.result !== undefined);
        if (open.length === 0) {
            return { results: settled, holders: current.value };
        }
        const next = apply(current.value, open);
        const written = await store.put(constants.HOLDERS_OBJECT, encode(next), current.value.version);
        if (written.ok) {
            const holders = { ...next, version: written.value };
            return { results: [...settled, ...all(open, { kind: "recorded" })], holders };
        }
        if (written.failure.kind === "store-unavailable") {
            const kind = unconfirmed ? "unconfirmed" : "unavailable";
            return { results: [...settled, ...all(open, { kind })], holders: current.value };
        }
        unconfirmed ||= written.failure.kind !== "store-conflict";
    }
    return { results: all(changes, { kind: unconfirmed ? "unconfirmed" : "unavailable" }) };
}

const MAXIMUM_ATTEMPTS = 8;

/** Decides a change by the present object; `undefined` when it is still to be written. */
function judge(candidate: HolderChange, current: types.Holders): messages.WriteResult | undefined {
    const found = current.groups.find(group => group.group === candidate.holder.group);
    if (found !== undefined && ownerships.sameHolder(found, candidate.holder)) {
        return { kind: "recorded" };
    }
    return found === undefined || found.epoch <= candidate.expectedEpoch
        ? undefined
        : { kind: "superseded", holder: found };
}

function apply(current: types.Holders, changes: readonly HolderChange[]): types.Holders {
    const changed = new Map(changes.map(item => [item.holder.group, item.holder]));
    const kept = current.groups.filter(group => !changed.has(group.group));
    const groups = [...kept, ...changed.values()].sort((left, right) => left.group - right.group);
    return { version: current.version, groups };
}

function all(changes: readonly HolderChange[], result: messages.WriteResult): readonly ChangeResult[] {
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
