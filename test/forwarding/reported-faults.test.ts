/**
 * Guards against three faults that operators reported of servers in trouble: an earlier refusal that is written once more, an
 * error after a stream has begun, and a head that breaks off.
 */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as harnesses from "../support/entry-harness.js";

/** Time in milliseconds by which a call has to end: the timeout of its route and a margin. */
const LATEST_END_MS = 3000;
const REFUSAL_HEADERS = "Not-Executed: 1\r\n";

function refusal(id: string): string {
    return harnesses.response(id, "", "503 Service Unavailable").replace("\r\n", `\r\n${REFUSAL_HEADERS}`);
}

for (const route of ["lookup", "booking", "review", "note"]) {
    for (const withId of [true, false]) {
        testing.test(`${route}: an earlier refusal written once more ${withId ? "with" : "without"} its id is not taken for the next call's`, async () => {
            const ran: string[] = [];
            const previous = new WeakMap<object, string>();
            let isFirst = true;
            const faulty: harnesses.ServerScript = (socket, { id }) => {
                const late = previous.get(socket);
                if (isFirst) {
                    isFirst = false;
                    const earlier = refusal(id);
                    previous.set(socket, withId ? earlier : earlier.replace(/^Request-Id: .*\r\n/m, ""));
                    socket.write(earlier);
                    return;
                }
                previous.delete(socket);
                ran.push(id);
                socket.write((late ?? "") + harnesses.response(id, `answer to ${id}`));
            };
            await using harness = await harnesses.EntryHarness.start([faulty]);
            for (const id of ["first", "second", "third"]) {
                const result = await harness.call(route, { id });
                const runs = ran.filter(run => run === id).length;
                if (result.status === 503 || result.status === 429) {
                    assert.equal(runs, 0, `${id} ran and was answered with ${result.status}`);
                }
                if (route === "booking" || route === "note") {
                    assert.ok(runs <= 1, `${id} ran ${runs} times`);
                }
                if (result.status === 200) {
                    assert.equal(result.body, `answer to ${id}`);
                }
            }
        });
    }
}

for (const route of ["lookup", "review"]) {
    testing.test(`${route}: guards against an earlier refusal of the same call that is taken for the answer to its next attempt`, async () => {
        let runs = 0;
        let requests = 0;
        const faulty: harnesses.ServerScript = (socket, { id, number }) => {
            requests++;
            if (requests === 1) {
                socket.write(refusal(id));
                return;
            }
            runs++;
            // On a kept connection the refusal comes once more, and the request runs all the same.
            socket.write((number > 1 ? refusal(id) : "") + harnesses.response(id, "answer"));
        };
        await using harness = await harnesses.EntryHarness.start([faulty]);
        const result = await harness.call(route);
        assert.equal(runs, 1, "it runs once");
        assert.deepEqual([result.status, result.body], [200, "answer"]);
    });
}

const FAILURES_AFTER_BEGINNING: Readonly<Record<string, (id: string) => string>> = {
    "an error of the server": id => harnesses.response(id, "the server's error text", "500 Internal Server Error"),
    "a refusal": refusal,
    "an error of another kind of call": id => harnesses.response(id, "the server's error text", "404 Not Found"),
    "an answer that is no stream": id => harnesses.response(id, "the server's error text"),
    "bytes that are no answer": () => "the server's error text\r\n\r\n",
    "an error without its id": () => "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror",
    "a redirection": id => harnesses.response(id, "the server's error text", "302 Found"),
};

for (const [name, render] of Object.entries(FAILURES_AFTER_BEGINNING)) {
    testing.test(`stream that broke off, then ${name} at the next server: nothing of it in the stream, which does not end as complete`, async () => {
        let begun = false;
        const script: harnesses.ServerScript = (socket, { id }) => {
            if (!begun) {
                begun = true;
                socket.write(`${harnesses.streamHead(id)}id: 1\ndata: one\n\n`);
                setTimeout(() => socket.resetAndDestroy(), 50);
                return;
            }
            socket.write(render(id));
        };
        await using harness = await harnesses.EntryHarness.start([script, script, script]);
        const timeout = new Promise<undefined>(resolve => setTimeout(resolve, LATEST_END_MS, undefined).unref());
        const result = await Promise.race([harness.call("review"), timeout]);
        assert.ok(result !== undefined, "the stream ends in time");
        assert.equal(result.status, 200);
        assert.equal(result.body, "id: 1\ndata: one\n\n");
        assert.equal(result.isComplete, false);
    });
}

const WHOLE_HEAD = (id: string) =>
    `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: seal\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n`;

for (const route of ["lookup", "booking", "review", "note"]) {
    for (const end of ["closed", "reset"] as const) {
        testing.test(`${route}: a head that breaks off and is ${end} is no answer, wherever it does`, async () => {
            const { length } = WHOLE_HEAD("call");
            const cuts = Array.from({ length: length - 1 }, (_, index) => index + 1);
            await Promise.all(cuts.map(async cut => {
                const script: harnesses.ServerScript = (socket, { id }) => {
                    const close = () => void (end === "closed" ? socket.end() : socket.resetAndDestroy());
                    socket.write(WHOLE_HEAD(id).slice(0, cut), close);
                };
                await using harness = await harnesses.EntryHarness.start([script]);
                const result = await harness.call(route, { id: "call" }).catch(() => undefined);
                const isSuccess = result !== undefined && result.status < 300 && result.isComplete;
                assert.equal(
                    isSuccess,
                    false,
                    `cut after ${cut} of ${length} bytes: ${result?.status} ${result?.body}`,
                );
            }));
        });
    }
}
