/**
 * Guards against a process that misses an accepted configuration or returns to a lower version while one process cannot
 * reach the object API, messages are lost or delayed, and processes restart.
 */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as adoption from "../../src/configuration/adoption.js";
import * as readers from "../../src/configuration/store-reader.js";
import * as manifest from "../../src/manifest/types.js";
import * as simulation from "../support/simulated-system.js";

const SEED = 20;
const RUNS = 25;
const IN_FORCE_WITHIN_MS = 4000;
const OBJECT = "config/manifest";

const scenarios = fastCheck.record({
    seed: fastCheck.integer(),
    count: fastCheck.integer({ min: 3, max: 9 }),
    dataCentres: fastCheck.integer({ min: 1, max: 3 }),
    isolated: fastCheck.nat(),
    restarted: fastCheck.nat(),
    loss: fastCheck.double({ min: 0, max: 0.15, noNaN: true }),
    delayMs: fastCheck.integer({ min: 0, max: 80 }),
    pauseMs: fastCheck.integer({ min: 0, max: 3000 }),
});

function processDefinitions(count: number, dataCentres: number): readonly simulation.ProcessDefinition[] {
    return Array.from({ length: count }, (_, index) => ({
        address: `10.0.0.${index + 1}:7000`,
        dataCentre: `dc-${index % dataCentres}`,
    }));
}

async function accept(system: simulation.SimulatedSystem, change: number): Promise<number> {
    const current = await system.store.get(OBJECT);
    const version = current.ok ? current.value?.version ?? 0 : 0;
    const written = await system.store.put(OBJECT, `# change ${change}`, version);
    assert.ok(written.ok);
    return written.value;
}

function assertInForce(system: simulation.SimulatedSystem, version: number): void {
    for (const address of system.processes.keys()) {
        assert.ok(
            system.configurationVersion(address) >= version,
            `${address} has ${system.configurationVersion(address)}, not ${version}`,
        );
    }
}

function assertNeverDowngraded(system: simulation.SimulatedSystem): void {
    for (const process of system.processes.values()) {
        const sorted = [...process.adoptedVersions].sort((left, right) => left - right);
        assert.deepEqual(process.adoptedVersions, sorted, process.incarnation.address);
    }
}

testing.test("configuration: each change is in force everywhere within 4 s although one process lacks the store", async () => {
    await fastCheck.assert(
        fastCheck.asyncProperty(scenarios, async scenario => {
            const definitions = processDefinitions(scenario.count, scenario.dataCentres);
            const system = new simulation.SimulatedSystem(scenario.seed, definitions);
            system.faults = { loss: scenario.loss, delayMs: scenario.delayMs };
            system.partitionedFromStore.add(definitions[scenario.isolated % definitions.length].address);
            await accept(system, 0);
            await system.startAll();
            await system.clock.advance(5000);
            for (let change = 1; change <= 3; change++) {
                const version = await accept(system, change);
                await system.clock.advance(IN_FORCE_WITHIN_MS);
                assertInForce(system, version);
                await system.clock.advance(scenario.pauseMs);
            }
            assertNeverDowngraded(system);
        }),
        { seed: SEED, numRuns: RUNS },
    );
});

testing.test("configuration: a restarted process adopts no lower version than before, even without the store", async () => {
    await fastCheck.assert(
        fastCheck.asyncProperty(scenarios, async scenario => {
            const definitions = processDefinitions(scenario.count, scenario.dataCentres);
            const system = new simulation.SimulatedSystem(scenario.seed, definitions);
            system.faults = { loss: scenario.loss / 3, delayMs: scenario.delayMs };
            await accept(system, 0);
            await system.startAll();
            await system.clock.advance(5000);
            const version = await accept(system, 1);
            await system.clock.advance(IN_FORCE_WITHIN_MS);
            const definition = definitions[scenario.restarted % definitions.length];
            system.partitionedFromStore.add(definition.address);
            system.crash(definition.address);
            await system.clock.advance(scenario.pauseMs);
            const restarted = await system.clock.runUntilSettled(system.start(definition));
            await system.clock.advance(IN_FORCE_WITHIN_MS);
            assert.ok(
                restarted.adoptedVersions.every(adopted => adopted >= version),
                restarted.adoptedVersions.join(" "),
            );
            assertInForce(system, version);
        }),
        { seed: SEED, numRuns: RUNS },
    );
});

testing.test("configuration: a process that restarts during a change does not return to a lower version", async () => {
    await fastCheck.assert(
        fastCheck.asyncProperty(scenarios, async scenario => {
            const definitions = processDefinitions(scenario.count, scenario.dataCentres);
            const system = new simulation.SimulatedSystem(scenario.seed, definitions);
            system.faults = { loss: 0, delayMs: scenario.delayMs };
            await accept(system, 0);
            await system.startAll();
            await system.clock.advance(5000);
            await accept(system, 1);
            await system.clock.advance(scenario.pauseMs);
            const definition = definitions[scenario.restarted % definitions.length];
            const before = system.configurationVersion(definition.address);
            system.crash(definition.address);
            const restarted = await system.clock.runUntilSettled(system.start(definition));
            await system.clock.advance(IN_FORCE_WITHIN_MS);
            assert.ok(
                restarted.adoptedVersions.every(adopted => adopted >= before),
                `${before}: ${restarted.adoptedVersions.join(" ")}`,
            );
        }),
        { seed: SEED, numRuns: RUNS },
    );
});

testing.test("configuration: a restarted process is ready within 1 s although seeds hang and the store is down", async () => {
    const definitions = processDefinitions(6, 2);
    const system = new simulation.SimulatedSystem(SEED, definitions);
    await accept(system, 0);
    await system.startAll();
    await system.clock.advance(5000);
    const [first, second, third, fourth] = definitions.map(definition => definition.address);
    for (const address of [second, third, fourth]) {
        system.crash(address);
        system.unresponsive.add(address);
    }
    system.crash(first);
    system.partitionedFromStore.add(first);
    const restarted = await system.clock.runUntilSettled(system.start(definitions[0]));
    assert.ok(restarted.readyAfterMs !== undefined && restarted.readyAfterMs <= 1000, String(restarted.readyAfterMs));
});

testing.test("configuration: a process that reaches the store but no peer adopts a change within 4 s", async () => {
    await fastCheck.assert(
        fastCheck.asyncProperty(scenarios, async scenario => {
            const definitions = processDefinitions(scenario.count, scenario.dataCentres);
            const system = new simulation.SimulatedSystem(scenario.seed, definitions);
            await accept(system, 0);
            await system.startAll();
            await system.clock.advance(5000 + scenario.pauseMs);
            definitions.forEach(definition => system.partitionedFromPeers.add(definition.address));
            await system.clock.advance(scenario.pauseMs * 2);
            const version = await accept(system, 1);
            await system.clock.advance(IN_FORCE_WITHIN_MS);
            assertInForce(system, version);
        }),
        { seed: SEED, numRuns: RUNS },
    );
});

testing.test("configuration: in a steady state only two processes per data centre call the store", async () => {
    const system = new simulation.SimulatedSystem(SEED, processDefinitions(12, 3));
    await accept(system, 0);
    await system.startAll();
    await system.clock.advance(5000);
    system.storeCalls.clear();
    await system.clock.advance(10_000);
    assert.equal(system.storeCalls.size, 6);
    assert.ok([...system.storeCalls.values()].every(calls => calls <= 11), [...system.storeCalls.values()].join(" "));
});

testing.test("configuration: gossip does not hide an outage of the store, and reads during the outage are limited", async () => {
    const definitions = processDefinitions(12, 3);
    const system = new simulation.SimulatedSystem(SEED, definitions);
    await accept(system, 0);
    await system.startAll();
    await system.clock.advance(5000);
    system.faults = { loss: 0, delayMs: 150 };
    definitions.forEach(definition => system.partitionedFromStore.add(definition.address));
    const outageAt = system.clock.now();
    system.storeCalls.clear();
    await system.clock.advance(30_000);
    // A watch that is pending when the outage begins still receives its response.
    const latestSeenAt = outageAt + readers.WATCH_WAIT_MS + 30;
    for (const process of system.processes.values()) {
        assert.ok(process.board.read("storeSeenAt") <= latestSeenAt, String(process.board.read("storeSeenAt")));
    }
    const lowestCounts = [...system.storeCalls.values()].sort((left, right) => left - right).slice(0, 6);
    assert.ok(lowestCounts.every(calls => calls <= 15), lowestCounts.join(" "));
});

testing.test("configuration: a lower or equal version never replaces the one in force", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.nat(9), fastCheck.nat(9), (inForce, offered) => {
            const decision = adoption.decideAdoption(
                { ...manifest.emptyConfiguration, version: inForce },
                { version: offered, text: "" },
            );
            assert.equal(decision.action, offered > inForce ? "adopt" : "ignore");
        }),
        { seed: SEED },
    );
});
