/** Figures of a run beside the violations: sizes of the processes, and calls that heavy loads kept from being served. */
import type * as callers from "./callers.js";
import type * as disturbances from "./disturbances.js";
import type * as heavyWork from "./heavy-work.js";
import type * as memory from "./memory.js";
import type * as rigs from "./rig.js";

const REFUSALS: ReadonlySet<number> = new Set([429, 503]);

/** What ordinary calls got while one heavy load was at work at their entry, or none. */
export interface Refusals {
    /** Undefined for calls without a heavy load. */
    readonly load: string | undefined;
    callCount: number;
    refusedCount: number;
    /** Calls that ended without a complete response. */
    unansweredCount: number;
}

/** Counts by load, over the calls to entries that nothing else disturbed and that were not told to stop. */
export function refusalsOf(
    calls: readonly callers.Call[],
    works: readonly heavyWork.HeavyWork[],
    ledger: disturbances.Disturbances,
    terminations: readonly rigs.Termination[],
): readonly Refusals[] {
    const counts = new Map<string | undefined, Refusals>();
    const stopped = new Set(terminations.map(({ machine, life }) => `${machine} ${life}`));
    for (const call of calls) {
        const end = call.endedAt ?? call.sentAt;
        const loads = works.filter(({ machines, isAtFront, from, until }) => {
            return isAtFront && machines.has(call.entry) && from <= call.sentAt && call.sentAt <= until;
        });
        const isExcused = stopped.has(`${call.entry} ${call.life}`) || !ledger.isInTouch(call.entry, call.sentAt, end);
        if (isExcused || loads.length > 1) {
            continue;
        }
        const load = loads[0]?.name;
        const count = counts.get(load) ?? { load, callCount: 0, refusedCount: 0, unansweredCount: 0 };
        counts.set(load, count);
        count.callCount++;
        count.refusedCount += call.status !== undefined && REFUSALS.has(call.status) ? 1 : 0;
        count.unansweredCount += call.isComplete ? 0 : 1;
    }
    return [...counts.values()];
}

export function describeRefusals(refusals: readonly Refusals[]): readonly string[] {
    const percent = (count: number, all: number) => `${(100 * count / Math.max(1, all)).toFixed(1)} %`;
    return refusals.map(({ load, callCount, refusedCount, unansweredCount }) => {
        return `${load === undefined ? "without heavy load" : `beside ${load}`}: ${callCount} ordinary calls,`
            + ` ${percent(refusedCount, callCount)} refused, ${percent(unansweredCount, callCount)} unanswered`;
    });
}

/** The highest share of each limit for each role. */
export function describePeaks(peaks: readonly memory.Peak[]): readonly string[] {
    return (["entry", "agent"] as const).map(role => {
        const parts = (["memory", "descriptors"] as const).map(limitName => {
            const highest = peaks.filter(peak => peak.role === role && peak.limitName === limitName)
                .sort((left, right) => right.size / right.limit - left.size / left.limit)[0];
            return highest === undefined
                ? `${limitName} unknown`
                : `${(100 * highest.size / highest.limit).toFixed(0)} % of ${limitName}`
                    + ` (${Math.round(highest.size)} of ${highest.limit}, ${highest.machine})`;
        });
        return `highest peaks of role ${role}: ${parts.join(", ")}`;
    });
}
