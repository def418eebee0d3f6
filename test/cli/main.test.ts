/** Guards against wrong exit codes and against a tool that reads a key from its arguments. */
import * as assert from "node:assert/strict";
import * as childProcess from "node:child_process";
import * as path from "node:path";
import * as testing from "node:test";
import * as commands from "../../src/cli/commands.js";

const ROOT = path.resolve(import.meta.dirname, "../..");

function run(parameters: readonly string[], input = "") {
    const program = ["--import", "tsx", path.join(ROOT, "src/cli/main.ts"), ...parameters];
    return childProcess.spawnSync(process.execPath, program, { cwd: ROOT, input, encoding: "utf8" });
}

testing.test("ibisstep: help, wrong usage and results have their documented exit codes", () => {
    const kremsau = "examples/kremsau/manifest.toml";
    const runs: readonly (readonly [readonly string[], number, RegExp])[] = [
        [["--help"], 0, /Exit codes/],
        [[], 2, /Commands/],
        [["unknown"], 2, /Commands/],
        [["apply", "--help"], 0, /--object-api URL/],
        [["status", "--unknown"], 2, /Unknown flag/],
        [["status", "--seed", "127.0.0.1:1", "--timeout-ms", "x"], 2, /needs a number/],
        [["validate", kremsau], 0, /the manifest is valid/],
        [["validate", "missing.toml"], 3, /ENOENT/],
    ];
    for (const [parameters, status, text] of runs) {
        const result = run(parameters);
        assert.equal(result.status, status, `${parameters.join(" ")}: ${result.stderr}`);
        assert.match(result.stdout + result.stderr, text);
    }
    assert.equal(run(["key", "hash"], "abc\n").stdout.trim().length, 64);
});

testing.test("ibisstep: the help of each command has its usage, options and exit codes", async () => {
    for (const [name, entry] of Object.entries(commands.commands)) {
        const { command } = await entry.load();
        assert.match(command.help, new RegExp(`Usage\\n  \\$ ibisstep ${name}`));
        assert.match(command.help, /Exit codes/);
        for (const flag of Object.keys(command.flags ?? {})) {
            const option = flag.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
            assert.match(command.help, new RegExp(`--(no-)?${option}`), `${name} ${flag}`);
        }
    }
});
