/** Guards against control traffic that grows with the deployment, and against peers that a heartbeat does not reach. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as fanOuts from "../../src/peering/fan-out.js";
import type * as types from "../../src/peering/types.js";

function member(name: string, role: types.Role, dataCentre: string | undefined): types.Member {
    return { name, role, dataCentre, beatAddress: name, documentAddress: name, serverAddress: undefined };
}

/** A deployment with as many entries and agents in each data centre. */
function deployment(dataCentres: number, entries: number, agents: number): readonly types.Member[] {
    return Array.from({ length: dataCentres }, (_, index) => {
        const dataCentre = `centre-${index}`;
        return [
            ...Array.from({ length: entries }, (_unused, number) => {
                return member(`entry-${index}-${number}`, "entry", dataCentre);
            }),
            ...Array.from({ length: agents }, (_unused, number) => {
                return member(`agent-${index}-${number}`, "agent", dataCentre);
            }),
        ];
    }).flat();
}

const NOBODY_DEAD: ReadonlySet<string> = new Set();

function fanOutOf(
    self: types.Member,
    members: readonly types.Member[],
    sequence = 0,
    dead: ReadonlySet<string> = NOBODY_DEAD,
): fanOuts.FanOut {
    const peers = members.filter(peer => peer.name !== self.name);
    return fanOuts.fanOut({ self, peers, isLive: peer => !dead.has(peer.name), sequence });
}

/** Names of the processes that a heartbeat reaches, directly or through an entry that passes it on. */
function reached(
    self: types.Member,
    members: readonly types.Member[],
    sequence: number,
    dead: ReadonlySet<string>,
): ReadonlySet<string> {
    const { local, relays } = fanOutOf(self, members, sequence, dead);
    const passedOn = relays.filter(relay => !dead.has(relay.name)).flatMap(relay => {
        return relay.role === "entry" ? fanOutOf(relay, members, 0, dead).local : [];
    });
    return new Set([...local, ...relays, ...passedOn].map(peer => peer.name));
}

testing.test("hundreds of processes: each heartbeat reaches every peer, also when entries are dead", () => {
    const members = deployment(5, 14, 11);
    const deaths = [NOBODY_DEAD, new Set(members.filter((_, index) => index % 3 === 0).map(({ name }) => name))];
    for (const dead of deaths) {
        for (const self of members.filter(({ name }) => !dead.has(name))) {
            for (const sequence of [0, 1]) {
                assert.ok(
                    reached(self, members, sequence, dead).size >= members.length - 1,
                    `${self.name} ${sequence}`,
                );
            }
        }
    }
});

testing.test("growth: the recipients follow from the own data centre and the number of the others, not from the fleet", () => {
    const recipients = (members: readonly types.Member[]) => {
        const { local, relays } = fanOutOf(members[0]!, members);
        return local.length + relays.length;
    };
    assert.equal(recipients(deployment(5, 14, 11)), 24 + 4);
    assert.equal(recipients(deployment(10, 14, 11)), 24 + 9);
});

testing.test("the entries that pass on are spread over the data centre, two for each sender", () => {
    const members = deployment(2, 20, 10);
    const chosen = members.filter(({ dataCentre }) => dataCentre === "centre-0").map(self => {
        return [0, 1, 2, 3].map(sequence => fanOutOf(self, members, sequence).relays[0]!.name);
    });
    chosen.forEach(names => assert.equal(new Set(names).size, 2));
    const counts = new Map<string, number>();
    chosen.forEach(names => counts.set(names[0]!, (counts.get(names[0]!) ?? 0) + 1));
    const perRelay = [...counts.values()];
    assert.ok(perRelay.length >= 10 && Math.max(...perRelay) <= 6, `${perRelay.join(" ")}`);
});

testing.test("guards against a data centre that hears nothing since its entries are dead or not known yet", () => {
    const members = deployment(3, 6, 6);
    const self = members[0]!;
    const dead = new Set(
        members.filter(({ dataCentre, role }) => dataCentre === "centre-1" && role === "entry").map(peer => peer.name),
    );
    const agents = members.filter(({ dataCentre, role }) => dataCentre === "centre-1" && role === "agent");
    const names = new Set(fanOutOf(self, members, 0, dead).relays.map(peer => peer.name));
    agents.forEach(agent => assert.ok(names.has(agent.name)));
});

testing.test("rolling restart: processes of a version without a data centre are told directly", () => {
    const members = [...deployment(3, 10, 10), member("old-entry", "entry", undefined)];
    assert.ok(fanOutOf(members[0]!, members).local.some(peer => peer.name === "old-entry"));
    const old = members.at(-1)!;
    assert.equal(fanOutOf(old, members).local.length, members.length - 1);
});

testing.test("a small deployment keeps direct heartbeats between all processes", () => {
    const members = deployment(3, 2, 3);
    assert.deepEqual(fanOutOf(members[0]!, members).relays, []);
});
