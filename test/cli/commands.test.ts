/**
 * Guards against changes that take effect although they are invalid, conflicting or unconfirmed, and against incorrect
 * reports.
 */
import * as protobuf from "@bufbuild/protobuf";
import * as fastCheck from "fast-check";
import * as hdr from "hdr-histogram-js";
import * as assert from "node:assert/strict";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as testing from "node:test";
import * as commands from "../../src/cli/commands.js";
import * as rolloutReport from "../../src/cli/rollout-report.js";
import type * as types from "../../src/cli/types.js";
import * as outcomes from "../../src/core/outcome.js";
import * as compiler from "../../src/manifest/compile.js";
import type * as rollouts from "../../src/rollout/types.js";
import * as messages from "../../src/rpc/gen/ibisstep/v1/operations_pb.js";
import * as memoryStore from "../support/memory-object-store.js";
import * as virtualClock from "../support/virtual-clock.js";

const SEED = 27;
const FIRST_ADDRESS = "10.0.0.1:7000";
const SECOND_ADDRESS = "10.0.0.2:7000";
const EXAMPLES = path.resolve(import.meta.dirname, "../../examples");
const kremsau = path.join(EXAMPLES, "kremsau", "manifest.toml");
const falikep = path.join(EXAMPLES, "falikep", "manifest.toml");

type FakeResponse = "stopped" | "silent" | {
    version: number;
    counters?: Readonly<Record<string, number>>;
    latencies?: number[];
};

/** A system whose processes return the configured responses, with an in-memory object store. */
class FakeSystem implements types.Services {
    readonly store = new memoryStore.MemoryObjectStore();
    readonly clock = new virtualClock.VirtualClock(SEED);
    readonly printed: string[] = [];
    readonly warned: string[] = [];
    readonly drained: string[] = [];
    readonly responses = new Map<string, FakeResponse>();
    /** Responses to the next calls to an address, used before the one in `responses`. */
    readonly nextResponses = new Map<string, FakeResponse[]>();
    input = "";

    readonly operations: types.OperationsClient = {
        status: async address =>
            this.respond(address, messages.StatusResponseSchema, state => ({
                self: { incarnation: { address, boot: "boot" }, role: "entry", state: "live" },
                manifestVersion: BigInt(state.version),
                members: [...this.responses.keys()].map(other => ({ incarnation: { address: other, boot: "boot" } })),
                counters: Object.entries(state.counters ?? {})
                    .map(([name, value]) => ({ name, customer: "a", value: BigInt(value) })),
            })),
        histograms: async address =>
            this.respond(address, messages.HistogramsResponseSchema, state => {
                const histogram = hdr.build();
                state.latencies?.forEach(value => histogram.recordValue(value));
                const encoded = hdr.encodeIntoCompressedBase64(histogram);
                return { histograms: [{ measure: "duration", customer: "a", class: "batch", encoded }] };
            }),
        drain: async address => {
            this.drained.push(address);
            return this.respond(address, messages.DrainResponseSchema, () => ({ started: true }));
        },
    };

    objectStore(): memoryStore.MemoryObjectStore {
        return this.store;
    }

    instanceList(): never {
        throw new assert.AssertionError({ message: "no test uses the instance list" });
    }

    async run(name: string, input: readonly string[], flags: Partial<types.Flags> = {}): Promise<number> {
        const { command } = await commands.commands[name].load();
        const terminal: types.Terminal = {
            print: line => void this.printed.push(line),
            warn: line => void this.warned.push(line),
            readInput: async () => this.input,
        };
        const defaults = { json: false, seed: [FIRST_ADDRESS], objectApi: "http://store", timeoutMs: 4000, wait: true };
        const invocation = { input, flags: { ...defaults, ...flags }, terminal, services: this, clock: this.clock };
        return this.clock.runUntilSettled(command.run(invocation));
    }

    private async respond<Schema extends protobuf.DescMessage>(
        address: string,
        schema: Schema,
        build: (state: Exclude<FakeResponse, string>) => protobuf.MessageInitShape<Schema>,
    ): Promise<outcomes.Outcome<protobuf.MessageShape<Schema>>> {
        const state = this.nextResponses.get(address)?.shift() ?? this.responses.get(address) ?? "stopped";
        if (typeof state === "string") {
            return outcomes.fail(state === "stopped" ? "peer-unreachable" : "peer-connection-lost", address);
        }
        return outcomes.succeed(protobuf.create(schema, build(state)));
    }
}

async function acceptedText(system: FakeSystem): Promise<string | undefined> {
    const object = await system.store.get("config/manifest");
    return object.ok ? object.value?.value : undefined;
}

testing.test("validate: accepts the example manifests, which have the expected sizes", async () => {
    const sizes = [[kremsau, 3, 8, 3, 5, 2], [falikep, 4, 13, 4, 5, 3]] as const;
    for (const [file, dataCentres, engines, services, customers, parallelLoads] of sizes) {
        assert.equal(await new FakeSystem().run("validate", [file]), 0);
        const compiled = compiler.compile(fs.readFileSync(file, "utf8"), 1);
        assert.ok(compiled.ok);
        const servers = [...compiled.value.backendServers.values()];
        const [model] = compiled.value.models.values();
        assert.deepEqual(
            [
                new Set(servers.map(server => server.dataCentre)).size,
                servers.filter(server => server.kind === "engine").length,
                servers.filter(server => server.kind === "service").length,
                compiled.value.customers.size,
                model.parallelLoads,
                model.pieceTokens,
            ],
            [dataCentres, engines, services, customers, parallelLoads, 1024],
        );
        assert.ok(compiled.value.routes.some(route => !route.idempotent && route.lookupPath.includes("{key}")));
    }
});

testing.test("apply: a manifest that does not compile is not written", async () => {
    const system = new FakeSystem();
    const file = path.join(fs.mkdtempSync(path.join(os.tmpdir(), "ibisstep-")), "manifest.toml");
    fs.writeFileSync(file, "[[customers]]\nname = 3\n");
    assert.equal(await system.run("apply", [file], { wait: false }), 3);
    assert.equal(system.store.writes, 0);
    assert.match(system.warned[0], /customers\[0\]\.name/);
});

testing.test("apply: waits until the change is in force in every process that runs", async () => {
    const system = new FakeSystem();
    system.responses.set(FIRST_ADDRESS, { version: 1 }).set(SECOND_ADDRESS, { version: 1 }).set(
        "10.0.0.3:7000",
        "stopped",
    );
    system.nextResponses.set(FIRST_ADDRESS, [{ version: 0 }]);
    system.nextResponses.set(SECOND_ADDRESS, [{ version: 0 }, "silent", { version: 0 }]);
    assert.equal(await system.run("apply", [kremsau]), 0);
    assert.deepEqual(system.nextResponses.get(SECOND_ADDRESS), []);
    assert.match(system.printed.join("\n"), /version 1 is in force in 2 processes\nnot running: 10\.0\.0\.3:7000/);
});

testing.test("apply: names the processes that lag or do not answer", async () => {
    const system = new FakeSystem();
    system.responses.set(FIRST_ADDRESS, { version: 1 }).set(SECOND_ADDRESS, { version: 0 }).set(
        "10.0.0.3:7000",
        "silent",
    );
    assert.equal(await system.run("apply", [kremsau], { json: true }), 5);
    const printed = JSON.parse(system.printed[0]) as { ok: boolean; version: number; lagging: string[]; };
    assert.deepEqual([printed.ok, printed.version, printed.lagging], [false, 1, [SECOND_ADDRESS, "10.0.0.3:7000"]]);
    assert.equal(await acceptedText(system), fs.readFileSync(kremsau, "utf8"));
});

testing.test("apply: reads the manifest back when the response of the object API is lost", async () => {
    const system = new FakeSystem();
    system.store.fault = "lose-answers";
    assert.equal(await system.run("apply", [kremsau], { wait: false, json: true }), 0);
    assert.deepEqual(JSON.parse(system.printed[0]), { ok: true, version: 1, changed: true });
    assert.equal(system.store.writes, 1);
});

testing.test("apply: a conflicting change is not written, and an unchanged manifest is not written again", async () => {
    const system = new FakeSystem();
    assert.equal(await system.run("apply", [kremsau], { wait: false, expect: 0 }), 0);
    assert.equal(await system.run("apply", [falikep], { wait: false, expect: 0 }), 4);
    assert.equal(await acceptedText(system), fs.readFileSync(kremsau, "utf8"));
    assert.equal(await system.run("apply", [kremsau], { wait: false }), 0);
    assert.equal(system.store.writes, 1);
    const racing = new FakeSystem();
    const get = racing.store.get.bind(racing.store);
    racing.store.get = async name => {
        const before = await get(name);
        await racing.store.put(name, "# other operator", 0);
        return before;
    };
    assert.equal(await racing.run("apply", [kremsau], { wait: false }), 4);
    assert.equal(await acceptedText(racing), "# other operator");
});

testing.test("apply: has its own exit code while the object API is down", async () => {
    const system = new FakeSystem();
    system.store.fault = "outage";
    assert.equal(await system.run("apply", [kremsau], { wait: false }), 6);
    assert.equal(await system.run("apply", [kremsau], { seed: [] }), 2);
});

testing.test("status: the exit code shows that a process lags", async () => {
    const system = new FakeSystem();
    system.responses.set(FIRST_ADDRESS, { version: 2 }).set(SECOND_ADDRESS, { version: 2 });
    assert.equal(await system.run("status", []), 0);
    system.responses.set(SECOND_ADDRESS, { version: 1 });
    assert.equal(await system.run("status", []), 5);
    assert.match(system.printed.at(-1) ?? "", /10\.0\.0\.2:7000 has version 1/);
    assert.equal(await system.run("status", [], { seed: ["10.9.9.9:1"] }), 8);
});

testing.test("report: adds up the counters of all processes and lists the processes that do not answer", async () => {
    const system = new FakeSystem();
    const counters = { "outcome-unknown": 2, "in-rate-refusals": 1, "requests": 50 };
    system.responses.set(FIRST_ADDRESS, { version: 1, counters }).set(SECOND_ADDRESS, { version: 1, counters });
    assert.equal(await system.run("report", [], { json: true }), 0);
    const printed = JSON.parse(system.printed[0]) as { counters: unknown; };
    assert.deepEqual(printed.counters, [
        { name: "in-rate-refusals", customer: "a", value: 2 },
        { name: "outcome-unknown", customer: "a", value: 4 },
    ]);
    system.responses.set(SECOND_ADDRESS, "silent");
    assert.equal(await system.run("report", []), 5);
    assert.match(system.printed.join("\n"), /not counted, does not answer: 10\.0\.0\.2:7000/);
    await system.store.put("rollout/status", "{", 0);
    assert.notEqual(await system.run("report", []), 0);
});

testing.test("report: a rollout is done in time only if it was done by its deadline", () => {
    const phase = fastCheck.constantFrom(
        "loading" as const,
        "shifting" as const,
        "done" as const,
        "rolled-back" as const,
    );
    const time = fastCheck.nat(20);
    fastCheck.assert(
        fastCheck.property(phase, time, time, time, fastCheck.boolean(), (current, changedAt, deadline, now, known) => {
            const status: rollouts.RolloutStatus = {
                rollout: "r",
                model: "m",
                from: "1",
                to: "2",
                phase: current,
                share: 0,
                fencingNumber: 1,
                reason: "failed",
                changedAt,
            };
            const declared = { name: "r", model: "m", from: "1", to: "2", steps: [1], deadline, stepMs: 1 };
            const [report, ...others] = rolloutReport.createReports([status], known ? [declared] : [], now);
            assert.equal(others.length, 0);
            assert.equal(report.verdict === "rolled-back", current === "rolled-back");
            assert.equal(report.verdict === "done-in-time", known && current === "done" && changedAt <= deadline);
            const open = current === "loading" || current === "shifting";
            assert.equal(report.verdict === "overdue", known && open && now > deadline);
            assert.equal(rolloutReport.createReports([], [declared], now)[0].verdict === "overdue", now > deadline);
        }),
        { seed: SEED },
    );
});

testing.test("histograms: values of all processes are merged, also with different ranges", async () => {
    const system = new FakeSystem();
    system.responses.set(FIRST_ADDRESS, { version: 1, latencies: [1000, 2000] });
    system.responses.set(SECOND_ADDRESS, { version: 1, latencies: [3000, 500_000_000] });
    assert.equal(await system.run("histograms", [], { json: true }), 0);
    const printed = JSON.parse(system.printed[0]) as {
        histograms: { count: number; p50: number; maximum: number; }[];
    };
    const [{ count, p50, maximum }] = printed.histograms;
    assert.equal(count, 4);
    assert.ok(Math.abs(p50 - 2) < 0.1 && Math.abs(maximum - 500_000) < 1000, `${p50} ${maximum}`);
});

testing.test("key hash: reads the key from standard input only", async () => {
    const system = new FakeSystem();
    system.input = "abc\n";
    assert.equal(await system.run("key hash", []), 0);
    assert.deepEqual(system.printed, ["ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"]);
    assert.equal(await system.run("key hash", ["abc"]), 2);
    for (const input of ["", "\n", "two words", "a\nb\n"]) {
        system.input = input;
        assert.equal(await system.run("key hash", []), 2);
    }
    assert.equal(system.printed.length, 1);
    assert.ok(!system.warned.join("\n").includes("abc"));
});

testing.test("drain: waits until the process has stopped, and fails after the timeout", async () => {
    const system = new FakeSystem();
    system.responses.set(FIRST_ADDRESS, { version: 1 });
    void system.clock.sleep(2000).then(() => system.responses.set(FIRST_ADDRESS, "stopped"));
    assert.equal(await system.run("drain", [FIRST_ADDRESS]), 0);
    assert.ok(system.clock.now() >= 2000);
    system.responses.set(SECOND_ADDRESS, { version: 1 });
    assert.equal(await system.run("drain", [SECOND_ADDRESS]), 5);
    assert.deepEqual(system.drained, [FIRST_ADDRESS, SECOND_ADDRESS]);
    assert.equal(await system.run("drain", ["10.9.9.9:1"]), 8);
});
