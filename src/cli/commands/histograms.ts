/** `ibisstep histograms`: shows latencies per customer and class over all processes. */
import * as exitCodes from "../exit-codes.js";
import * as flags from "../flags.js";
import * as histogramMerge from "../histogram-merge.js";
import * as output from "../output.js";
import * as processes from "../processes.js";
import type * as types from "../types.js";

const HEADING = ["MEASURE", "CUSTOMER", "CLASS", "COUNT", "P50 MS", "P95 MS", "P99 MS", "MAX MS"];

export const command: types.Command = {
    help: `
Usage
  $ ibisstep histograms (--seed IP:PORT | --instance-list URL) [--json]

Shows time to first token, time between tokens, queue time and duration per customer and class, merged over all
processes since their start.

Options
${flags.PROCESS_HELP}
${flags.JSON_HELP}
${exitCodes.HELP}`,
    flags: { ...flags.json, ...flags.processes },
    run: async invocation => {
        const found = await processes.discover(invocation);
        if (!found.ok) {
            return output.printFailure(invocation, found.failure);
        }
        const running = found.value.filter(report => report.reachability !== "stopped").map(report => report.address);
        const responses = await Promise.all(
            running.map(async address => ({
                address,
                outcome: await invocation.services.operations.histograms(address),
            })),
        );
        const encoded = responses.flatMap(({ outcome }) => outcome.ok ? outcome.value.histograms : []);
        const silent = responses.filter(({ outcome }) => !outcome.ok).map(({ address }) => address);
        const histograms = histogramMerge.merge(encoded);
        const rows = histograms.map(item => [
            item.measure,
            item.customer,
            item.class,
            String(item.count),
            ...[item.p50, item.p95, item.p99, item.maximum].map(value => value.toFixed(1)),
        ]);
        const lines = [
            ...output.formatTable([HEADING, ...rows]),
            ...silent.map(address => `not counted, does not answer: ${address}`),
        ];
        output.printResult(invocation, { histograms, silent }, lines);
        return silent.length === 0 ? exitCodes.SUCCESS : exitCodes.LAGGING;
    },
};
