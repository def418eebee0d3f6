/** Guards against a suspect that runs beside other requests, or as a trial at two servers at a time. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as boards from "../../src/daemon/board.js";
import * as healths from "../../src/entry/server-health.js";
import * as selections from "../../src/entry/server-selection.js";
import * as suspicions from "../../src/entry/suspicion.js";
import * as journals from "../../src/logging/journal.js";
import type * as membership from "../../src/membership/types.js";
import type * as quarantine from "../../src/quarantine/types.js";
import * as continuation from "../../src/streams/continuation.js";
import type * as streams from "../../src/streams/types.js";

const SERVERS = ["s1", "s2", "s3"];
const MEMBERS = new Map(SERVERS.map(address => [address, {
    incarnation: { address, boot: `boot-${address}` },
    backendServer: address,
    state: "live",
    weights: ["menu@v1"],
}])) as never as membership.Members;
const PLAN: streams.AttemptPlan = { ...continuation.initialProgress, tokens: [], mayRedirect: true, remainingMs: 1 };
const LOST_AGENT = {
    ...PLAN,
    lostConnection: "agent",
    excluded: new Set(["s1", "s2"]),
    disconnected: new Set(["s1"]),
} as const;

function verdictOf(liveness: membership.Liveness, known: quarantine.Verdict): suspicions.RequestVerdict {
    const probe = async () => liveness;
    return new suspicions.Suspicion({ decide: () => known, members: () => MEMBERS, liveness: { probe } }).of("f");
}

testing.test("suspicion: a request that lost its agent runs alone from the proof on that the agent died", async () => {
    for (const [liveness, expected] of [["dead", "run-alone"], ["unknown", "run"], ["alive", "run"]] as const) {
        const verdict = verdictOf(liveness, "run");
        verdict.sent("s1");
        assert.equal(await verdict.decide(LOST_AGENT), expected);
        verdict.sent("s2");
        assert.equal(await verdict.decide(LOST_AGENT), expected);
    }
});

testing.test("suspicion: the table, a lost engine and the word of an agent each decide", async () => {
    assert.equal(await verdictOf("unknown", "refuse").decide(PLAN), "refuse");
    assert.equal(await verdictOf("unknown", "run").decide({ ...PLAN, lostConnection: "engine" }), "run-alone");
    assert.equal(await verdictOf("unknown", "run").decide({ ...PLAN, reportedSuspect: true }), "run-alone");
});

testing.test("suspicion: a trial returns to a server whose connection merely broke, other attempts do not", () => {
    assert.deepEqual([...suspicions.avoided(LOST_AGENT, true)], ["s2"]);
    assert.deepEqual([...suspicions.avoided(LOST_AGENT, false)], ["s1", "s2"]);
});

testing.test("suspicion: entries that see different loads select the same server for a trial", () => {
    const board = boards.createBoard();
    const backendServers = new Map(SERVERS.map(name => [name, { models: ["menu"], weight: 1 }]));
    board.write("members", MEMBERS);
    board.write("configuration", { backendServers } as never);
    const fingerprints = Array.from({ length: 20 }, (_, index) => `f${index}`);
    const choices = SERVERS.map(loaded => {
        const health = new healths.ServerHealth(() => 0, journals.silentJournal);
        const servers = new selections.ServerSelection({ board, dataCentre: "dc-a", random: () => 0, health });
        servers.reported("menu", loaded, { queuedTokens: 100_000, running: 9, waiting: 9 }, 1);
        const demand = {
            model: { name: "menu", pieceTokens: 1024 },
            weightsVersion: "v1",
            prompt: "p",
            excluded: new Set(),
        };
        return fingerprints.map(name => servers.selectForTrial(demand as never, name, "a", 1)?.address);
    });
    assert.deepEqual(choices, SERVERS.map(() => choices[0]));
    assert.equal(new Set(choices[0]).size, SERVERS.length);
});
