/** `ibisstep report`: shows the result of each rollout, and the failures that affected customers. */
import * as zod from "zod";
import * as adoption from "../../configuration/adoption.js";
import * as outcomes from "../../core/outcome.js";
import * as compiler from "../../manifest/compile.js";
import type * as manifest from "../../manifest/types.js";
import type * as metrics from "../../metrics/types.js";
import type * as objectApi from "../../object-api/types.js";
import type * as rollouts from "../../rollout/types.js";
import * as exitCodes from "../exit-codes.js";
import * as flags from "../flags.js";
import * as output from "../output.js";
import * as processes from "../processes.js";
import * as rolloutReport from "../rollout-report.js";
import type * as types from "../types.js";

const STATUS_OBJECT = "rollout/status";
const ROLLOUT_HEADING = ["ROLLOUT", "MODEL", "FROM", "TO", "RESULT", "SHARE", "CHANGED", "DEADLINE", "REASON"];
const COUNTER_HEADING = ["COUNTER", "CUSTOMER", "VALUE"];
/** Counters of failures that affect customers. */
const REPORTED_COUNTERS: readonly metrics.CounterName[] = ["outcome-unknown", "in-rate-refusals"];

const statusObjectSchema = zod.object({
    statuses: zod.array(zod.object({
        rollout: zod.string(),
        model: zod.string(),
        from: zod.string(),
        to: zod.string(),
        phase: zod.enum(["loading", "shifting", "done", "rolled-back"]),
        share: zod.number(),
        fencingNumber: zod.number(),
        reason: zod.string(),
        changedAt: zod.number(),
    })),
});

export const command: types.Command = {
    help: `
Usage
  $ ibisstep report --object-api URL (--seed IP:PORT | --instance-list URL) [--json]

Shows each rollout: done in time or late, rolled back (with the reason), in progress, overdue or not started. Shows for
each customer how many calls have an unknown outcome and how many requests were refused although they were within their
rate, totalled over all processes since their start.

Options
${flags.OBJECT_API_HELP}
${flags.PROCESS_HELP}
${flags.JSON_HELP}
${exitCodes.HELP}`,
    flags: { ...flags.json, ...flags.objectApi, ...flags.processes },
    run: async invocation => {
        const { objectApi } = invocation.flags;
        if (objectApi === undefined) {
            return output.printFailure(invocation, { kind: "argument-invalid", detail: "expected --object-api" });
        }
        const reports = await readRollouts(invocation.services.objectStore(objectApi), invocation.clock.wallTime());
        if (!reports.ok) {
            return output.printFailure(invocation, reports.failure);
        }
        const found = await processes.discover(invocation);
        if (!found.ok) {
            return output.printFailure(invocation, found.failure);
        }
        const counters = sumCounters(found.value);
        const silent = found.value.filter(report => report.reachability === "silent").map(report => report.address);
        const lines = [
            ...output.formatTable([ROLLOUT_HEADING, ...reports.value.map(rolloutCells)]),
            "",
            ...output.formatTable([
                COUNTER_HEADING,
                ...counters.map(item => [item.name, item.customer, String(item.value)]),
            ]),
            ...silent.map(address => `not counted, does not answer: ${address}`),
        ];
        output.printResult(invocation, { rollouts: reports.value, counters, silent }, lines);
        return silent.length === 0 ? exitCodes.SUCCESS : exitCodes.LAGGING;
    },
};

async function readRollouts(
    store: objectApi.ObjectStore,
    wallTime: number,
): Promise<outcomes.Outcome<readonly rolloutReport.RolloutReport[]>> {
    const status = await store.get(STATUS_OBJECT);
    if (!status.ok) {
        return status;
    }
    const accepted = await store.get(adoption.MANIFEST_OBJECT);
    if (!accepted.ok) {
        return accepted;
    }
    const statuses = parseStatuses(status.value?.value);
    return statuses.ok
        ? outcomes.succeed(
            rolloutReport.createReports(statuses.value, declaredRollouts(accepted.value?.value), wallTime),
        )
        : statuses;
}

function parseStatuses(text: string | undefined): outcomes.Outcome<readonly rollouts.RolloutStatus[]> {
    if (text === undefined) {
        return outcomes.succeed([]);
    }
    try {
        return outcomes.succeed(statusObjectSchema.parse(JSON.parse(text)).statuses);
    }
    catch {
        return outcomes.fail("document-invalid", `object ${STATUS_OBJECT}`);
    }
}

/** Rollouts in the accepted manifest. Empty if it does not compile, because such a manifest is in force nowhere. */
function declaredRollouts(text: string | undefined): readonly manifest.Rollout[] {
    const compiled = compiler.compile(text ?? "", 1);
    return compiled.ok ? compiled.value.rollouts : [];
}

interface CounterTotal {
    readonly name: string;
    readonly customer: string;
    readonly value: number;
}

function sumCounters(reports: readonly processes.ProcessReport[]): readonly CounterTotal[] {
    const totals = new Map<string, CounterTotal>();
    const counters = reports.flatMap(report => report.status?.counters ?? []);
    for (const { name, customer, value } of counters) {
        if (REPORTED_COUNTERS.some(reported => reported === name)) {
            const key = `${name}\n${customer}`;
            totals.set(key, { name, customer, value: (totals.get(key)?.value ?? 0) + Number(value) });
        }
    }
    return [...totals.values()].sort((left, right) => left.name.localeCompare(right.name) || right.value - left.value);
}

function rolloutCells(report: rolloutReport.RolloutReport): readonly string[] {
    return [
        report.rollout,
        report.model,
        report.from,
        report.to,
        report.verdict,
        `${Math.round(report.share * 100)}%`,
        formatTime(report.changedAt),
        formatTime(report.deadline),
        report.reason,
    ];
}

function formatTime(milliseconds: number | undefined): string {
    return milliseconds === undefined ? "" : new Date(milliseconds).toISOString();
}
