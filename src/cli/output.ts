/** Output of results and failures, for people and as JSON. */
import * as catalogue from "../catalogue/failures.js";
import type * as failures from "../core/failure.js";
import * as exitCodes from "./exit-codes.js";
import type * as types from "./types.js";

/** Prints a failure with its hint and returns its exit code. `result` is added to the JSON object. */
export function fail(invocation: types.Invocation, failure: failures.Failure, result: object = {}): number {
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
    return exitCodes.ofFailure(failure);
}

/** Prints a result: as JSON when asked for, else the lines. */
export function show(invocation: types.Invocation, result: object, lines: readonly string[]): void {
    if (invocation.flags.json) {
        invocation.terminal.print(JSON.stringify({ ok: true, ...result }));
    }
    else {
        lines.forEach(line => invocation.terminal.print(line));
    }
}

/** Aligns rows in columns; the first row is the heading. */
export function table(rows: readonly (readonly string[])[]): readonly string[] {
    const widths = rows[0].map((_, column) => Math.max(...rows.map(row => row[column].length)));
    return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column])).join("  ").trimEnd());
}
