#!/usr/bin/env node
/**
 * The daemon `ibisstepd`.
 *
 * Exit status: 0 after a graceful shutdown, 1 on an internal error, 2 on invalid settings or usage.
 */
import * as meow from "meow";
import * as catalogue from "../catalogue/failures.js";
import type * as failures from "../core/failure.js";
import * as settingsReader from "../settings/read.js";
import type * as schema from "../settings/schema.js";
import * as nodes from "./node.js";

const EXIT_USAGE = 2;

const HELP = `
    Usage
      $ ibisstepd --settings FILE

    Options
      --settings FILE  settings file in TOML; see examples/settings for an example of each role
      --help           show this help
      --version        show the version

    Signals
      SIGTERM, SIGINT  graceful shutdown: refuse new requests and finish those in flight
`;

/** Roles are loaded on demand, because an entry needs none of the code of an agent. */
const ROLES: Readonly<Record<schema.Settings["role"], () => Promise<{ run(node: nodes.Node): Promise<void>; }>>> = {
    entry: () => import("./entry-role.js"),
    agent: () => import("./agent-role.js"),
};

const cli = meow.default(HELP, {
    importMeta: import.meta,
    flags: { settings: { type: "string", isRequired: true } },
});
const settings = await settingsReader.read(cli.flags.settings);
if (!settings.ok) {
    const definition: failures.FailureDefinition = catalogue.failures[settings.failure.kind];
    process.stderr.write(`${definition.message(settings.failure.detail)}\n${definition.hint}\n`);
    process.exit(EXIT_USAGE);
}
const role = await ROLES[settings.value.role]();
await role.run(new nodes.Node(settings.value));
process.exit(0);
