/**
 * Crashes and shutdowns of whole processes, with real daemons and stand-ins on the loopback interface.
 *
 * The timeouts of `waitUntil` only abort a test that hangs; no assertion depends on elapsed time.
 */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as callers from "../../tools/demo/caller.js";
import * as deployments from "../../tools/support/deployment.js";
import * as processes from "../../tools/support/processes.js";

const HANG_TIMEOUT_MS = 30_000;
const CUSTOMER = "club";
const MODEL = "menu";
const TOKENS = 60;

const plan: deployments.Plan = {
    models: [MODEL],
    engines: [
        { name: "menu-1", model: MODEL, dataCentre: "dc-a" },
        { name: "menu-2", model: MODEL, dataCentre: "dc-b" },
    ],
    bookingServices: ["dc-a", "dc-b"],
    entries: ["dc-a", "dc-b"],
    customers: [{ name: CUSTOMER, requestsPerSecond: 1000, burst: 1000 }],
};

testing.describe("process failures", () => {
    let deployment: deployments.Deployment;

    testing.before(async () => {
        deployment = await deployments.Deployment.start(plan);
    });

    testing.after(async () => {
        await deployment[Symbol.asyncDispose]();
    });

    function caller(entry: number): callers.Caller {
        return callers.callerOf(deployment, CUSTOMER, entry);
    }

    function chat(user: string): callers.Chat {
        return { model: MODEL, system: "rules", user, maxTokens: TOKENS };
    }

    async function kill(node: deployments.Node): Promise<void> {
        node.process.signal("SIGKILL");
        await node.process.exited;
    }

    async function waitUntilServing(entry: number): Promise<void> {
        await processes.waitUntil(`a successful answer of entry ${entry + 1}`, HANG_TIMEOUT_MS, async () => {
            return (await callers.chat(caller(entry), chat("ping"))).status === 200;
        });
    }

    async function setObjectApiOutage(outage: boolean): Promise<void> {
        const response = await fetch(`${deployment.objectApi}/control/faults`, {
            method: "PUT",
            headers: { "content-type": "text/plain" },
            body: JSON.stringify({ outage }),
        });
        assert.equal(response.status, 200);
    }

    async function countRunsPerKey(): Promise<readonly number[]> {
        const services = deployment.backends.filter(backend => backend.kind === "service");
        const counts = await Promise.all(services.map(async service => {
            const response = await fetch(`http://${service.address}/runs`);
            return (await response.json() as { readonly runs: Readonly<Record<string, number>>; }).runs;
        }));
        const total = new Map<string, number>();
        for (const [key, count] of counts.flatMap(runs => Object.entries(runs))) {
            total.set(key, (total.get(key) ?? 0) + count);
        }
        return [...total.values()];
    }

    testing.test("a stream whose agent is killed continues on another server with the same tokens", async () => {
        const uninterrupted = await callers.streamChat(caller(0), chat("continue"));
        assert.ok(uninterrupted.complete);
        let onFirstChunk: () => void = () => undefined;
        const firstChunk = new Promise<void>(resolve => {
            onFirstChunk = resolve;
        });
        const interrupted = callers.streamChat(caller(0), chat("continue"), onFirstChunk);
        await firstChunk;
        const busy = await findBusyEngine();
        await kill(deployment.node(`agent-${busy}`));
        const answer = await interrupted;
        assert.ok(answer.complete, answer.body.slice(-400));
        assert.equal(answer.text, uninterrupted.text);
        await deployment.restart(deployment.node(`agent-${busy}`));
    });

    async function findBusyEngine(): Promise<string> {
        for (const engine of deployment.backends.filter(backend => backend.kind === "engine")) {
            const load = await (await fetch(`http://${engine.address}/v1/load`)).json() as {
                readonly running: number;
            };
            if (load.running > 0) {
                return engine.name;
            }
        }
        throw new Error("no engine runs a request");
    }

    testing.test("a stream whose engine crashes continues on another server with the same tokens", async () => {
        const uninterrupted = await callers.streamChat(caller(1), chat("crash"));
        let onFirstChunk: () => void = () => undefined;
        const firstChunk = new Promise<void>(resolve => {
            onFirstChunk = resolve;
        });
        const interrupted = callers.streamChat(caller(1), chat("crash"), onFirstChunk);
        await firstChunk;
        const busy = deployment.backend(await findBusyEngine());
        busy.process.signal("SIGKILL");
        const answer = await interrupted;
        assert.ok(answer.complete, answer.body.slice(-400));
        assert.equal(answer.text, uninterrupted.text);
        await busy.process.exited;
        await deployment.restartBackend(busy.name);
    });

    testing.test("a graceful shutdown of an entry interrupts no stream", async () => {
        let onFirstChunk: () => void = () => undefined;
        const firstChunk = new Promise<void>(resolve => {
            onFirstChunk = resolve;
        });
        const stream = callers.streamChat(caller(0), { ...chat("drain"), maxTokens: 200 }, onFirstChunk);
        await firstChunk;
        const entry = deployment.node("entry-1");
        entry.process.signal("SIGTERM");
        const answer = await stream;
        assert.ok(answer.complete, answer.body.slice(-400));
        assert.equal(answer.chunks, 200);
        assert.equal(await entry.process.exited, 0);
        await deployment.restart(entry);
        await waitUntilServing(0);
    });

    testing.test("a killed entry serves again after its restart while the object API is down", async () => {
        await setObjectApiOutage(true);
        const entry = deployment.node("entry-2");
        await kill(entry);
        assert.equal((await callers.chat(caller(0), chat("other entry"))).status, 200);
        await deployment.restart(entry);
        await waitUntilServing(1);
        await setObjectApiOutage(false);
    });

    testing.test("a killed agent serves again after its restart while the object API is down", async () => {
        await setObjectApiOutage(true);
        const agents = deployment.agents.filter(agent => agent.backendServer.startsWith("menu"));
        await Promise.all(agents.map(agent => kill(agent)));
        await Promise.all(agents.map(agent => deployment.restart(agent)));
        await waitUntilServing(0);
        await waitUntilServing(1);
        await setObjectApiOutage(false);
    });

    testing.test("a booking whose agent is killed runs at most once and completes when it is retried", async () => {
        const agents = deployment.agents.filter(agent => agent.backendServer.startsWith("booking"));
        const send = (index: number, entry: number) =>
            callers.send(caller(entry), "POST", "/bookings", { guest: index }, { "idempotency-key": `meal-${index}` })
                .then(answer => answer.status, () => 0);
        const bookings = Array.from({ length: 12 }, (_, index) => index);
        const first = Promise.all(bookings.map(index => send(index, index)));
        await kill(agents[0]);
        await deployment.restart(agents[0]);
        await first;
        for (const index of bookings) {
            await processes.waitUntil(`completion of booking ${index}`, HANG_TIMEOUT_MS * 2, async () => {
                return await send(index, index + 1) === 201;
            });
        }
        const runs = await countRunsPerKey();
        assert.equal(runs.length, bookings.length);
        assert.ok(runs.every(count => count === 1), JSON.stringify(runs));
    });

    testing.test("guards against a part of a service's answer that its caller gets as the whole one", async () => {
        const services = deployment.backends.filter(backend => backend.kind === "service");
        await Promise.all(services.map(service =>
            fetch(`http://${service.address}/control`, {
                method: "PUT",
                headers: { "content-type": "application/json" },
                body: JSON.stringify({ cut_answers: 1 }),
            })
        ));
        for (let index = 0; index < 4; index++) {
            const headers = { "idempotency-key": `cut-${index}` };
            const answer = await callers.send(caller(index), "POST", "/bookings", { guest: index }, headers);
            if (answer.status >= 500) {
                // The outcome of the call is unknown.
                continue;
            }
            const { booking } = JSON.parse(answer.body) as { readonly booking: number; };
            assert.ok(booking > 0, answer.body);
        }
        for (const service of services) {
            const { cut_answers: remaining } = await (await fetch(`http://${service.address}/control`, {
                method: "PUT",
                headers: { "content-type": "application/json" },
                body: "{}",
            })).json() as { readonly cut_answers: number; };
            assert.equal(remaining, 0, `${service.name} has cut an answer`);
        }
        const runs = await countRunsPerKey();
        assert.ok(runs.every(count => count === 1), JSON.stringify(runs));
    });

    testing.test("no engine receives the API key of a caller", async () => {
        for (const engine of deployment.backends.filter(backend => backend.kind === "engine")) {
            const seen = await (await fetch(`http://${engine.address}/control/headers`)).text();
            assert.ok(!seen.includes(deployment.keys.get(CUSTOMER) as string));
            assert.ok(!seen.includes("authorization"));
        }
    });
});
