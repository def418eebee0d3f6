/** Guards against new work sent to a leaving server, and against a shutdown that interrupts requests. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as events from "node:events";
import * as testing from "node:test";
import * as boards from "../../src/daemon/board.js";
import * as journals from "../../src/logging/journal.js";
import * as drains from "../../src/membership/drain.js";
import * as simulation from "../support/simulated-system.js";
import * as virtualClock from "../support/virtual-clock.js";

const SEED = 23;
const PROPAGATION_LIMIT_MS = 3000;

const situation = fastCheck.record({
    seed: fastCheck.integer(),
    count: fastCheck.integer({ min: 3, max: 9 }),
    loss: fastCheck.double({ min: 0, max: 0.1, noNaN: true }),
    delayMs: fastCheck.integer({ min: 0, max: 80 }),
});

testing.test("membership: no process considers a leaving server live after 3 s although the instance list lags", async () => {
    await fastCheck.assert(
        fastCheck.asyncProperty(situation, async given => {
            const instances = Array.from({ length: given.count }, (_, index) => ({
                address: `10.0.0.${index + 1}:7000`,
                dataCentre: `dc-${index % 2}`,
                role: index === 0 ? "agent" as const : "entry" as const,
                backendServer: index === 0 ? "server" : "",
            }));
            const leaving = instances[0].address;
            const system = new simulation.SimulatedSystem(given.seed, instances);
            system.listedInstances = instances.map(instance => ({ ...instance, state: "live" as const }));
            await system.startAll();
            await system.clock.advance(6000);
            system.faults = { loss: given.loss, delayMs: given.delayMs };
            for (const process of system.processes.values()) {
                assert.equal(process.board.read("members").get(leaving)?.state, "live");
            }
            const agent = system.processes.get(leaving);
            agent?.board.write("draining", true);
            const outcome = agent?.membership.checkNewWork();
            assert.equal(outcome !== undefined && !outcome.ok && outcome.failure.kind, "server-leaving");
            await system.clock.advance(PROPAGATION_LIMIT_MS);
            for (const process of system.processes.values()) {
                assert.equal(process.board.read("members").get(leaving)?.state, "draining");
            }
        }),
        { seed: SEED, numRuns: 25 },
    );
});

testing.test("drain: waits for all requests in flight and accepts no new one", async () => {
    const durations = fastCheck.array(fastCheck.integer({ min: 0, max: 20_000 }), { maxLength: 12 });
    await fastCheck.assert(
        fastCheck.asyncProperty(durations, async durationsMs => {
            const clock = new virtualClock.VirtualClock(SEED);
            const board = boards.createBoard();
            const journal = journals.silentJournal;
            const drain = new drains.Drain({ board, clock, journal, limitMs: 30_000 });
            let completed = 0;
            for (const durationMs of durationsMs) {
                const entered = drain.enter();
                assert.ok(entered.ok);
                void clock.sleep(durationMs).then(() => {
                    completed++;
                    entered.value[Symbol.dispose]();
                    entered.value[Symbol.dispose]();
                });
            }
            assert.ok(drain.begin("test"));
            assert.ok(!drain.begin("test again"));
            assert.ok(board.read("draining"));
            const refused = drain.enter();
            assert.equal(!refused.ok && refused.failure.kind, "draining");
            const report = await clock.runUntilSettled(drain.finished);
            assert.equal(report.interrupted, 0);
            assert.equal(completed, durationsMs.length);
        }),
        { seed: SEED, numRuns: 50 },
    );
});

testing.test("drain: ends at its time limit and reports the number of interrupted requests", async () => {
    const clock = new virtualClock.VirtualClock(SEED);
    const board = boards.createBoard();
    const drain = new drains.Drain({ board, clock, journal: journals.silentJournal, limitMs: 5000 });
    assert.ok(drain.enter().ok);
    const signals = new events.EventEmitter();
    drains.drainOnSignal(drain, signals);
    signals.emit("SIGTERM");
    const report = await clock.runUntilSettled(drain.finished);
    assert.deepEqual([report.interrupted, clock.now()], [1, 5000]);
});

testing.test("drain: an entry accepts requests until the load balancer has detected the drain, then waits for them", async () => {
    const clock = new virtualClock.VirtualClock(SEED);
    const board = boards.createBoard();
    const journal = journals.silentJournal;
    const drain = new drains.Drain({ board, clock, journal, limitMs: 30_000, acceptMs: 3000 });
    drain.begin("test");
    assert.ok(board.read("draining"), "the process is not ready as soon as the drain begins");
    await clock.advance(2900);
    const late = drain.enter();
    assert.ok(late.ok, "a request that the load balancer still sends is accepted");
    await clock.advance(200);
    assert.equal(drain.enter().ok, false);
    void clock.sleep(5000).then(() => late.ok && late.value[Symbol.dispose]());
    assert.equal((await clock.runUntilSettled(drain.finished)).interrupted, 0);
});
