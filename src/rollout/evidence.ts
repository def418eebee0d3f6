/**
 * Compares the outcome counts of the new version with those of the old one, in one cell per route and load level.
 */
import * as sequentialTests from "./sequential-test.js";
import type * as types from "./types.js";

/** Probability that an equally good version is ever rolled back, over all tests of a rollout together. */
const FALSE_ROLLBACK_PROBABILITY = 0.001;

/** Routes with counts of their own; further routes share one cell. */
export const MAXIMUM_NAMED_ROUTES = 15;
const LOAD_LEVEL_COUNT = 3;
const FAULT_KIND_COUNT = 2;
const TESTS_PER_EVALUATOR = (MAXIMUM_NAMED_ROUTES + 1) * LOAD_LEVEL_COUNT * FAULT_KIND_COUNT;

/** Requests of the new version per cell after which a fault in a fifth of them is almost certainly detected. */
const SUFFICIENT_REQUESTS_PER_CELL = 120;
/** Cells with at most this share of the old version's traffic are too rare to wait for. */
const MINIMUM_CELL_SHARE = 0.05;

export interface Versions {
    readonly from: string;
    readonly to: string;
}

/** Error probability of one test that holds a step; a false positive only costs time. */
const HOLD_ERROR_PROBABILITY = 0.01;

const FAULTS: readonly { readonly name: string; readonly countOf: (count: types.OutcomeCount) => number; }[] = [
    { name: "failed", countOf: count => count.failed },
    { name: "slow", countOf: count => count.slow },
];

/** Error probability of one test of the coordinator, which gets half of the total. */
export const COORDINATOR_ERROR_PROBABILITY = FALSE_ROLLBACK_PROBABILITY / 2 / TESTS_PER_EVALUATOR;

/** Error probability of one test of an agent; all agents share the other half of the total. */
export function agentErrorProbability(agents: number): number {
    return FALSE_ROLLBACK_PROBABILITY / 2 / TESTS_PER_EVALUATOR / Math.max(1, agents);
}

/** Describes the first cell in which the new version is significantly worse; `undefined` if there is none. */
export function findRegression(
    counts: readonly types.OutcomeCount[],
    versions: Versions,
    errorProbability: number,
): string | undefined {
    for (const candidate of counts.filter(count => count.weightsVersion === versions.to)) {
        const baseline = counterpart(counts, candidate, versions.from);
        for (const fault of FAULTS) {
            const baselineTally = {
                count: baseline?.finished ?? 0,
                faults: baseline === undefined ? 0 : fault.countOf(baseline),
            };
            const candidateTally = { count: candidate.finished, faults: fault.countOf(candidate) };
            if (sequentialTests.isSignificantlyWorse(baselineTally, candidateTally, errorProbability)) {
                return describeRegression(fault.name, candidate, candidateTally, baselineTally);
            }
        }
    }
    return undefined;
}

/** Like `findRegression` at a weaker significance level, which holds a step but doesn't cause a rollback. */
export function findSuspectedRegression(counts: readonly types.OutcomeCount[], versions: Versions): string | undefined {
    return findRegression(counts, versions, HOLD_ERROR_PROBABILITY);
}

/** True if the new version has enough requests in each cell with a relevant share of the old version's traffic. */
export function hasSufficientRequests(counts: readonly types.OutcomeCount[], versions: Versions): boolean {
    const baseline = counts.filter(count => count.weightsVersion === versions.from);
    const total = baseline.reduce((sum, count) => sum + count.finished, 0);
    const relevant = baseline.filter(count => count.finished > total * MINIMUM_CELL_SHARE);
    return relevant.length > 0
        && relevant.every(count =>
            (counterpart(counts, count, versions.to)?.finished ?? 0) >= SUFFICIENT_REQUESTS_PER_CELL
        );
}

/** Sums several lists of counts by cell and version. */
export function mergeCounts(lists: readonly (readonly types.OutcomeCount[])[]): readonly types.OutcomeCount[] {
    const totals = new Map<string, types.OutcomeCount>();
    for (const count of lists.flat()) {
        const key = [count.weightsVersion, count.route, count.loadLevel].join("\n");
        const previous = totals.get(key);
        totals.set(
            key,
            previous === undefined ? count : {
                ...count,
                finished: previous.finished + count.finished,
                failed: previous.failed + count.failed,
                slow: previous.slow + count.slow,
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

function describeRegression(
    fault: string,
    cell: types.OutcomeCount,
    candidate: sequentialTests.Tally,
    baseline: sequentialTests.Tally,
): string {
    return `${candidate.faults} of ${candidate.count} requests ${fault} on route ${cell.route} at ${cell.loadLevel} load, `
        + `${baseline.faults} of ${baseline.count} with the old version`;
}
