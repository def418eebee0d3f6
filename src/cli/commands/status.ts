/** `ibisstep status`: shows every process and whether it lags. */
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

Shows each process with its state, the version of the configuration in force, the age of the last proof that the object
API is reachable, and the number of requests in flight. Ends with 5 when a process lags or does not answer.

Options
${flags.PROCESS_HELP}
${flags.JSON_HELP}
${exitCodes.DESCRIPTION}`,
    flags: { ...flags.json, ...flags.processes },
    run: async invocation => {
        const found = await processes.discover(invocation);
        if (!found.ok) {
            return output.fail(invocation, found.failure);
        }
        const version = Math.max(...found.value.map(processes.versionOf));
        const late = processes.lagging(found.value, version);
        const rows = found.value.map(describe);
        output.show(
            invocation,
            { version, lagging: late.map(report => report.address), processes: rows },
            [
                ...output.table([HEADING, ...rows.map(cells)]),
                late.length === 0
                    ? `version ${version} is in force everywhere`
                    : `version ${version} is not in force everywhere: ${late.map(processes.describe).join(", ")}`,
            ],
        );
        return late.length === 0 ? exitCodes.SUCCESS : exitCodes.LAGGING;
    },
};

interface Row {
    readonly address: string;
    readonly role: string;
    readonly dataCentre: string;
    readonly backendServer: string;
    /** State of the process, or `stopped` or `silent`. */
    readonly state: string;
    readonly version?: number;
    /** Milliseconds; -1 when the process never reached the object API. */
    readonly storeAgeMs?: number;
    readonly requestsInFlight?: number;
}

function describe(report: processes.ProcessReport): Row {
    const { address, answer, status } = report;
    if (status === undefined) {
        return { address, role: "", dataCentre: "", backendServer: "", state: answer };
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

function cells(row: Row): readonly string[] {
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
