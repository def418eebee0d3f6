/** Judges the ends, the starts and the sizes of processes. */
import * as bounds from "./bounds.js";
import type * as judges from "./judge.js";
import type * as memory from "./memory.js";

/** Time in milliseconds after a disturbance or a heavy load within which the end of a process belongs to it. */
const END_SLACK_MS = 1000;

const UNITS: Readonly<Record<memory.LimitName, string>> = { memory: "MB of memory", descriptors: "descriptors" };

/** Processes that end by themselves, also during a disturbance, which the text then names. */
export function judgeEnds(evidence: judges.Evidence): readonly judges.Violation[] {
    return evidence.ends.flatMap((end): readonly judges.Violation[] => {
        const isClean = end.status === 0 || end.status === end.reason;
        const isToldTo = end.reason === "SIGKILL" || end.reason === "limit"
            || end.reason === "SIGTERM" && (isClean || end.status === "SIGKILL");
        if (isToldTo) {
            return [];
        }
        const text = `process ${end.life} ended ${end.reason === undefined ? "by itself" : `after ${end.reason}`},`
            + ` status ${end.status}, ${Math.round(end.ageMs)} ms after its start`
            + playedAt(evidence, end.machine, end.at);
        return [{ rule: "FAULT", at: end.at, machine: end.machine, text }];
    });
}

/** Processes over a limit, which count as ones that end by themselves. */
export function judgeLimits(evidence: judges.Evidence): readonly judges.Violation[] {
    return evidence.excesses.map(({ at, machine, life, limitName, size, limit, residentMb, unreadMb }) => {
        const text = `process ${life} had ${Math.round(size)} of ${limit} ${UNITS[limitName]},`
            + ` ${Math.round(residentMb)} MB resident and ${Math.round(unreadMb)} MB unread`
            + playedAt(evidence, machine, at);
        return { rule: "FAULT", at, machine, text };
    });
}

/** Entries that did not become ready in time. */
export function judgeStarts(evidence: judges.Evidence): readonly judges.Violation[] {
    return evidence.machines.flatMap((machine): readonly judges.Violation[] => {
        const isLate = machine.role === "entry" && machine.isRunning && machine.readyAt === undefined
            && machine.endReason === undefined && evidence.endedAt - machine.startedAt > bounds.BOUNDS.contactMs * 2;
        const text = `process ${machine.life} is not ready ${
            Math.round(evidence.endedAt - machine.startedAt)
        } ms after its start`;
        return isLate ? [{ rule: "FAULT", at: machine.startedAt, machine: machine.name, text }] : [];
    });
}

/** What disturbed a machine and what was heavy there at a moment, as the end of a sentence. */
function playedAt({ disturbances, heavyWorks }: judges.Evidence, machine: string, at: number): string {
    const names = [...disturbances.all, ...heavyWorks].filter(({ machines, from, until }) => {
        return (machines === undefined || machines.has(machine)) && from <= at && at <= until + END_SLACK_MS;
    }).map(({ name }) => name);
    return names.length === 0 ? "" : `, during: ${[...new Set(names)].join(", ")}`;
}
