/**
 * Guards against a request that crashes one engine after another, with real daemons and stand-ins on the loopback
 * interface.
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
const TOKENS = 20;

const plan: deployments.Plan = {
    models: [MODEL],
    engines: ["menu-1", "menu-2", "menu-3"].map(name => ({ name, model: MODEL, dataCentre: "dc-a" })),
    bookingServices: [],
    entries: ["dc-a", "dc-b"],
    customers: [{ name: CUSTOMER, requestsPerSecond: 1000, burst: 1000 }],
};

testing.describe("a request that crashes engines", () => {
    let deployment: deployments.Deployment;
    let crashes = 0;
    let isStopped = false;

    testing.before(async () => {
        deployment = await deployments.Deployment.start(plan);
        deployment.backends.forEach(backend => void restartAfterCrashes(backend.name));
    });

    testing.after(async () => {
        isStopped = true;
        await deployment[Symbol.asyncDispose]();
    });

    /** Restarts an engine after each crash. */
    async function restartAfterCrashes(name: string): Promise<void> {
        while (!isStopped) {
            await deployment.backend(name).process.exited;
            if (!isStopped) {
                crashes++;
                await deployment.restartBackend(name);
            }
        }
    }

    function send(user: string, entry: number): Promise<callers.StreamedResponse> {
        const chat = { model: MODEL, system: "rules", user, maxTokens: TOKENS };
        return callers.streamChat(callers.callerOf(deployment, CUSTOMER, entry), chat);
    }

    /** Sends the request through both entries in turn and expects each to refuse it. */
    async function assertRefused(attempts: number): Promise<void> {
        for (let attempt = 0; attempt < attempts; attempt++) {
            const answer = await send("[[crash]]", attempt);
            assert.equal(answer.status, 422, answer.body);
            assert.match(answer.body, /request-quarantined/);
        }
    }

    testing.test("it crashes at most two and is refused, while ordinary requests are answered completely", async () => {
        let isRefused = false;
        const ordinary = Promise.all([0, 1].map(async entry => {
            for (let batch = 0; !isRefused || batch === 0; batch++) {
                const answers = await Promise.all([0, 1, 2].map(index => send(`ordinary ${batch} ${index}`, entry)));
                assert.ok(
                    answers.every(answer => answer.complete && answer.chunks === TOKENS),
                    JSON.stringify(answers),
                );
            }
        }));
        await assertRefused(7);
        isRefused = true;
        await ordinary;
        await processes.waitUntil("crash of the second engine", HANG_TIMEOUT_MS, async () => crashes >= 2);
        assert.equal(crashes, 2);
    });

    testing.test("it is still refused after all entries and agents were restarted", async () => {
        for (const node of deployment.nodes) {
            node.process.signal("SIGKILL");
            await node.process.exited;
            await deployment.restart(node);
        }
        await processes.waitUntil("successful answers of both entries", HANG_TIMEOUT_MS, async () => {
            const answers = await Promise.all([send("ping", 0), send("ping", 1)]);
            return answers.every(answer => answer.complete);
        });
        await assertRefused(4);
        assert.equal(crashes, 2);
    });
});
