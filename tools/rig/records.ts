/** Files with what a run did and saw. */
import * as fs from "node:fs";
import * as path from "node:path";
import type * as memory from "./memory.js";
import type * as rigs from "./rig.js";
import type * as runs from "./run.js";
import type * as starvation from "./starvation.js";

export interface RunRecords {
    readonly folder: string;
    readonly rig: rigs.Rig;
    readonly violations: readonly runs.WeighedViolation[];
    readonly samples: readonly starvation.Sample[];
    readonly memorySamples: readonly memory.MemorySample[];
    /** Time of day in milliseconds at which the monotonic clock was 0. */
    readonly wallStart: number;
}

/** Writes what the rig did and saw; times are those of the processes' logs. */
export function write({ folder, rig, violations, samples, memorySamples, wallStart }: RunRecords): void {
    const timeOf = (at: number) => new Date(wallStart + at).toISOString();
    const ends = rig.deployment.ends.map(({ at, machine, status, reason, life }) => {
        return { at, text: `process ${life} of ${machine} ended with ${status}, ${reason ?? "by itself"}` };
    });
    const lines = [
        ...rig.notes,
        ...ends,
        ...violations.map(({ rule, at, machine, text, rigLagMs, longestWaitMs }) => {
            const load = `rig ${rigLagMs} ms late, a process waited ${longestWaitMs} ms in a second`;
            return { at, text: `VIOLATION ${rule} ${machine}: ${text} [${load}]` };
        }),
    ];
    const timeline = lines.sort((left, right) => left.at - right.at).map(({ at, text }) => `${timeOf(at)} ${text}\n`);
    fs.writeFileSync(path.join(folder, "timeline.txt"), timeline.join(""));
    const writeLines = (name: string, items: readonly object[]) => {
        fs.writeFileSync(path.join(folder, name), items.map(item => `${JSON.stringify(item)}\n`).join(""));
    };
    const runs = new Map<string, string[]>();
    for (const { requestId, worker, arrivedAt } of rig.log.runs) {
        runs.set(requestId, [...runs.get(requestId) ?? [], `${worker} at ${timeOf(arrivedAt)}`]);
    }
    writeLines(
        "calls.jsonl",
        rig.callers.calls.map(call => {
            return {
                time: timeOf(call.sentAt),
                ...call,
                tookMs: Math.round((call.endedAt ?? Number.NaN) - call.sentAt),
                runs: runs.get(call.id),
            };
        }),
    );
    writeLines(
        "versions.jsonl",
        rig.book.versions.map(({ version, routes, keys, sentAt, acknowledgedAt }) => {
            const changing = [...routes.values()].filter(({ path: prefix }) => /^\/(added|move)/.test(prefix));
            return {
                version,
                sent: timeOf(sentAt),
                acknowledged: acknowledgedAt === undefined ? undefined : timeOf(acknowledgedAt),
                routes: changing.map(({ path: prefix, service }) => `${prefix} ${service}`),
                keys: [...keys],
            };
        }),
    );
    writeLines("load.jsonl", samples.map(sample => ({ time: timeOf(sample.at), ...sample })));
    const limits = new Map(rig.deployment.machines.map(machine => [machine.name, machine.limits]));
    writeLines(
        "memory.jsonl",
        memorySamples.map(sample => ({ time: timeOf(sample.at), ...sample, ...limits.get(sample.machine) })),
    );
}
