/** Judges a new version by the counts of both versions, per route and load level. */
import * as tests from "./sequential-test.js";
import type * as types from "./types.js";

/** Probability that a good version is ever rolled back by a proof, over all tests of a rollout together. */
const FALSE_ALARM_PROBABILITY = 0.001;

/** Routes that are counted by name; further ones are counted together. */
export const MAXIMUM_ROUTES = 15;
const LOAD_LEVELS = 3;
const FAULT_KINDS = 2;
const TESTS_PER_JUDGE = (MAXIMUM_ROUTES + 1) * LOAD_LEVELS * FAULT_KINDS;

/** Requests of the new version per route and load level after which a fault of a fifth of them has nearly surely shown. */
const SUFFICIENT_REQUESTS = 120;
/** A cell with less of the old version's traffic than this share is too rare to wait for. */
const RELEVANT_SHARE = 0.05;

export interface Versions {
    readonly from: string;
    readonly to: string;
}

/** Error probability of one test that holds a step; a false hold costs time only. */
const SUSPICION_ERROR = 0.01;

const FAULTS: readonly { readonly name: string; readonly of: (count: types.OutcomeCount) => number; }[] = [
    { name: "failed", of: count => count.failed },
    { name: "slow", of: count => count.slow },
];

/** Error probability of one test of the coordinator, which has half of the total. */
export const COORDINATOR_TEST_ERROR = FALSE_ALARM_PROBABILITY / 2 / TESTS_PER_JUDGE;

/** Error probability of one test of an agent; all agents that judge share the other half. */
export function agentTestError(agents: number): number {
    return FALSE_ALARM_PROBABILITY / 2 / TESTS_PER_JUDGE / Math.max(1, agents);
}

/** Returns the reason when the counts prove the new version bad. */
export function findProof(
    counts: readonly types.OutcomeCount[],
    versions: Versions,
    error: number,
): string | undefined {
    for (const fresh of counts.filter(count => count.weightsVersion === versions.to)) {
        const old = counterpart(counts, fresh, versions.from);
        for (const fault of FAULTS) {
            const oldTally = { count: old?.finished ?? 0, faults: old === undefined ? 0 : fault.of(old) };
            const freshTally = { count: fresh.finished, faults: fault.of(fresh) };
            if (tests.isProvedWorse(oldTally, freshTally, error)) {
                return describe(fault.name, fresh, freshTally, oldTally);
            }
        }
    }
    return undefined;
}

/** Returns the reason when the counts speak against the new version without being a proof. */
export function findSuspicion(counts: readonly types.OutcomeCount[], versions: Versions): string | undefined {
    return findProof(counts, versions, SUSPICION_ERROR);
}

/** True when the new version has enough requests in each cell in which the old one serves a relevant part. */
export function isSufficient(counts: readonly types.OutcomeCount[], versions: Versions): boolean {
    const old = counts.filter(count => count.weightsVersion === versions.from);
    const total = old.reduce((sum, count) => sum + count.finished, 0);
    const relevant = old.filter(count => count.finished > total * RELEVANT_SHARE);
    return relevant.length > 0
        && relevant.every(count => (counterpart(counts, count, versions.to)?.finished ?? 0) >= SUFFICIENT_REQUESTS);
}

/** Sums the counts of several agents. */
export function sum(lists: readonly (readonly types.OutcomeCount[])[]): readonly types.OutcomeCount[] {
    const totals = new Map<string, types.OutcomeCount>();
    for (const count of lists.flat()) {
        const key = [count.weightsVersion, count.route, count.loadLevel].join("\n");
        const known = totals.get(key);
        totals.set(
            key,
            known === undefined ? count : {
                ...count,
                finished: known.finished + count.finished,
                failed: known.failed + count.failed,
                slow: known.slow + count.slow,
            },
        );
    }
    return [...totals.values()];
}

function counterpart(
    counts: readonly types.OutcomeCount[],
    cell: types.OutcomeCount,
    weightsVersion: string,
): types.OutcomeCount | undefined {
    return counts.find(count =>
        count.weightsVersion === weightsVersion && count.route === cell.route && count.loadLevel === cell.loadLevel
    );
}

function describe(fault: string, cell: types.OutcomeCount, fresh: tests.Tally, old: tests.Tally): string {
    return `${fresh.faults} of ${fresh.count} requests ${fault} on route ${cell.route} at ${cell.loadLevel} load, `
        + `${old.faults} of ${old.count} with the old version`;
}
