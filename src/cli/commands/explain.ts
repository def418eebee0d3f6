/** `ibisstep explain`: shows the history of one call from the logs of the processes. */
import * as fs from "node:fs";
import * as timeline from "../call-timeline.js";
import * as exitCodes from "../exit-codes.js";
import * as flags from "../flags.js";
import * as output from "../output.js";
import type * as types from "../types.js";

export const command: types.Command = {
    help: `
Usage
  $ ibisstep explain REQUEST-ID FILE... [--json]

Lists the decisions on a call in chronological order, with the inputs of each decision. FILE is the log of a process;
"-" reads standard input. Lines that are not log lines are ignored.

Options
${flags.JSON_HELP}
${exitCodes.HELP}`,
    flags: { ...flags.json },
    run: async invocation => {
        const [call, ...files] = invocation.input;
        if (call === undefined || files.length === 0) {
            invocation.terminal.warn("usage: ibisstep explain REQUEST-ID FILE...");
            return exitCodes.USAGE_ERROR;
        }
        const logs: string[] = [];
        for (const file of files) {
            const log = file === "-" ? await invocation.terminal.readInput() : readFile(file);
            if (log === undefined) {
                return output.printFailure(invocation, { kind: "file-unreadable", detail: file });
            }
            logs.push(log);
        }
        const entries = timeline.entriesOfCall(logs, call);
        const lines = entries.length === 0 ? [`no log entry of ${call}`] : entries.map(timeline.formatEntry);
        output.printResult(invocation, { call, entries }, lines);
        return entries.length === 0 ? exitCodes.INVALID_INPUT : exitCodes.SUCCESS;
    },
};

function readFile(file: string): string | undefined {
    try {
        return fs.readFileSync(file, "utf8");
    }
    catch {
        // The caller reports only the name of the file, not the reason.
        return undefined;
    }
}
