/** Prints results and failures as text or as JSON. */
import * as catalogue from "../catalogue/failures.js";
import type * as failures from "../core/failure.js";
import * as exitCodes from "./exit-codes.js";
import type * as types from "./types.js";

/** Prints a failure with its hint and returns its exit code. The members of `result` are added to the JSON object. */
export function printFailure(invocation: types.Invocation, failure: failures.Failure, result: object = {}): number {
    const definition: failures.FailureDefinition = catalogue.failures[failure.kind];
    const message = definition.message(failure.detail);
    if (invocation.flags.json) {
        const { kind, detail } = failure;
        const described = { kind, number: definition.number, detail, message, hint: definition.hint };
        invocation.terminal.print(JSON.stringify({ ok: false, failure: described, ...result }));
    }
    else {
        invocation.terminal.warn(`error ${definition.number} ${failure.kind}: ${message}`);
        invocation.terminal.warn(definition.hint);
    }
    return exitCodes.forFailure(failure);
}

/** Prints `result` as JSON if the flag is set, otherwise `lines`. */
export function printResult(invocation: types.Invocation, result: object, lines: readonly string[]): void {
    if (invocation.flags.json) {
        invocation.terminal.print(JSON.stringify({ ok: true, ...result }));
    }
    else {
        lines.forEach(line => invocation.terminal.print(line));
    }
}

/** Formats rows as lines with aligned columns. The first row is the heading. */
export function formatTable(rows: readonly (readonly string[])[]): readonly string[] {
    const widths = rows[0].map((_, column) => Math.max(...rows.map(row => row[column].length)));
    return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column])).join("  ").trimEnd());
}
