/**
 * What becomes of the records of a copy when the store comes back from an older copy of itself.
 *
 * The store has then lost its last changes, and revisions cannot tell whether a record that differs from the known one is an
 * older state, or was already written again. The content of most records tells; of the others the known state is kept until
 * the record changes again, or for the time in which owners write again what was lost.
 */
import * as util from "node:util";
import type * as types from "./types.js";

/**
 * - `current`: the record of the store is used.
 * - `outdated`: the known state is used until the store has a later one.
 * - `contested`: the known state is later by a clock that may have been wrong; it is used for a limited time, whatever the
 *   store has meanwhile.
 * - `unclear`: the known state is used until the record changes, or for a limited time.
 */
export type Verdict = "current" | "outdated" | "contested" | "unclear";

export interface RestorationPolicy {
    /** Compares a known record with the one in the restored store; undefined if the store does not have it. */
    readonly compareKnown: (known: types.StoredRecord, restored: types.StoredRecord | undefined) => Verdict;
    /** Compares a record that is known to be removed with the one in the restored store. */
    readonly compareRemoved: (removed: types.StoredRecord, restored: types.StoredRecord) => Verdict;
}

/** Numbers that grow with the states of a record, the most significant one first; undefined if its content has none. */
export type LogicalVersion = (record: types.StoredRecord) => readonly number[] | undefined;

export interface VersionOptions {
    /** The first number is a time by the owner's clock, which may step back or be wrong. */
    readonly beginsWithTime?: boolean;
}

/** For records whose content tells their order. */
export function byVersion(
    versionOf: LogicalVersion,
    { beginsWithTime = false }: VersionOptions = {},
): RestorationPolicy {
    return {
        compareKnown: (known, restored) => {
            if (restored === undefined) {
                return "unclear";
            }
            const knownVersion = versionOf(known);
            const restoredVersion = versionOf(restored);
            const difference = compareVersions(restoredVersion, knownVersion);
            if (difference === undefined || difference >= 0) {
                return difference === undefined ? "unclear" : "current";
            }
            const isOtherTime = beginsWithTime && restoredVersion![0] !== knownVersion![0];
            return isOtherTime ? "contested" : "outdated";
        },
        compareRemoved: (removed, restored) => {
            return (compareVersions(versionOf(restored), versionOf(removed)) ?? 0) > 0 ? "current" : "unclear";
        },
    };
}

/** For records of other owners whose content does not tell their order. What this system reports on them may differ. */
export const unordered: RestorationPolicy = {
    compareKnown: (known, restored) => {
        return restored !== undefined && util.isDeepStrictEqual(known.spec, restored.spec) ? "current" : "unclear";
    },
    compareRemoved: () => "unclear",
};

/** For records of this system, which has to see what was lost so that it writes it again. */
export const asStored: RestorationPolicy = {
    compareKnown: () => "current",
    compareRemoved: () => "current",
};

/** Undefined if one of the records has no version, so that their order is unknown. */
function compareVersions(
    left: readonly number[] | undefined,
    right: readonly number[] | undefined,
): number | undefined {
    if (left === undefined || right === undefined) {
        return undefined;
    }
    const differing = left.findIndex((value, index) => value !== right[index]);
    return differing < 0 ? 0 : left[differing]! - (right[differing] ?? 0);
}
