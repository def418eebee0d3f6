/** Guards against incorrect exit codes and help, keys read from arguments, and connections closed too early. */
import * as assert from "node:assert/strict";
import * as childProcess from "node:child_process";
import * as path from "node:path";
import * as testing from "node:test";
import * as commands from "../../src/cli/commands.js";
import * as messages from "../../src/rpc/gen/ibisstep/v1/operations_pb.js";
import * as servers from "../../src/rpc/server.js";
import * as instanceLists from "../../stand-ins/instance-list/instance-list.js";

const ROOT = path.resolve(import.meta.dirname, "../..");

interface Result {
    readonly status: number;
    readonly text: string;
}

function run(parameters: readonly string[], input = ""): Promise<Result> {
    const program = ["--import", "tsx", path.join(ROOT, "src/cli/main.ts"), ...parameters];
    return new Promise(resolve => {
        const child = childProcess.execFile(process.execPath, program, { cwd: ROOT }, (error, stdout, stderr) => {
            resolve({ status: Number(error?.code ?? 0), text: stdout + stderr });
        });
        child.stdin?.end(input);
    });
}

testing.test("ibisstep: help, invalid usage and results have their documented exit codes", async () => {
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
        const result = await run(parameters);
        assert.equal(result.status, status, `${parameters.join(" ")}: ${result.text}`);
        assert.match(result.text, text);
    }
    assert.match((await run(["key", "hash"], "abc\n")).text, /^[0-9a-f]{64}\n$/);
});

testing.test("ibisstep: keeps its connections open until the command has finished", async () => {
    const status = () => ({ manifestVersion: 7n });
    await using server = await servers.listen("127.0.0.1:0", router => {
        router.service(messages.OperationsService, { status });
    });
    await using list = await instanceLists.createInstanceList();
    const shown = await run(["status", "--seed", server.address, "--json"]);
    assert.equal(shown.status, 0, shown.text);
    assert.match(shown.text, /"version":7/);
    const listed = await run(["status", "--instance-list", `http://${list.address}`]);
    assert.equal(listed.status, 8, listed.text);
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
