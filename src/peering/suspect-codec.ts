/** Encodes suspects for heartbeats. Most records name the same few crashes, which are therefore listed once. */
import type * as records from "../quarantine/record.js";
import type * as quarantine from "../quarantine/types.js";

export type SuspectTuple = readonly [
    crashes: readonly (readonly [server: string, at: number])[],
    records: readonly RecordTuple[],
    trials: readonly string[],
];

/** The crashes are positions in the list of crashes. */
type RecordTuple = readonly [
    fingerprint: string,
    crashes: readonly number[],
    crashesOfTrials: readonly number[],
    cleared: readonly number[],
];

export function isEmpty(state: quarantine.SuspectState): boolean {
    return state.records.length === 0 && state.trials.length === 0;
}

export function toTuple({ records: suspects, trials }: quarantine.SuspectState): SuspectTuple {
    const positions = new Map<string, number>();
    const crashes: [string, number][] = [];
    const positionOf = ({ id, at }: records.Crash) => {
        const position = positions.get(id) ?? crashes.push([id, at]) - 1;
        positions.set(id, position);
        return position;
    };
    const encoded = suspects.map((record): RecordTuple => [
        record.fingerprint,
        record.crashes.filter(crash => !crash.alone).map(positionOf),
        record.crashes.filter(crash => crash.alone).map(positionOf),
        record.crashes.filter(crash => record.cleared.includes(crash.id)).map(positionOf),
    ]);
    return [crashes, encoded, trials];
}

/** Throws a `TypeError` for values of another type: the records are kept and passed on, so they have to be sound. */
export function fromTuple([crashes, encoded, trials]: SuspectTuple): quarantine.SuspectState {
    const isSound = crashes.every(([server, at]) => typeof server === "string" && typeof at === "number")
        && [...encoded.map(([fingerprint]) => fingerprint), ...trials].every(text => typeof text === "string");
    if (!isSound) {
        throw new TypeError("suspects of unexpected types");
    }
    const crashAt = (alone: boolean) => (position: number): records.Crash => {
        const [id, at] = crashes[position]!;
        return { id, server: id, alone, at };
    };
    return {
        records: encoded.map(([fingerprint, others, trialCrashes, cleared]) => ({
            fingerprint,
            crashes: [...others.map(crashAt(false)), ...trialCrashes.map(crashAt(true))],
            cleared: cleared.map(position => crashes[position]![0]),
        })),
        trials,
    };
}
