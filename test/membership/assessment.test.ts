/** Guards against live processes declared dead, and against a faulty instance list that removes most members. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as net from "node:net";
import * as testing from "node:test";
import * as outcomes from "../../src/core/outcome.js";
import * as manifest from "../../src/manifest/types.js";
import * as assessment from "../../src/membership/assessment.js";
import type * as evidences from "../../src/membership/evidence.js";
import * as listings from "../../src/membership/listing.js";
import * as probes from "../../src/membership/probe.js";
import type * as types from "../../src/membership/types.js";

const SEED = 24;
const incarnation = { address: "10.0.0.1:7000", boot: "first" };
const member: types.Member = {
    incarnation,
    role: "agent",
    dataCentre: "dc-0",
    backendServer: "server",
    state: "live",
    weights: [],
    manifestVersion: 0,
    backendBoot: "",
};

testing.test("liveness: only a refused connection, another boot, or absence without a connection proves death", () => {
    const observation = fastCheck.record({
        connection: fastCheck.constantFrom("accepted" as const, "refused" as const, "no-answer" as const),
        respondingBoot: fastCheck.constantFrom("first", "second", undefined),
        absentForMs: fastCheck.constantFrom(0, 2999, 3000, 60_000),
    });
    fastCheck.assert(
        fastCheck.property(observation, observed => {
            const paused = observed.connection === "accepted" && observed.respondingBoot === undefined;
            const absent = observed.connection === "no-answer" && observed.absentForMs >= 3000;
            const replaced = observed.connection === "accepted" && observed.respondingBoot === "second";
            const dead = observed.connection === "refused" || replaced || absent;
            const result = probes.decide(incarnation, observed);
            assert.equal(result === "dead", dead);
            assert.ok(!paused || result === "unknown");
        }),
        { seed: SEED },
    );
});

testing.test("liveness: a socket that accepts but never answers is unknown, a closed one is dead", async () => {
    const server = net.createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    const probe = probes.createLivenessProbe({
        connect: probes.connectTcp,
        peers: { identify: async () => outcomes.fail("peer-connection-lost", "paused") },
        listingOf: () => ({ state: "absent", since: 0, confirmedAt: 60_000 }),
    });
    assert.equal(await probe.probe({ address, boot: "first" }), "unknown");
    await new Promise(resolve => server.close(resolve));
    assert.equal(await probe.probe({ address, boot: "first" }), "dead");
});

testing.test("evidence: applies to its own incarnation only, and a refused connection for a limited time", () => {
    const refused: evidences.Evidence = { incarnation, kind: "refused", observedAt: 100 };
    const situation = { configuration: manifest.emptyConfiguration, listing: undefined, evidence: refused };
    assert.equal(assessment.assess(member, { ...situation, now: 101 }), "gone");
    assert.equal(assessment.assess(member, { ...situation, now: 5100 }), "live");
    const restarted = { ...member, incarnation: { ...incarnation, boot: "second" } };
    assert.equal(assessment.assess(restarted, { ...situation, now: 101 }), "live");
    const replaced: evidences.Evidence = { ...refused, kind: "replaced" };
    assert.equal(assessment.assess(member, { ...situation, evidence: replaced, now: 1e9 }), "gone");
});

testing.test("membership: a server that the manifest removes or moves is leaving", () => {
    const server: manifest.BackendServer = {
        name: "server",
        dataCentre: "dc-0",
        kind: "engine",
        agentAddress: incarnation.address,
        models: [],
        service: "",
        weight: 1,
        checksFencing: false,
    };
    const assess = (servers: readonly manifest.BackendServer[]) =>
        assessment.assess(member, {
            configuration: {
                ...manifest.emptyConfiguration,
                version: 1,
                backendServers: new Map(servers.map(item => [item.name, item])),
            },
            listing: undefined,
            evidence: undefined,
            now: 0,
        });
    assert.equal(assess([server]), "live");
    assert.equal(assess([]), "leaving");
    assert.equal(assess([{ ...server, agentAddress: "10.0.0.2:7000" }]), "leaving");
});

testing.test("instance list: a response that lacks most instances is ignored; absence starts with the first response without it", () => {
    const instance = (address: string) => ({
        address,
        role: "agent" as const,
        dataCentre: "dc-0",
        state: "live" as const,
    });
    const all = ["a", "b", "c", "d", "e", "f"].map(instance);
    const first = listings.mergeResponse(new Map(), all, 0);
    assert.equal(listings.mergeResponse(first, all.slice(4), 1000), first);
    const second = listings.mergeResponse(first, all.slice(1), 2000);
    assert.equal(listings.absentForMs(second.get("a")), 0);
    const third = listings.mergeResponse(second, all.slice(1), 6000);
    assert.equal(listings.absentForMs(third.get("a")), 4000);
    assert.equal(listings.absentForMs(listings.mergeResponse(third, all, 7000).get("a")), 0);
    assert.equal(third.get("never listed"), undefined);
});
