/** `ibisstep validate`: checks a manifest without changing anything. */
import * as exitCodes from "../exit-codes.js";
import * as flags from "../flags.js";
import * as manifestFile from "../manifest-file.js";
import * as output from "../output.js";
import type * as types from "../types.js";

export const command: types.Command = {
    help: `
Usage
  $ ibisstep validate FILE [--json]

Checks the manifest in FILE (TOML) against the schema and the semantic checks. Nothing is changed.

Options
${flags.JSON_HELP}
${exitCodes.HELP}`,
    flags: flags.json,
    run: async invocation => {
        const file = await manifestFile.read(invocation.input);
        if (!file.ok) {
            return output.printFailure(invocation, file.failure);
        }
        const { customers, keys, models, backendServers, routes, rollouts } = file.value.configuration;
        const counts = {
            customers: customers.size,
            keys: keys.size,
            models: models.size,
            backendServers: backendServers.size,
            routes: routes.length,
            rollouts: rollouts.length,
        };
        const summary = Object.entries(counts).map(([name, count]) => `${name} ${count}`).join(", ");
        output.printResult(invocation, counts, [`the manifest is valid: ${summary}`]);
        return exitCodes.SUCCESS;
    },
};
