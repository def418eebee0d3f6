/** Measures cost slopes of the request path: selection, routing state, metrics, queue and records. */
import * as http from "node:http";
import type * as net from "node:net";
import * as engineClients from "../../src/agent/engine-client.js";
import * as liveRequests from "../../src/configuration/live-requests.js";
import * as hashing from "../../src/core/hashing.js";
import * as fairQueues from "../../src/fairness/fair-queue.js";
import * as groupCodec from "../../src/idempotency/group-codec.js";
import * as groups from "../../src/idempotency/record-group.js";
import type * as records from "../../src/idempotency/types.js";
import * as recorders from "../../src/metrics/recorder.js";
import * as views from "../../src/routing/cache-view.js";
import * as indexes from "../../src/routing/prefix-index.js";
import * as selection from "../../src/routing/selection.js";
import * as loads from "../../src/routing/server-loads.js";
import * as measures from "./measure.js";

/** With 850 backend servers for 5 models a request has 170 candidates. */
const CANDIDATE_COUNTS = [10, 50, 170];
const PAIR_COUNTS = [10_000, 50_000, 100_000];
/** 35 million blocks on 850 backend servers are 41,200 on each. */
const BLOCK_COUNTS = [10_000, 41_200, 100_000];
const EVENT_COUNTS = [100, 1400, 10_000];
const HISTOGRAM_COUNTS = [100, 500, 2000];
const ACTIVE_CUSTOMERS = [10, 50, 200];
const RECORD_COUNTS = [10, 100, 400];
const LIVE_REQUEST_COUNTS = [100, 1000, 4000];
/** Short enough to keep every customer active in the queue. */
const JOB_INTERVAL_MS = 10;
const PIECES = 8;
const PIECE_TOKENS = 1024;
const WALL_TIME_MS = 1_790_000_000_000;

export async function slopes(): Promise<readonly measures.Slope[]> {
    return [
        await selectionSlope(),
        indexSlope(),
        ...await cacheSlopes(),
        await pollSlope(),
        ...await histogramSlopes(),
        await queueSlope(),
        ...await recordSlopes(),
        liveSlope(),
    ];
}

function hash(index: number): string {
    return hashing.sha256(`${index}`).slice(0, 16);
}

function prefixChain(first: number): readonly string[] {
    return Array.from({ length: PIECES }, (_, piece) => hash(first + piece));
}

async function measurePoints(sizes: readonly number[], measure: (size: number) => Promise<number>) {
    const points: measures.Point[] = [];
    for (const size of sizes) {
        points.push({ size, value: await measure(size) });
    }
    return points;
}

/** The prefix is cached on every fourth candidate, like a frequently used one. */
async function selectionSlope(): Promise<measures.Slope> {
    const request = { chain: prefixChain(0), promptTokens: PIECES * PIECE_TOKENS + 100, pieceTokens: PIECE_TOKENS };
    const points = await measurePoints(CANDIDATE_COUNTS, count => {
        const candidates = Array.from({ length: count }, (_, index) => ({
            address: `10.0.${index >> 8}.${index % 256}:7400`,
            engineBoot: "boot",
            weight: 1,
            networkMs: 1,
        }));
        const index = new indexes.PrefixIndex();
        const known = candidates.filter((_, position) => position % 4 === 0);
        known.forEach(candidate =>
            index.recordReply(request, candidate.address, { engineBoot: "boot", cachedTokens: 0 }, 1, 2)
        );
        const estimates = new loads.ServerLoads();
        candidates.forEach(({ address }) =>
            estimates.recordReport(address, { queuedTokens: 500, running: 1, waiting: 0 }, 1)
        );
        return measures.processorMicroseconds(() =>
            selection.rankServers(request, candidates, index, estimates, 10, 0.5)
        );
    });
    return measures.fitSlope("choose", "microseconds / candidates", points);
}

function indexSlope(): measures.Slope {
    const points = PAIR_COUNTS.map(count => ({
        size: count,
        value: measures.retainedBytes(() => {
            const index = new indexes.PrefixIndex();
            for (let first = 0; index.size < count && first < 2 * count; first += PIECES) {
                const request = {
                    chain: prefixChain(first),
                    promptTokens: PIECES * PIECE_TOKENS,
                    pieceTokens: PIECE_TOKENS,
                };
                index.recordReply(request, `10.0.0.${first % 170}:7400`, { engineBoot: "boot", cachedTokens: 0 }, 1, 2);
            }
            return index;
        }),
    }));
    return measures.fitSlope("prefix index in memory", "bytes / pairs", points);
}

function createView(blocks: number): views.CacheView {
    const view = new views.CacheView();
    const hashes = Array.from({ length: blocks }, (_, index) => hash(index));
    view.rebuild({ boot: "boot", next: 0, hashes }, 0, 0);
    return view;
}

/** Alternates stored and evicted blocks, as a full cache does. */
function createEvents(sequence: number, count: number): views.CacheEvents {
    const events = Array.from({ length: count }, (_, index) => ({
        sequence: sequence + index,
        kind: index % 2 === 0 ? "stored" as const : "evicted" as const,
        hash: hash((index >> 1) + 1_000_000),
    }));
    return { boot: "boot", next: sequence + count, events };
}

async function cacheSlopes(): Promise<readonly measures.Slope[]> {
    const memory = BLOCK_COUNTS.map(size => ({ size, value: measures.retainedBytes(() => createView(size)) }));
    const time = await measurePoints(EVENT_COUNTS, count => {
        const view = createView(BLOCK_COUNTS[1]);
        const template = createEvents(0, count).events;
        let sequence = 0;
        return measures.processorMicroseconds(() => {
            const events = template.map((event, index) => ({ ...event, sequence: sequence + index }));
            sequence += count;
            view.apply({ boot: "boot", next: sequence, events }, 0, 0);
        });
    });
    return [
        measures.fitSlope("cache view in memory", "bytes / blocks", memory),
        measures.fitSlope("applying cache events", "microseconds / events", time),
    ];
}

/** The response is prepared in advance, so the measured time is that of the client and of sending bytes. */
async function pollSlope(): Promise<measures.Slope> {
    let body = "";
    const server = http.createServer((_request, response) => response.end(body));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const port = (server.address() as net.AddressInfo).port;
    const client = new engineClients.EngineClient(`127.0.0.1:${port}`);
    const points = await measurePoints(EVENT_COUNTS, count => {
        body = JSON.stringify(createEvents(0, count));
        return measures.processorMicroseconds(async () => {
            const page = await client.cacheEvents(0, 1000);
            if (!page.ok) {
                throw new Error(page.failure.detail);
            }
        });
    });
    await client[Symbol.asyncDispose]();
    server.close();
    return measures.fitSlope("poll for cache events", "microseconds / events", points);
}

async function histogramSlopes(): Promise<readonly measures.Slope[]> {
    const fillRecorder = (count: number) => {
        const recorder = new recorders.Recorder();
        for (let index = 0; index < count; index++) {
            for (const durationMs of [0.1, 5, 50, 900]) {
                recorder.record("duration", `customer-${index}`, "interactive", durationMs);
            }
        }
        return recorder;
    };
    const memory = HISTOGRAM_COUNTS.map(size => ({ size, value: measures.retainedBytes(() => fillRecorder(size)) }));
    const time = await measurePoints(HISTOGRAM_COUNTS, count => {
        const recorder = fillRecorder(count);
        let next = 0;
        return measures.processorMicroseconds(() => {
            next = (next + 1) % count;
            recorder.record("duration", `customer-${next}`, "interactive", next);
        });
    });
    return [
        measures.fitSlope("histograms in memory", "bytes / histograms", memory),
        measures.fitSlope("recording a duration", "microseconds / histograms", time),
    ];
}

/** Each customer has a waiting job, as under overload. */
async function queueSlope(): Promise<measures.Slope> {
    const points = await measurePoints(ACTIVE_CUSTOMERS, count => {
        const queue = new fairQueues.FairQueue({ slots: 8, runningTokens: 1e9, queuedJobs: 1e6, queuedCost: 1e12 });
        let id = 0;
        let now = 0;
        const add = () => {
            const customer = `customer-${id % count}`;
            const priority = "interactive" as const;
            now += JOB_INTERVAL_MS;
            queue.add(
                { id: ++id, customer, priority, cost: 1000, tokens: 1000, deadline: 1e12, isExclusive: false },
                now,
            );
        };
        const running: number[] = [];
        const start = () => {
            for (let job = queue.next(now); job !== undefined; job = queue.next(now)) {
                running.push(job.id);
            }
        };
        Array.from({ length: count + 8 }, add);
        start();
        return measures.processorMicroseconds(() => {
            add();
            queue.complete(running.shift() ?? 0, 1000, now);
            start();
        });
    });
    return measures.fitSlope("one job through the fair queue", "microseconds / active customers, all waiting", points);
}

function createGroup(count: number): records.RecordGroup {
    let group = groups.emptyGroup;
    for (let index = 0; index < count; index++) {
        const id = groups.recordId("customer-1", "book", `${index}`);
        const claim = createClaim(index);
        const bodyHash = hashing.sha256(`${index}`);
        group = groups.claim(group, id, bodyHash, claim, WALL_TIME_MS).group;
        const response = groups.storedResponse({
            status: 200,
            headers: { "content-type": "application/json" },
            body: Buffer.from(JSON.stringify({ booking: hashing.sha256(`booking ${index}`), state: "confirmed" })),
        });
        group = groups.complete(group, id, claim, bodyHash, response, WALL_TIME_MS).group;
    }
    return group;
}

function createClaim(index: number): records.Claim {
    return {
        id: hashing.sha256(`claim ${index}`).slice(0, 24),
        incarnation: { address: "10.0.0.1:7400", boot: hashing.sha256("boot").slice(0, 24) },
        requestId: hashing.sha256(`request ${index}`).slice(0, 24),
        attempt: 1,
        runWithinMs: 5000,
    };
}

/** A write of a group decodes the text of the object, adds one claim and encodes the group. */
async function recordSlopes(): Promise<readonly measures.Slope[]> {
    const texts = RECORD_COUNTS.map(count => ({ count, text: groupCodec.encode(createGroup(count)) }));
    const bytes = texts.map(({ count, text }) => ({ size: count, value: Buffer.byteLength(text) }));
    const time = await measurePoints(RECORD_COUNTS, count => {
        const text = texts.find(candidate => candidate.count === count)?.text ?? "";
        return measures.processorMicroseconds(() => {
            const group = groupCodec.decode("group", text);
            if (!group.ok) {
                throw new Error(group.failure.detail);
            }
            return groupCodec.encode(groups.claim(group.value, "new", "hash", createClaim(count), WALL_TIME_MS).group);
        });
    });
    return [
        measures.fitSlope("idempotency group in the object API", "bytes / records", bytes),
        measures.fitSlope("read, claim and write of a group, without the calls", "microseconds / records", time),
    ];
}

function liveSlope(): measures.Slope {
    const keyHash = hashing.sha256("key");
    const customer = { name: "customer", keyHashes: [keyHash], rate: { requestsPerSecond: 1, burst: 1 }, weight: 1 };
    const configuration = { customers: new Map([["customer", customer]]), keys: new Map([[keyHash, "customer"]]) };
    const board = { read: () => configuration, subscribe: () => ({ [Symbol.dispose]: () => undefined }) };
    const points = LIVE_REQUEST_COUNTS.map(size => ({
        size,
        value: measures.retainedBytes(() => {
            const requests = new liveRequests.LiveRequests(board as never);
            return [requests, Array.from({ length: size }, () => requests.admit(keyHash))];
        }),
    }));
    return measures.fitSlope("live requests in memory, key check only", "bytes / requests", points);
}
