/**
 * Guards against a part of an answer, or an answer with an impossible status, that a caller gets as a complete answer: servers that
 * answer a long upload at once and break off, and servers in trouble.
 */
import * as assert from "node:assert/strict";
import type * as net from "node:net";
import * as testing from "node:test";
import * as harnesses from "../support/entry-harness.js";

const BODY = "x".repeat(6 * 1024 * 1024);
const LIMITS = { bodyBytes: 2 * BODY.length };
const ROUTES = ["lookup", "booking", "review", "note"] as const;
const DELAYS_MS = [0, 20, 150] as const;
/** Timeout in milliseconds of a call that is answered early at its second request, also on a busy machine. */
const LATER_TIMEOUT_MS = 10_000;
const PART = "part of an answer ".repeat(100);

/** How a server ends its connection after a part of its answer. */
const ENDS: Readonly<Record<string, (socket: net.Socket) => void>> = {
    "reset": socket => void socket.resetAndDestroy(),
    "closed": socket => void socket.destroy(),
    "ended": socket => void socket.end(),
};

/** Heads of answers without a length that begin before the upload has been read. */
const HEADS: Readonly<Record<string, (id: string) => string>> = {
    "HTTP/1.1": id => `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: s\r\nConnection: close\r\n\r\n`,
    "HTTP/1.0": id => `HTTP/1.0 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: s\r\n\r\n`,
    ...Object.fromEntries(["", "identity", "gzip", "x"].map(coding => [
        `the transfer coding ${JSON.stringify(coding)}`,
        (id: string) =>
            `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: s\r\nTransfer-Encoding: ${coding}\r\n\r\n`,
    ])),
    "a stream": id => `${harnesses.streamHead(id)}id: 1\ndata: one\n\n`,
};

for (const [head, render] of Object.entries(HEADS)) {
    for (const [end, finish] of Object.entries(ENDS)) {
        testing.test(`guards against a part of an answer to an upload that is passed on as whole: ${head}, ${end}`, async () => {
            for (const route of ROUTES) {
                for (const delayMs of DELAYS_MS) {
                    await using harness = await harnesses.EntryHarness.start([(socket, { id }) => {
                        socket.pause();
                        socket.write(render(id) + (head === "a stream" ? "" : PART));
                        setTimeout(() => finish(socket), delayMs);
                    }], { limits: LIMITS });
                    const result = await harness.call(route, { body: BODY }).catch(() => undefined);
                    const isWhole = result?.isComplete === true && result.status === 200;
                    assert.equal(
                        isWhole,
                        false,
                        `${route} after ${delayMs} ms: ${result?.status} ${result?.body.length}`,
                    );
                }
            }
        });
    }
}

/** A way to an early answer that is not the first response of its server to the entry. */
interface LaterAnswer {
    readonly routes: readonly (typeof ROUTES[number])[];
    /** Whether the request is answered early. */
    readonly isLater: (request: harnesses.ReceivedRequest) => boolean;
    /** Answers the requests before. */
    readonly before: (socket: net.Socket, id: string) => void;
    readonly prepare: (harness: harnesses.EntryHarness) => Promise<unknown>;
    /** The connection of the early answer has carried another call before. */
    readonly isReused: boolean;
}

const LATER_ANSWERS: Readonly<Record<string, LaterAnswer>> = {
    "on a reused connection": {
        routes: ["lookup", "review"],
        isLater: ({ id }) => id !== "first",
        before: (socket, id) => void socket.write(harnesses.response(id, "first")),
        prepare: harness => harness.call("lookup", { id: "first" }),
        isReused: true,
    },
    "in the continuation of a stream": {
        routes: ["review"],
        isLater: ({ head }) => /^last-event-id:/im.test(head),
        before: (socket, id) => {
            const head = harnesses.streamHead(id).replace("Connection: close", "Transfer-Encoding: chunked");
            const event = "id: 1\ndata: one\n\n";
            socket.write(`${head}${event.length.toString(16)}\r\n${event}\r\n`);
            setTimeout(() => void socket.resetAndDestroy(), DELAYS_MS[1]);
        },
        prepare: async () => undefined,
        isReused: false,
    },
};

/** Makes a call with an early answer. Resolves with undefined if its caller gets no answer. */
async function callWithLaterAnswer(
    { isLater, before, prepare, isReused }: LaterAnswer,
    route: typeof ROUTES[number],
    answer: harnesses.ServerScript,
): Promise<harnesses.CallerResult | undefined> {
    let wasReused: boolean | undefined;
    await using harness = await harnesses.EntryHarness.start([(socket, request) => {
        if (isLater(request)) {
            wasReused ??= request.number > 1;
            answer(socket, request);
        }
        else {
            before(socket, request.id);
        }
    }], { limits: LIMITS, routeTimeoutMs: LATER_TIMEOUT_MS });
    await prepare(harness);
    const result = await harness.call(route, { body: BODY }).catch(() => undefined);
    assert.equal(wasReused, isReused, route);
    return result;
}

for (const [name, later] of Object.entries(LATER_ANSWERS)) {
    testing.test(`guards against a part of an answer to an upload that is passed on as whole, ${name}`, async () => {
        const passedOn: string[] = [];
        const tryOut = async (route: typeof ROUTES[number], head: string, end: string, delayMs: number) => {
            const result = await callWithLaterAnswer(later, route, (socket, { id }) => {
                socket.pause();
                socket.write(HEADS[head]!(id) + (head === "a stream" ? "" : PART));
                setTimeout(() => ENDS[end]!(socket), delayMs);
            });
            if (result?.isComplete === true && result.status === 200) {
                passedOn.push(`${route}: ${head}, ${end} after ${delayMs} ms`);
            }
        };
        for (const route of later.routes) {
            for (const head of Object.keys(HEADS)) {
                for (const end of Object.keys(ENDS)) {
                    await Promise.all(DELAYS_MS.map(delayMs => tryOut(route, head, end, delayMs)));
                }
            }
        }
        assert.deepEqual(passedOn, []);
    });

    testing.test(`an early answer that states its length is passed on, ${name}`, async () => {
        const event = "id: 2\ndata: two\n\n";
        for (const route of later.routes) {
            const result = await callWithLaterAnswer(later, route, (socket, { id }) => {
                socket.pause();
                socket.write(harnesses.streamHead(id).replace("Connection: close", `Content-Length: ${event.length}`));
                socket.write(event);
                setTimeout(() => socket.resume(), DELAYS_MS[2]);
            });
            assert.deepEqual([result?.status, result?.isComplete], [200, true], route);
            assert.ok(result!.body.endsWith(event), route);
        }
    });
}

testing.test("an early answer with a length, and one that ends after the upload was read, are passed on", async () => {
    const scripts: Readonly<Record<string, harnesses.ServerScript>> = {
        "with a length": (socket, { id }) => {
            socket.pause();
            socket.write(harnesses.response(id, "whole"));
            setTimeout(() => socket.resume(), DELAYS_MS[2]);
        },
        "after the upload": (socket, { id }) => {
            let timer: NodeJS.Timeout | undefined;
            // The script begins when the head has arrived; the upload is over when nothing follows.
            socket.on("data", () => {
                clearTimeout(timer);
                timer = setTimeout(() => void socket.end(`${HEADS["HTTP/1.1"]!(id)}whole`), DELAYS_MS[2]);
            });
        },
    };
    for (const [name, script] of Object.entries(scripts)) {
        await using harness = await harnesses.EntryHarness.start([script], { limits: LIMITS });
        const result = await harness.call("booking", { body: BODY });
        assert.deepEqual([result.status, result.body, result.isComplete], [200, "whole", true], name);
    }
});

for (const status of ["000", "099", "999", "20", "101", "600"]) {
    testing.test(`guards against the status ${status} that is passed on as an answer`, async () => {
        for (const route of ROUTES) {
            await using harness = await harnesses.EntryHarness.start([(socket, { id }) => {
                socket.end(
                    `HTTP/1.1 ${status} Odd\r\nRequest-Id: ${id}\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok`,
                );
            }]);
            const result = await harness.call(route);
            assert.ok([502, 503, 504].includes(result.status), `${route}: ${result.status}`);
        }
    });
}
