/** Prints size and codec time of the heartbeat of an entry, by the number of servers in use and of customers. */
import * as codec from "../../src/peering/codec.js";
import type * as types from "../../src/peering/types.js";

const SIZES = [{ servers: 8, customers: 5 }, { servers: 40, customers: 50 }, { servers: 170, customers: 500 }] as const;
const REPETITIONS = 2000;
const MICROSECONDS_PER_MILLISECOND = 1000;

function heartbeat(servers: number, customers: number): types.Heartbeat {
    const names = (count: number, prefix: string) => Array.from({ length: count }, (_, index) => `${prefix}${index}`);
    const member = { name: "edge-one-1", role: "entry", dataCentre: "one", beatAddress: "10.1.0.24:7600" } as const;
    return {
        member: { ...member, documentAddress: member.beatAddress, serverAddress: undefined },
        incarnation: "9c0b2df7d4cc8fe0fb43da7d",
        sequence: 12_345,
        isLeaving: false,
        lastChanges: {
            configuration: { era: 1, revision: 1200 },
            servers: { era: 1, revision: 1201 },
            weights: { era: 1, revision: 1202 },
        },
        spentTokens: Object.fromEntries(names(customers, "customer").map(name => [name, 1_234_567])),
        serverLoads: Object.fromEntries(
            names(servers, "i-5fc1d1dc2").map(id => [id, { calls: 3, pendingPromptTokens: 4567 }]),
        ),
        prefills: [],
        savedParts: [],
        cacheStores: [],
        rollouts: [],
        loadStatements: [],
        serverLimits: [],
        suspects: { records: [], trials: [] },
        desiredWeights: [{ model: "model", version: 12, position: { era: 0, revision: 345 } }],
        report: undefined,
    };
}

console.log("servers customers bytes encode-us decode-us");
for (const { servers, customers } of SIZES) {
    const message = { heartbeat: heartbeat(servers, customers), passedOn: [] };
    const datagram = codec.encode(message);
    const encodeUs = meanMicroseconds(() => codec.encode(message));
    const decodeUs = meanMicroseconds(() => codec.decode(datagram));
    console.log(`${servers} ${customers} ${datagram.length} ${encodeUs.toFixed(1)} ${decodeUs.toFixed(1)}`);
}

function meanMicroseconds(action: () => unknown): number {
    const start = performance.now();
    for (let repetition = 0; repetition < REPETITIONS; repetition++) {
        action();
    }
    return (performance.now() - start) / REPETITIONS * MICROSECONDS_PER_MILLISECOND;
}
