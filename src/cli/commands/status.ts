/** `ibisstep status`: shows the state of every process and whether its configuration lags. */
import * as exitCodes from "../exit-codes.js";
import * as flags from "../flags.js";
import * as output from "../output.js";
import * as processes from "../processes.js";
import type * as types from "../types.js";

const HEADING = ["ADDRESS", "ROLE", "DATA CENTRE", "SERVER", "STATE", "VERSION", "STORE AGE", "IN FLIGHT"];

export const command: types.Command = {
    help: `
Usage
  $ ibisstep status (--seed IP:PORT | --instance-list URL) [--json]

Shows the state of each process, the version of its configuration in force, the time since the object API was last known
to be reachable, and the number of requests in flight. The exit code is 5 if a process lags or does not answer.

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
        const version = Math.max(...found.value.map(processes.versionOf));
        const lagging = processes.findLagging(found.value, version);
        const rows = found.value.map(toRow);
        output.printResult(
            invocation,
            { version, lagging: lagging.map(report => report.address), processes: rows },
            [
                ...output.formatTable([HEADING, ...rows.map(rowCells)]),
                lagging.length === 0
                    ? `version ${version} is in force everywhere`
                    : `version ${version} is not in force everywhere: ${
                        lagging.map(processes.describeVersion).join(", ")
                    }`,
            ],
        );
        return lagging.length === 0 ? exitCodes.SUCCESS : exitCodes.LAGGING;
    },
};

interface Row {
    readonly address: string;
    readonly role: string;
    readonly dataCentre: string;
    readonly backendServer: string;
    /** State that the process reports; `stopped` or `silent` if it did not answer. */
    readonly state: string;
    readonly version?: number;
    /** Milliseconds; -1 if the object API was never known to be reachable. */
    readonly storeAgeMs?: number;
    readonly requestsInFlight?: number;
}

function toRow(report: processes.ProcessReport): Row {
    const { address, reachability, status } = report;
    if (status === undefined) {
        return { address, role: "", dataCentre: "", backendServer: "", state: reachability };
    }
    return {
        address,
        role: status.self?.role ?? "",
        dataCentre: status.self?.dataCentre ?? "",
        backendServer: status.self?.backendServer ?? "",
        state: status.self?.state ?? "",
        version: processes.versionOf(report),
        storeAgeMs: Number(status.storeAgeMs),
        requestsInFlight: status.requestsInFlight,
    };
}

function rowCells(row: Row): readonly string[] {
    const age = row.storeAgeMs === undefined ? "" : row.storeAgeMs < 0 ? "never" : `${row.storeAgeMs} ms`;
    return [
        row.address,
        row.role,
        row.dataCentre,
        row.backendServer,
        row.state,
        String(row.version ?? ""),
        age,
        String(row.requestsInFlight ?? ""),
    ];
}
