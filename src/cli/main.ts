#!/usr/bin/env node
/** Entry point of the command-line tool `ibisstep`. */
import * as meow from "meow";
import * as consumers from "node:stream/consumers";
import * as clocks from "../clock/clock.js";
import * as commands from "./commands.js";
import * as exitCodes from "./exit-codes.js";
import * as services from "./services.js";
import type * as types from "./types.js";

const terminal: types.Terminal = {
    print: line => void process.stdout.write(`${line}\n`),
    warn: line => void process.stderr.write(`${line}\n`),
    readInput: () => consumers.text(process.stdin),
};

async function run(selection: commands.Selection): Promise<number> {
    const { command } = await commands.commands[selection.name].load();
    const parsed = parse(command, selection.parameters);
    if (parsed === undefined) {
        return exitCodes.USAGE_ERROR;
    }
    await using system = new services.SystemServices(clocks.systemClock);
    const flags = { seed: [], json: false, wait: false, ...parsed.flags } as unknown as types.Flags;
    // Awaited, because returning disposes `system` and closes the connections that the command uses.
    return await command.run({ input: parsed.input, flags, terminal, services: system, clock: clocks.systemClock });
}

/** Exits the process on `--help` and on unknown flags. Returns undefined if the value of a flag is invalid. */
function parse(command: types.Command, parameters: readonly string[]) {
    try {
        const parsed = meow.default(command.help, {
            importMeta: import.meta,
            argv: [...parameters],
            flags: command.flags,
            allowUnknownFlags: false,
            description: false,
        });
        const malformed = Object.entries(parsed.flags).find(([, value]) => Number.isNaN(value));
        if (malformed === undefined) {
            return parsed;
        }
        terminal.warn(`the flag ${malformed[0]} needs a number`);
        return undefined;
    }
    catch (error) {
        terminal.warn(error instanceof Error ? error.message : String(error));
        return undefined;
    }
}

/** Help text of the tool without a command. */
function overview(): string {
    const entries = Object.entries(commands.commands);
    const list = entries.map(([name, entry]) => `  ${name.padEnd(12)} ${entry.summary}`).join("\n");
    return `
Usage
  $ ibisstep COMMAND [options]

Commands
${list}

\`ibisstep COMMAND --help\` shows the options of a command.
${exitCodes.HELP}`;
}

const parameters = process.argv.slice(2);
const selection = commands.select(parameters);
if (selection === undefined) {
    // `--help` and `--version` are handled by meow, which exits; anything else is invalid usage.
    const parsed = meow.default(overview(), { importMeta: import.meta, argv: parameters, description: false });
    parsed.showHelp(exitCodes.USAGE_ERROR);
}
else {
    process.exitCode = await run(selection);
}
