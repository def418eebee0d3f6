/** `ibisstep explain`: shows what happened to one call, from the logs of all processes. */
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

Draws the decisions on a call in the order of their time, with the inputs that decided. FILE is a log of a process; "-"
reads standard input. Lines that are no log lines are passed over.

Options
${flags.JSON_HELP}
${exitCodes.DESCRIPTION}`,
    flags: { ...flags.json },
    run: async invocation => {
        const [call, ...files] = invocation.input;
        if (call === undefined || files.length === 0) {
            invocation.terminal.warn("usage: ibisstep explain REQUEST-ID FILE...");
            return exitCodes.USAGE;
        }
        const texts: string[] = [];
        for (const file of files) {
            const text = file === "-" ? await invocation.terminal.readInput() : readFile(file);
            if (text === undefined) {
                return output.fail(invocation, { kind: "file-unreadable", detail: file });
            }
            texts.push(text);
        }
        const entries = timeline.ofCall(texts, call);
        const lines = entries.length === 0 ? [`no line of ${call}`] : entries.map(timeline.describe);
        output.show(invocation, { call, entries }, lines);
        return entries.length === 0 ? exitCodes.INVALID : exitCodes.SUCCESS;
    },
};

function readFile(file: string): string | undefined {
    try {
        return fs.readFileSync(file, "utf8");
    }
    catch {
        // The caller reports the file by name; why it can't be read is for the operating system to say.
        return undefined;
    }
}
