/** Guards against a suspected request that runs concurrently with other requests, or on two servers at the same time. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as boards from "../../src/daemon/board.js";
import * as quarantinePolicies from "../../src/entry/quarantine-policy.js";
import * as serverHealths from "../../src/entry/server-health.js";
import * as serverSelections from "../../src/entry/server-selection.js";
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

function requestQuarantine(
    liveness: membership.Liveness,
    tableVerdict: quarantine.Verdict,
): quarantinePolicies.RequestQuarantine {
    const probe = async () => liveness;
    return new quarantinePolicies.QuarantinePolicy({
        decide: () => tableVerdict,
        members: () => MEMBERS,
        liveness: { probe },
    }).forRequest("f");
}

testing.test("quarantine policy: a request that lost its agent runs alone once the agent is proved dead", async () => {
    for (const [liveness, expected] of [["dead", "run-alone"], ["unknown", "run"], ["alive", "run"]] as const) {
        const policy = requestQuarantine(liveness, "run");
        policy.attemptSent("s1");
        assert.equal(await policy.decide(LOST_AGENT), expected);
        policy.attemptSent("s2");
        assert.equal(await policy.decide(LOST_AGENT), expected);
    }
});

testing.test("quarantine policy: the table, a lost engine and the report of an agent each decide", async () => {
    assert.equal(await requestQuarantine("unknown", "refuse").decide(PLAN), "refuse");
    assert.equal(await requestQuarantine("unknown", "run").decide({ ...PLAN, lostConnection: "engine" }), "run-alone");
    assert.equal(await requestQuarantine("unknown", "run").decide({ ...PLAN, flaggedAsSuspect: true }), "run-alone");
});

testing.test("quarantine policy: only a trial returns to a server of which just the connection was lost", () => {
    assert.deepEqual([...quarantinePolicies.avoidedServers(LOST_AGENT, true)], ["s2"]);
    assert.deepEqual([...quarantinePolicies.avoidedServers(LOST_AGENT, false)], ["s1", "s2"]);
});

testing.test("quarantine policy: entries that see different loads select the same server for a trial", () => {
    const board = boards.createBoard();
    const backendServers = new Map(SERVERS.map(name => [name, { models: ["menu"], weight: 1 }]));
    board.write("members", MEMBERS);
    board.write("configuration", { backendServers } as never);
    const fingerprints = Array.from({ length: 20 }, (_, index) => `f${index}`);
    const choices = SERVERS.map(loaded => {
        const health = new serverHealths.ServerHealth(() => 0, journals.silentJournal);
        const servers = new serverSelections.ServerSelection({ board, dataCentre: "dc-a", random: () => 0, health });
        servers.loadReported("menu", loaded, { queuedTokens: 100_000, running: 9, waiting: 9 }, 1);
        const requirements = {
            model: { name: "menu", pieceTokens: 1024 },
            weightsVersion: "v1",
            prompt: "p",
            excluded: new Set(),
        };
        return fingerprints.map(name => servers.selectForTrial(requirements as never, name, "a", 1)?.address);
    });
    assert.deepEqual(choices, SERVERS.map(() => choices[0]));
    assert.equal(new Set(choices[0]).size, SERVERS.length);
});
