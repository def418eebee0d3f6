/** `ibisstep key hash`: computes the hash of a key for the manifest. */
import * as keys from "../../configuration/keys.js";
import * as exitCodes from "../exit-codes.js";
import * as flags from "../flags.js";
import * as output from "../output.js";
import type * as types from "../types.js";

export const command: types.Command = {
    help: `
Usage
  $ ibisstep key hash [--json] < FILE

Reads a key from standard input and prints its SHA-256 hash for "key_hashes" in the manifest. One trailing newline is
ignored. The key must not be an argument, because other users of the machine can see arguments.

Options
${flags.JSON_HELP}
${exitCodes.HELP}`,
    flags: flags.json,
    run: async invocation => {
        if (invocation.input.length > 0) {
            const detail =
                "the key is read from standard input only; treat a key that was given as an argument as compromised";
            return output.printFailure(invocation, { kind: "argument-invalid", detail });
        }
        const key = (await invocation.terminal.readInput()).replace(/\r?\n$/, "");
        // A bearer token in a header contains no white space, so the hash of such a key would never match.
        if (key === "" || /\s/.test(key)) {
            const detail = "expected one key without white space on standard input";
            return output.printFailure(invocation, { kind: "argument-invalid", detail });
        }
        const hash = keys.hashKey(key);
        output.printResult(invocation, { hash }, [hash]);
        return exitCodes.SUCCESS;
    },
};
