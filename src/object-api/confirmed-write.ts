/** Determines the outcome of conditional writes whose response was lost. */
import * as outcomes from "../core/outcome.js";
import type * as types from "./types.js";

export interface ConditionalWrite {
    readonly name: string;
    /** Must differ from the values of all other writers, so that a read identifies this write. */
    readonly value: string;
    readonly expectedVersion: number;
}

/**
 * State of an unconfirmed write, as determined by a later read. `written`: the write took effect. `superseded`: another
 * write changed the object after the expected version, so a delayed request can no longer take effect; this write may
 * have taken effect before the other one. `pending`: the object still has the expected version, so a delayed request
 * can still take effect.
 */
export type WriteState =
    | { readonly state: "written"; readonly version: number; }
    | { readonly state: "superseded"; readonly object: types.StoredObject | undefined; }
    | { readonly state: "pending"; };

/** Returns the state of a write; `object` must have been read after the write. */
export function writeState(write: ConditionalWrite, object: types.StoredObject | undefined): WriteState {
    const version = object?.version ?? 0;
    if (version === write.expectedVersion) {
        return { state: "pending" };
    }
    if (object?.value === write.value) {
        return { state: "written", version };
    }
    return { state: "superseded", object };
}

/**
 * Writes an object and, if the response is lost, reads it to determine the outcome. A pending write is sent again with
 * the same condition: once the retry has created a new version, the condition of a delayed first request fails.
 *
 * Fails with `store-conflict` if another write replaced the expected version, with `store-unavailable` if nothing was
 * written, and with `store-write-unconfirmed` if the outcome is still unknown after all attempts. After a conflict, the
 * value may have been stored until the other writer replaced it.
 */
export async function putConfirmed(
    store: types.ObjectStore,
    write: ConditionalWrite,
    attempts: number,
): Promise<outcomes.Outcome<number>> {
    let unconfirmed: outcomes.FailedOutcome | undefined;
    let last: outcomes.Outcome<number> = outcomes.fail("store-unavailable", `${write.name}: no attempt was made`);
    for (let attempt = 0; attempt < attempts; attempt++) {
        last = await store.put(write.name, write.value, write.expectedVersion);
        if (last.ok || (unconfirmed === undefined && DEFINITE_FAILURES.has(last.failure.kind))) {
            return last;
        }
        if (last.failure.kind === "store-write-unconfirmed") {
            unconfirmed = last;
        }
        const confirmed = unconfirmed === undefined ? undefined : await confirmByReading(store, write);
        if (confirmed !== undefined) {
            return confirmed;
        }
    }
    return unconfirmed ?? last;
}

/** Failures that prove that nothing was written, unless an earlier attempt is unconfirmed. */
const DEFINITE_FAILURES: ReadonlySet<string> = new Set(["store-conflict", "store-value-too-large"]);

/** Returns undefined if the write is pending or the store does not respond. */
async function confirmByReading(
    store: types.ObjectStore,
    write: ConditionalWrite,
): Promise<outcomes.Outcome<number> | undefined> {
    const read = await store.get(write.name);
    if (!read.ok) {
        return undefined;
    }
    const current = writeState(write, read.value);
    return OUTCOME_BY_STATE[current.state](current as never, write);
}

const OUTCOME_BY_STATE: {
    readonly [State in WriteState["state"]]: (
        state: Extract<WriteState, { readonly state: State; }>,
        write: ConditionalWrite,
    ) => outcomes.Outcome<number> | undefined;
} = {
    written: state => outcomes.succeed(state.version),
    superseded: (_state, write) => outcomes.fail("store-conflict", `${write.name} was changed by another writer`),
    pending: () => undefined,
};
