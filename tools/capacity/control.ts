/** Measures cost slopes of control traffic: documents, gossip, configuration, budgets, RPC. */
import * as protobuf from "@bufbuild/protobuf";
import * as bucketTables from "../../src/admission/bucket-table.js";
import * as hashing from "../../src/core/hashing.js";
import * as codec from "../../src/gossip/codec.js";
import * as digests from "../../src/gossip/digest.js";
import * as tables from "../../src/gossip/table.js";
import * as manifests from "../../src/manifest/compile.js";
import * as memberDocuments from "../../src/membership/member-document.js";
import type * as members from "../../src/membership/types.js";
import * as clientPools from "../../src/rpc/client-pool.js";
import * as budget from "../../src/rpc/gen/ibisstep/v1/budget_pb.js";
import * as peer from "../../src/rpc/gen/ibisstep/v1/peer_pb.js";
import * as rpcServers from "../../src/rpc/server.js";
import * as measures from "./measure.js";

const MEMBER_COUNTS = [100, 400, 1210];
const CHANGED_COUNTS = [1, 10, 100];
const CUSTOMER_COUNTS = [100, 1000, 3000];
/** Customers of one group when 750, 1,500 or 3,000 customers are divided into 16 groups. */
const GROUP_SIZES = [47, 94, 188];
const DEMAND_COUNTS = [1, 4, 16];
const BODY_BYTES = [256, 16_384, 262_144];
/** Entries and agents of the largest supported deployment. */
const TARGET_MEMBER_COUNT = 1210;
const RENEWAL_HORIZON_MS = 300;

export async function slopes(): Promise<readonly measures.Slope[]> {
    return [
        ...await memberSlopes(),
        instanceListSlope(),
        ...await gossipSlopes(),
        ...await manifestSlopes(),
        ...await renewalSlopes(),
        acquireSlope(),
        await rpcSlope(),
    ];
}

async function measurePoints(sizes: readonly number[], measure: (size: number) => number | Promise<number>) {
    const points: measures.Point[] = [];
    for (const size of sizes) {
        points.push({ size, value: await measure(size) });
    }
    return points;
}

function sampleMember(index: number): members.Member {
    const address = `10.${index % 7}.${index >> 8}.${index % 256}:7400`;
    return {
        incarnation: { address, boot: hashing.sha256(address).slice(0, 24) },
        role: index % 10 < 3 ? "entry" : "agent",
        dataCentre: `region-${index % 3}-dc-${index % 7}`,
        backendServer: index % 10 < 3 ? "" : `backend-server-${index}`,
        state: "live",
        weights: index % 10 < 3 ? [] : ["menu@2026.11", "menu@2026.12"],
        manifestVersion: 1000,
        backendBoot: index % 10 < 3 ? "" : hashing.sha256(`${index}`).slice(0, 24),
    };
}

function sampleDocument(index: number, counter = 0) {
    const version = memberDocuments.firstVersion(1_790_000_000_000) + counter;
    // The JSON round trip gives each document its own strings, as decoding a received message does.
    const value: unknown = JSON.parse(JSON.stringify(sampleMember(index)));
    return { ...memberDocuments.toDocument(sampleMember(index), version), value };
}

function createTable(count: number, changed = 0): tables.DocumentTable {
    const table = new tables.DocumentTable();
    for (let index = 0; index < count; index++) {
        table.offer(sampleDocument(index, index < changed ? 1 : 0));
    }
    return table;
}

function documentBytes(index: number): number {
    const message = protobuf.create(peer.DocumentSchema, codec.encodeDocument(sampleDocument(index)));
    return protobuf.toBinary(peer.DocumentSchema, message).length;
}

async function memberSlopes(): Promise<readonly measures.Slope[]> {
    const bytes = (count: number) =>
        Array.from({ length: count }, (_, index) => documentBytes(index)).reduce((sum, size) => sum + size, 0);
    return [
        measures.fitSlope("member documents on the wire", "bytes / members", await measurePoints(MEMBER_COUNTS, bytes)),
        measures.fitSlope(
            "member documents in memory",
            "bytes / members",
            await measurePoints(MEMBER_COUNTS, count => measures.retainedBytes(() => createTable(count))),
        ),
        measures.fitSlope(
            "digest of all documents",
            "microseconds / members",
            await measurePoints(MEMBER_COUNTS, count => {
                const documents = createTable(count).list("");
                return measures.processorMicroseconds(() => digests.digest(documents));
            }),
        ),
        measures.fitSlope(
            "reading all member documents",
            "microseconds / members",
            await measurePoints(MEMBER_COUNTS, count => {
                const table = createTable(count);
                return measures.processorMicroseconds(() => memberDocuments.readAll(table));
            }),
        ),
    ];
}

function instanceListSlope(): measures.Slope {
    const body = (count: number) => {
        const instances = Array.from({ length: count }, (_, index) => {
            const { incarnation, role, dataCentre } = sampleMember(index);
            return { address: incarnation.address, role, data_centre: dataCentre, state: "live" };
        });
        return JSON.stringify({ instances });
    };
    const points = MEMBER_COUNTS.map(size => ({ size, value: Buffer.byteLength(body(size)) }));
    return measures.fitSlope("answer of the instance list", "bytes / members", points);
}

/** Cost of the second step of a gossip round that finds a number of changed documents among 1,210. */
async function gossipSlopes(): Promise<readonly measures.Slope[]> {
    const ownTable = createTable(TARGET_MEMBER_COUNT);
    const sender = { address: "10.0.0.1:7400", boot: hashing.sha256("sender").slice(0, 24) };
    const compareTables = (otherTable: tables.DocumentTable) => {
        const buckets = digests.differingBuckets(ownTable.digest().bucketHashes, otherTable.digest().bucketHashes);
        const versions = ownTable.inBuckets(buckets).map(({ name, version }) => ({ name, version: BigInt(version) }));
        const request = protobuf.create(peer.CompareRequestSchema, {
            sender,
            totalHash: ownTable.digest().totalHash,
            bucketHashes: [],
            buckets: [...buckets],
            versions,
            storeAgeMs: 500n,
        });
        const differences = digests.differences(otherTable.inBuckets(buckets), ownTable.inBuckets(buckets));
        const newer = differences.newer.flatMap(name => otherTable.get(name) ?? []).map(codec.encodeDocument);
        const response = protobuf.create(peer.CompareResponseSchema, {
            equal: false,
            bucketHashes: [...otherTable.digest().bucketHashes],
            newer,
            storeAgeMs: 500n,
        });
        const sent = protobuf.toBinary(peer.CompareRequestSchema, request);
        const received = protobuf.toBinary(peer.CompareResponseSchema, response);
        protobuf.fromBinary(peer.CompareRequestSchema, sent);
        codec.decodeDocuments(protobuf.fromBinary(peer.CompareResponseSchema, received).newer);
        return sent.length + received.length;
    };
    return [
        measures.fitSlope(
            "second step of a gossip round",
            "bytes both ways / changed documents of 1,210",
            await measurePoints(CHANGED_COUNTS, changed => compareTables(createTable(TARGET_MEMBER_COUNT, changed))),
        ),
        measures.fitSlope(
            "second step of a gossip round, time",
            "microseconds of both sides / changed documents of 1,210",
            await measurePoints(CHANGED_COUNTS, changed => {
                const otherTable = createTable(TARGET_MEMBER_COUNT, changed);
                return measures.processorMicroseconds(() => compareTables(otherTable));
            }),
        ),
    ];
}

function manifestText(customers: number): string {
    const parts = Array.from({ length: customers }, (_, index) =>
        [
            "[[customers]]",
            `name = "customer-${index}"`,
            `key_hashes = ["${hashing.sha256(`${index}`)}", "${hashing.sha256(`second ${index}`)}"]`,
            "rate = { requests_per_second = 5, burst = 10 }",
            "weight = 1",
            "",
        ].join("\n"));
    const models = Array.from(
        { length: 5 },
        (_, index) => `[[models]]\nname = "model-${index}"\nweights_version = "2026.11"\npiece_tokens = 1024\n`,
    );
    const servers = Array.from({ length: 850 }, (_, index) =>
        [
            "[[backend_servers]]",
            `name = "backend-server-${index}"`,
            `data_centre = "dc-${index % 7}"`,
            'kind = "engine"',
            `agent = "10.${index % 7}.${index >> 8}.${index % 256}:7400"`,
            `models = ["model-${index % 5}"]`,
            "",
        ].join("\n"));
    return [...parts, ...models, ...servers].join("\n");
}

async function manifestSlopes(): Promise<readonly measures.Slope[]> {
    const compile = (text: string) => {
        const compiled = manifests.compile(text, 1);
        if (!compiled.ok) {
            throw new Error(compiled.failure.detail);
        }
        return compiled.value;
    };
    const unit = "/ customers, with 850 backend servers";
    return [
        measures.fitSlope(
            "manifest on the wire",
            `bytes ${unit}`,
            await measurePoints(
                CUSTOMER_COUNTS,
                count => Buffer.byteLength(JSON.stringify({ text: manifestText(count) })),
            ),
        ),
        measures.fitSlope(
            "compiling a manifest",
            `microseconds ${unit}`,
            await measurePoints(CUSTOMER_COUNTS, count => {
                const text = manifestText(count);
                return measures.processorMicroseconds(() => compile(text));
            }),
        ),
        measures.fitSlope(
            "text and configuration in memory",
            `bytes ${unit}`,
            await measurePoints(CUSTOMER_COUNTS, count =>
                measures.retainedBytes(() => {
                    const text = manifestText(count);
                    return { text, configuration: compile(text) };
                })),
        ),
    ];
}

function createBuckets(customers: number): bucketTables.BucketTable {
    const names = Array.from({ length: customers }, (_, index) => `customer-${index}`);
    return new bucketTables.BucketTable(
        new Map(names.map(name => [name, { requestsPerSecond: 5, burst: 10 }])),
        0,
    );
}

function encodeRenewal(table: bucketTables.BucketTable, now: number): Uint8Array {
    table.updateUsage(now);
    const levels = table.levels(new Map(), RENEWAL_HORIZON_MS, now);
    return protobuf.toBinary(
        budget.RenewRequestSchema,
        protobuf.create(budget.RenewRequestSchema, {
            group: 3,
            epoch: 1000n,
            primary: { address: "10.0.0.1:7400", boot: hashing.sha256("primary").slice(0, 24) },
            levels: [...levels],
            sequence: 100_000n,
            acknowledged: 99_999n,
        }),
    );
}

async function renewalSlopes(): Promise<readonly measures.Slope[]> {
    let now = 1000;
    return [
        measures.fitSlope(
            "budget renewal on the wire",
            "bytes / customers of the group",
            await measurePoints(GROUP_SIZES, size => encodeRenewal(createBuckets(size), 1000).length),
        ),
        measures.fitSlope(
            "budget renewal, without the call",
            "microseconds of both sides / customers of the group",
            await measurePoints(GROUP_SIZES, size => {
                const table = createBuckets(size);
                return measures.processorMicroseconds(() => {
                    now += 200;
                    protobuf.fromBinary(budget.RenewRequestSchema, encodeRenewal(table, now));
                });
            }),
        ),
    ];
}

function acquireSlope(): measures.Slope {
    const points = DEMAND_COUNTS.map(count => {
        const customers = Array.from({ length: count }, (_, index) => `customer-${index + 1000}`);
        const request = protobuf.create(budget.AcquireRequestSchema, {
            group: 3,
            epoch: 1000n,
            demands: customers.map(customer => ({ customer, count: 1, waitedMs: 1 })),
            manifestVersion: 1000n,
        });
        const response = protobuf.create(budget.AcquireResponseSchema, {
            epoch: 1000n,
            grants: customers.map(customer => ({ customer, count: 1, nextInMs: 0, validForMs: 100 })),
            primaryAddress: "10.0.0.1:7400",
        });
        const bytes = protobuf.toBinary(budget.AcquireRequestSchema, request).length
            + protobuf.toBinary(budget.AcquireResponseSchema, response).length;
        return { size: count, value: bytes };
    });
    return measures.fitSlope("acquire call", "bytes both ways without headers / customers in the call", points);
}

/** Client and server run in this process, so the measured time is that of both sides. */
async function rpcSlope(): Promise<measures.Slope> {
    await using server = await rpcServers.listen("127.0.0.1:0", router => {
        router.service(peer.PeerService, { push: () => ({ newer: [] }) });
    });
    await using pool = new clientPools.ClientPool();
    const client = pool.client(peer.PeerService, server.address);
    const points = await measurePoints(BODY_BYTES, bytes => {
        const value = new Uint8Array(bytes);
        const documents = [{ name: "manifest", version: 1n, value }];
        return measures.processorMicroseconds(() => client.push({ documents }, { timeoutMs: 5000 }));
    });
    return measures.fitSlope("RPC call", "microseconds of both sides / bytes of the request", points);
}
