/** Guards against a placement that is shown wrongly, and an entry that does not answer. */
import * as assert from "node:assert/strict";
import * as net from "node:net";
import * as testing from "node:test";
import * as placementCommand from "../../src/cli/commands/placement.js";
import * as exitCodes from "../../src/cli/exit-codes.js";
import type * as types from "../../src/cli/types.js";
import * as clocks from "../../src/clock/clock.js";
import * as textServers from "../../src/http/text-server.js";

const SERVER = {
    server: "s1",
    dataCentre: "one",
    costMs: 41,
    isPreferred: true,
    calls: 2,
    pendingPromptTokens: 900,
    weightsVersion: 3,
    isCold: false,
    pace: 1.5,
};
const PREVIEW = {
    kind: "assessed",
    route: "review",
    service: "engine",
    priority: 1,
    waiting: 4,
    servers: [SERVER, { ...SERVER, server: "s2", excludedBy: "all-full" }],
};

async function run(address: string, flags: Partial<types.Flags>): Promise<readonly [number, readonly string[]]> {
    const lines: string[] = [];
    const terminal = {
        print: (line: string) => void lines.push(line),
        warn: (line: string) => void lines.push(line),
        readInput: () => Promise.resolve(""),
    };
    const code = await placementCommand.command.run({
        input: [address],
        flags: { json: false, seed: [], timeoutMs: 0, wait: false, ...flags },
        terminal,
        services: undefined as unknown as types.Services,
        clock: clocks.systemClock,
    });
    return [code, lines];
}

async function freeAddress(): Promise<string> {
    const probe = net.createServer();
    await new Promise<void>(resolve => probe.listen(0, "127.0.0.1", resolve));
    const { port } = probe.address() as net.AddressInfo;
    await new Promise(resolve => probe.close(resolve));
    return `127.0.0.1:${port}`;
}

testing.test("the server that gets the call and the reasons of the others are shown", async () => {
    const address = await freeAddress();
    const asked: string[] = [];
    await using server = new textServers.TextServer({
        "/placement": query => {
            asked.push(query.toString());
            return { status: 200, body: JSON.stringify(PREVIEW) };
        },
    });
    await server.listen(address, { clock: clocks.systemClock, journal: { emit: () => undefined } });
    const [code, lines] = await run(address, { host: "calls.example", path: "/review/", callId: "c 1" });
    assert.equal(code, exitCodes.SUCCESS);
    assert.deepEqual(asked, ["host=calls.example&path=%2Freview%2F&id=c+1"]);
    assert.equal(lines[1], "goes to s1");
    assert.match(lines[3]!, /s1 +one +41 ms +2 +900 +3 +preferred, pace 1.5/);
    assert.match(lines[4]!, /s2 +one +all-full/);
});

testing.test("an entry that does not answer is a failure with its address", async () => {
    const address = await freeAddress();
    const [code, lines] = await run(address, { host: "calls.example" });
    assert.equal(code, exitCodes.NO_PROCESS_ANSWERED);
    assert.match(lines[0]!, new RegExp(address));
});
