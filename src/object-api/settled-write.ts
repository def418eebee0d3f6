/** Settles conditional writes whose answer was lost. */
import * as outcomes from "../core/outcome.js";
import type * as types from "./types.js";

export interface ConditionalWrite {
    readonly name: string;
    /** Must differ from the value of any other writer, so that the writer recognizes its own. */
    readonly value: string;
    readonly expectedVersion: number;
}

/**
 * What a read says about an unconfirmed write. `written`: it took effect. `superseded`: another write follows the
 * expected version, so a delayed copy of this one can no longer take effect; it may have taken effect before the other.
 * `open`: the object still has the expected version, so a copy on its way can still take effect.
 */
export type Settlement =
    | { readonly state: "written"; readonly version: number; }
    | { readonly state: "superseded"; readonly object: types.StoredObject | undefined; }
    | { readonly state: "open"; };

/** Decides from the object as it was read after the write. */
export function settle(write: ConditionalWrite, object: types.StoredObject | undefined): Settlement {
    const version = object?.version ?? 0;
    if (version === write.expectedVersion) {
        return { state: "open" };
    }
    if (object?.value === write.value) {
        return { state: "written", version };
    }
    return { state: "superseded", object };
}

/**
 * Writes and settles a lost answer by reading. An open write is sent again with the same condition: the version that
 * the repetition creates excludes the delayed first copy.
 *
 * Fails with `store-conflict` when another write took the expected version, with `store-unavailable` when nothing was
 * written, and with `store-write-unconfirmed` when the outcome is still open after the attempts. After a conflict the
 * value may have been in force until the other writer replaced it.
 */
export async function putSettled(
    store: types.ObjectStore,
    write: ConditionalWrite,
    attempts: number,
): Promise<outcomes.Outcome<number>> {
    let unconfirmed: outcomes.FailedOutcome | undefined;
    let last: outcomes.Outcome<number> = outcomes.fail("store-unavailable", `${write.name}: no attempt`);
    for (let attempt = 0; attempt < attempts; attempt++) {
        last = await store.put(write.name, write.value, write.expectedVersion);
        if (last.ok || (unconfirmed === undefined && DEFINITE.has(last.failure.kind))) {
            return last;
        }
        if (last.failure.kind === "store-write-unconfirmed") {
            unconfirmed = last;
        }
        const settled = unconfirmed === undefined ? undefined : await readSettlement(store, write);
        if (settled !== undefined) {
            return settled;
        }
    }
    return unconfirmed ?? last;
}

/** Refusals that settle a write when no earlier attempt is open. */
const DEFINITE: ReadonlySet<string> = new Set(["store-conflict", "store-value-too-large"]);

/** Returns undefined while the write is open or the store does not answer. */
async function readSettlement(
    store: types.ObjectStore,
    write: ConditionalWrite,
): Promise<outcomes.Outcome<number> | undefined> {
    const read = await store.get(write.name);
    if (!read.ok) {
        return undefined;
    }
    const settlement = settle(write, read.value);
    return SETTLED_OUTCOME[settlement.state](settlement as never, write);
}

const SETTLED_OUTCOME: {
    readonly [State in Settlement["state"]]: (
        settlement: Extract<Settlement, { readonly state: State; }>,
        write: ConditionalWrite,
    ) => outcomes.Outcome<number> | undefined;
} = {
    written: settlement => outcomes.succeed(settlement.version),
    superseded: (_settlement, write) => outcomes.fail("store-conflict", `${write.name} was changed by another writer`),
    open: () => undefined,
};
