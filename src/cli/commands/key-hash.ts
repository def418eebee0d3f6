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

Reads a key from standard input and prints its SHA-256 for "key_hashes" in the manifest. One line end after the key is
ignored. The key is never an argument, because other users of the machine can see arguments.

Options
${flags.JSON_HELP}
${exitCodes.DESCRIPTION}`,
    flags: flags.json,
    run: async invocation => {
        if (invocation.input.length > 0) {
            const detail = "the key is read from standard input only; treat the one given as an argument as disclosed";
            return output.fail(invocation, { kind: "argument-invalid", detail });
        }
        const key = (await invocation.terminal.readInput()).replace(/\r?\n$/, "");
        // A bearer key in a header has no white space, so such a hash would never match.
        if (key === "" || /\s/.test(key)) {
            const detail = "expected one key without white space on standard input";
            return output.fail(invocation, { kind: "argument-invalid", detail });
        }
        const hash = keys.hashKey(key);
        output.show(invocation, { hash }, [hash]);
        return exitCodes.SUCCESS;
    },
};
