/** Guards against calls that a planned stop of a real entry cuts off without an answer after they were passed on. */
import * as assert from "node:assert/strict";
import * as net from "node:net";
import * as testing from "node:test";
import * as fleets from "./soak-fleet.js";
import * as standIns from "./stand-ins.js";

/** Times in milliseconds: of the grace period of the fleet's entries, and between the opening of two connections. */
const GRACE_MS = 4000;
const OPENING_INTERVAL_MS = 60;
/** Time in milliseconds of calls before the stop. */
const CALM_MS = 2500;
/** Factors by which workers are slower than 16 ms. */
const SHORT_CALL = 15;
const LONG_CALL = 85;
const ENDLESS_CALL = 600;

interface Answer {
    readonly status: number;
    readonly closes: boolean;
    readonly bodyBytes: number;
}

/** Reads responses of a connection in order; an answer counts once it is complete. */
class KeptConnection {
    readonly answers: Answer[] = [];
    isClosed = false;
    private received = Buffer.alloc(0);
    /** Bytes of the body that still have to come before the answer is complete. */
    private pending: Answer | undefined;
    private pendingBytes = 0;
    private wake: () => void = () => undefined;
    readonly socket: net.Socket;

    constructor(address: string) {
        const [host, port] = address.split(":");
        this.socket = net.connect(Number(port), host);
        this.socket.on("error", () => undefined);
        this.socket.on("close", () => {
            this.isClosed = true;
            this.wake();
        });
        this.socket.on("data", (chunk: Buffer) => {
            const bodyBytes = Math.min(this.pendingBytes, chunk.length);
            this.pendingBytes -= bodyBytes;
            this.received = Buffer.concat([this.received, chunk.subarray(bodyBytes)]);
            this.parse();
        });
    }

    /** Sends the requests at once; resolves when all are answered or the connection is closed. */
    async send(...requests: readonly string[]): Promise<readonly (Answer | undefined)[]> {
        const first = this.answers.length;
        this.socket.write(requests.join(""));
        while (!this.isClosed && this.answers.length < first + requests.length) {
            await new Promise<void>(resolve => {
                this.wake = resolve;
            });
        }
        return requests.map((_, index) => this.answers[first + index]);
    }

    private parse(): void {
        while (this.pendingBytes === 0) {
            if (this.pending !== undefined) {
                this.answers.push(this.pending);
                this.pending = undefined;
                this.wake();
            }
            const end = this.received.indexOf("\r\n\r\n");
            if (end < 0) {
                return;
            }
            const head = this.received.subarray(0, end).toString("latin1");
            const bodyBytes = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0);
            const status = Number(/^HTTP\/1.1 (\d+)/.exec(head)?.[1]);
            this.pending = { status, closes: /^connection: close/im.test(head), bodyBytes };
            const available = Math.min(bodyBytes, this.received.length - end - 4);
            this.pendingBytes = bodyBytes - available;
            this.received = this.received.subarray(end + 4 + available);
        }
    }
}

interface Sent {
    readonly id: string;
    readonly sentAt: number;
    readonly answer: Answer | undefined;
}

/** Callers that open connections all the time, keep them, and send requests in pairs until the entry has ended. */
async function sendAllThrough(fleet: fleets.SoakFleet, deadlineMs: number): Promise<readonly Sent[]> {
    const { address, process } = fleet.firstEntry;
    const sent: Sent[] = [];
    const callers: Promise<void>[] = [];
    let hasEnded = false;
    let stoppedAt = Infinity;
    const call = async () => {
        const connection = new KeptConnection(address);
        for (let closes = false; !closes && !connection.isClosed && !hasEnded;) {
            const ids = [0, 1].map(() => `stop-${callers.length}-${sent.length}-${Math.random()}`);
            const sentAt = performance.now() - stoppedAt;
            const answers = await connection.send(...ids.map(id => fleet.bookingHead(id, deadlineMs)));
            ids.forEach((id, index) => void sent.push({ id, sentAt, answer: answers[index] }));
            closes = answers.some(answer => answer?.closes === true);
        }
        connection.socket.destroy();
    };
    const startedAt = performance.now();
    void process.exited.then(status => {
        hasEnded = true;
        assert.equal(status, 0);
    });
    while (!hasEnded) {
        if (performance.now() - startedAt > CALM_MS && stoppedAt === Infinity) {
            stoppedAt = performance.now();
            process.signal("SIGTERM");
        }
        callers.push(call());
        await standIns.pause(OPENING_INTERVAL_MS);
    }
    assert.ok(performance.now() - stoppedAt < GRACE_MS + 500, "the entry ended within its grace period");
    await Promise.all(callers);
    return sent;
}

const CASES = [
    { name: "short", slowness: SHORT_CALL, deadlineMs: 1200, lateStatus: 200 },
    // They might not end within the grace period.
    { name: "long", slowness: LONG_CALL, deadlineMs: GRACE_MS, lateStatus: 503 },
];

for (const { name, slowness, deadlineMs, lateStatus } of CASES) {
    testing.test(`planned stop, ${name} calls in pairs on kept connections: guards against any that ran and is cut off`, async () => {
        await using fleet = await fleets.SoakFleet.start({ httpWorkers: { slowness } });
        const sent = await sendAllThrough(fleet, deadlineMs);
        const ran = new Set(fleet.log.runs.map(run => run.requestId));
        const cut = sent.filter(({ id, answer }) => ran.has(id) && answer === undefined);
        const refused = sent.filter(({ id, answer }) => ran.has(id) && answer?.status === 503);
        assert.deepEqual([cut.map(({ sentAt }) => Math.round(sentAt)), refused.length], [[], 0]);
        const late = sent.filter(({ sentAt, answer }) => sentAt > 0 && answer?.status === lateStatus);
        assert.ok(late.length > 0, `calls came during the stop and were answered with ${lateStatus}`);
    });
}

testing.test("planned stop: guards against a call that outlasts the grace period and gets no answer", async () => {
    await using fleet = await fleets.SoakFleet.start({ httpWorkers: { slowness: ENDLESS_CALL } });
    const { address, process } = fleet.firstEntry;
    const connection = new KeptConnection(address);
    const ids = ["endless-0", "endless-1"];
    const answers = connection.send(...ids.map(id => fleet.bookingHead(id)));
    // Calls that arrive after the signal are refused, since they might not end within the grace period.
    while (!ids.every(id => fleet.log.runs.some(run => run.requestId === id))) {
        await standIns.pause(20);
    }
    process.signal("SIGTERM");
    assert.deepEqual((await answers).map(answer => answer?.status), [502, 502]);
    assert.equal(await process.exited, 0);
});

testing.test("planned stop: guards against an answer whose last bytes a slow caller has not read yet", async () => {
    const bodyBytes = 7 * 1024 * 1024;
    await using fleet = await fleets.SoakFleet.start({ httpWorkers: { bodyBytes } });
    const { address, process } = fleet.firstEntry;
    const connection = new KeptConnection(address);
    const answers = connection.send(fleet.bookingHead("slow-0"));
    connection.socket.pause();
    await standIns.pause(300);
    process.signal("SIGTERM");
    await standIns.pause(2400);
    connection.socket.resume();
    assert.deepEqual((await answers).map(answer => answer?.bodyBytes), [bodyBytes]);
});

testing.test("planned stop: guards against a signal that comes again and ends the entry with calls in progress", async () => {
    await using fleet = await fleets.SoakFleet.start({ httpWorkers: { slowness: SHORT_CALL * 4 } });
    const { address, process } = fleet.firstEntry;
    const connections = [0, 1, 2].map(() => new KeptConnection(address));
    const answers = Promise.all(
        connections.map((connection, index) => connection.send(fleet.bookingHead(`again-${index}`))),
    );
    await standIns.pause(300);
    for (const signal of ["SIGTERM", "SIGTERM", "SIGINT", "SIGTERM"] as const) {
        process.signal(signal);
        await standIns.pause(100);
    }
    assert.deepEqual((await answers).flat().map(answer => answer?.status), [200, 200, 200]);
    assert.equal(await process.exited, 0);
});
