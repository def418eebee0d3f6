/** Simulation of agents, engines, entries and traffic in virtual time with the production controllers and decisions. */
import type * as engineTypes from "../../src/agent/engine-types.js";
import * as outcomes from "../../src/core/outcome.js";
import * as boards from "../../src/daemon/board.js";
import * as tables from "../../src/gossip/table.js";
import type * as gossip from "../../src/gossip/types.js";
import * as journals from "../../src/logging/journal.js";
import * as manifest from "../../src/manifest/types.js";
import type * as membership from "../../src/membership/types.js";
import type * as objectApi from "../../src/object-api/types.js";
import * as controllers from "../../src/rollout/controller.js";
import * as orderHandlers from "../../src/rollout/order-handler.js";
import * as outcomeCounters from "../../src/rollout/outcome-counter.js";
import * as rolloutFollowers from "../../src/rollout/rollout-follower.js";
import * as servingPolicies from "../../src/rollout/serving-policy.js";
import * as statusObjects from "../../src/rollout/status-object.js";
import type * as transports from "../../src/rollout/transport.js";
import type * as types from "../../src/rollout/types.js";
import * as versionSelectors from "../../src/rollout/version-selector.js";
import * as memoryStores from "../support/memory-object-store.js";
import * as simulationClock from "../support/simulation-clock.js";

export const MODEL = "menu";
export const FROM = "v1";
export const TO = "v2";
export const SLOTS = 4;

const TICK_MS = 50;
const LOAD_MS = 500;
const GOSSIP_DELAY_MS = 600;
const ROUTES = ["chat", "review"];
const ENTRIES = 4;
/** Requests per second of the whole fleet in the alternating quiet and busy periods. */
const QUIET_RATE = 80;
const BUSY_RATE = 240;
const PERIOD_MS = 2000;
const BASE_FAILURE_RATE = 0.004;
const BASE_SLOW_RATE = 0.01;
const HIGH_LOAD_SLOW_RATE = 0.04;

/** Simulated fault of the new version. */
export interface Fault {
    readonly effect: "fail" | "slow" | "none";
    /** Probability that a request to which the fault applies shows it. */
    readonly rate: number;
    readonly afterRequests: number;
    readonly onlyUnderLoad: boolean;
    readonly onlyRoute: string;
}

export const noFault: Fault = { effect: "none", rate: 0, afterRequests: 0, onlyUnderLoad: false, onlyRoute: "" };

export interface FleetOptions {
    readonly seed: number;
    readonly agents?: number;
    readonly fault?: Fault;
    readonly deadlineMs?: number;
    readonly stepMs?: number;
    /** Maximum delivery delay of an order; an order can arrive after the lease of its sender expired. */
    readonly orderDelayMs?: number;
}

interface SimulatedProcess {
    readonly address: string;
    readonly board: boards.Board;
    readonly documents: tables.DocumentTable;
    readonly gossipDocuments: gossip.Documents;
}

export interface Agent extends SimulatedProcess {
    boot: string;
    counter: outcomeCounters.OutcomeCounter;
    orders: orderHandlers.OrderHandler;
    controller: controllers.RolloutController;
    paused: boolean;
    nextStepAt: number;
    engineBoot: number;
    readonly weights: Set<string>;
    /** Fencing numbers of the orders that the engine executed; the engine doesn't check them. */
    readonly orderFencingNumbers: number[];
    readonly running: RunningRequest[];
}

interface RunningRequest {
    readonly endsAt: number;
    readonly finish: (now: number) => void;
}

export class Fleet {
    readonly clock: simulationClock.SimulationClock;
    readonly store = new memoryStores.MemoryObjectStore();
    readonly agents: Agent[] = [];
    readonly entries: (SimulatedProcess & { readonly versions: versionSelectors.VersionSelector; })[] = [];
    /** Statuses of each write of the status object, in order. */
    readonly statusHistory: (readonly types.RolloutStatus[])[] = [];
    /** When true, requests for outcome counts fail. */
    dropsOutcomeReplies = false;
    fencedOrders = 0;
    outcomeCalls = 0;
    requests = 0;
    newVersionRequests = 0;
    lastNewVersionRequestAt = Number.NEGATIVE_INFINITY;
    /** Time of the first veto, with the numbers of requests until then. */
    firstVeto: { readonly at: number; readonly requests: number; readonly newVersionRequests: number; } | undefined;
    configuration: manifest.Configuration;
    private stopped = false;

    constructor(readonly options: FleetOptions) {
        this.clock = new simulationClock.SimulationClock(options.seed);
        const addresses = Array.from({ length: options.agents ?? 8 }, (_, index) => `agent-${index}`);
        this.configuration = this.createConfiguration(addresses);
        addresses.forEach(address => this.agents.push(this.createAgent(address)));
        for (let index = 0; index < ENTRIES; index++) {
            const process = this.createProcess(`entry-${index}`);
            const versions = new versionSelectors.VersionSelector({
                board: process.board,
                wallTime: () => this.clock.wallTime(),
                isServable: (_model, version) => this.agents.some(agent => agent.weights.has(`${MODEL}@${version}`)),
            });
            this.entries.push({ ...process, versions });
        }
        this.configure(this.configuration);
        void this.runLoop();
    }

    get rollout(): manifest.Rollout {
        return this.configuration.rollouts[0];
    }

    /** Last written status of the declared rollout. */
    get status(): types.RolloutStatus | undefined {
        return this.statusHistory.at(-1)?.find(status => status.to === this.rollout.to);
    }

    /** Applies a configuration on all processes. */
    configure(configuration: manifest.Configuration): void {
        this.configuration = configuration;
        [...this.agents, ...this.entries].forEach(process => process.board.write("configuration", configuration));
    }

    async run(durationMs: number, isDone: () => boolean = () => false): Promise<void> {
        await this.clock.run(this.clock.now() + durationMs, isDone);
    }

    async runUntilDeadline(isDone: () => boolean = () => false): Promise<void> {
        const leftMs = this.rollout.deadline - this.clock.wallTime();
        await this.run(leftMs + 2000, isDone);
    }

    /** Restarts the process of an agent, which loses its counts and the highest fencing number seen. */
    restartAgent(agent: Agent): void {
        void agent.controller[Symbol.asyncDispose]();
        Object.assign(agent, this.createComponents(agent, agent.boot + "'"));
    }

    /** Restarts the engine, which loses its requests and all weights except those in its settings. */
    crashEngine(agent: Agent): void {
        agent.engineBoot++;
        agent.weights.clear();
        agent.weights.add(`${MODEL}@${FROM}`);
        const running = agent.running.splice(0);
        running.forEach(request => request.finish(Number.NaN));
    }

    /** Agent with a valid lease and the highest fencing number. */
    coordinator(): Agent | undefined {
        const numbers = this.agents.map(agent => ({ agent, number: heldFencingNumber(agent, this.clock.now()) }));
        return numbers.filter(item => item.number > 0).sort((left, right) => right.number - left.number)[0]?.agent;
    }

    async stop(): Promise<void> {
        this.stopped = true;
        this.agents.forEach(agent => agent.paused = false);
        const disposal = Promise.all(this.agents.map(agent => agent.controller[Symbol.asyncDispose]()));
        await this.run(120_000);
        await disposal;
    }

    private createConfiguration(addresses: readonly string[]): manifest.Configuration {
        const model: manifest.Model = {
            name: MODEL,
            weightsVersion: FROM,
            adapters: [],
            pieceTokens: 1024,
            parallelLoads: 2,
        };
        const servers = addresses.map((address): manifest.BackendServer => ({
            name: address,
            dataCentre: "dc",
            kind: "engine",
            agentAddress: address,
            models: [MODEL],
            service: "",
            weight: 1,
            checksFencing: false,
        }));
        return {
            ...manifest.emptyConfiguration,
            version: 1,
            models: new Map([[MODEL, model]]),
            backendServers: new Map(servers.map(server => [server.name, server])),
            rollouts: [{
                name: "spring",
                model: MODEL,
                from: FROM,
                to: TO,
                steps: [0.05, 0.25, 0.5, 1],
                deadline: this.clock.wallTime() + (this.options.deadlineMs ?? 60_000),
                stepMs: this.options.stepMs ?? 3000,
            }],
        };
    }

    private createProcess(address: string): SimulatedProcess {
        const board = boards.createBoard();
        const documents = new tables.DocumentTable();
        rolloutFollowers.followRollouts(documents, board, journals.silentJournal);
        const gossipDocuments: gossip.Documents = {
            get: name => documents.get(name),
            list: prefix => documents.list(prefix),
            subscribe: (prefix, listener) => documents.subscribe(prefix, listener),
            publish: document => {
                const isNew = documents.publish(document);
                if (isNew) {
                    this.gossipToOthers(document, address);
                }
                return isNew;
            },
        };
        return { address, board, documents, gossipDocuments };
    }

    private gossipToOthers(document: gossip.Document, origin: string): void {
        if (document.name.startsWith(statusObjects.VETO_PREFIX)) {
            const { requests, newVersionRequests } = this;
            this.firstVeto ??= { at: this.clock.now(), requests, newVersionRequests };
        }
        for (const process of [...this.agents, ...this.entries].filter(other => other.address !== origin)) {
            const delayMs = this.clock.random() * GOSSIP_DELAY_MS;
            void this.clock.sleep(delayMs).then(() => process.documents.offer(document));
        }
    }

    private createAgent(address: string): Agent {
        const process = this.createProcess(address);
        const agent = {
            ...process,
            boot: "",
            paused: false,
            nextStepAt: this.clock.random() * controllers.STEP_INTERVAL_MS,
            engineBoot: 1,
            weights: new Set([`${MODEL}@${FROM}`]),
            orderFencingNumbers: [],
            running: [],
        } as unknown as Agent;
        return Object.assign(agent, this.createComponents(agent, "boot"));
    }

    private createComponents(agent: Agent, boot: string) {
        const wallTime = () => this.clock.wallTime();
        const counter = new outcomeCounters.OutcomeCounter(agent.board, wallTime);
        const engine = { order: (order: engineTypes.Order) => this.executeOrder(agent, order) };
        const orders = new orderHandlers.OrderHandler({ board: agent.board, engine, wallTime });
        const controller = new controllers.RolloutController({
            self: { address: agent.address, boot },
            board: agent.board,
            documents: agent.gossipDocuments,
            store: this.createStore(agent),
            liveness: { probe: async () => "unknown" },
            transport: this.createTransport(agent),
            counter,
            clock: this.clock,
            journal: journals.silentJournal,
        });
        return { boot, counter, orders, controller };
    }

    private async executeOrder(agent: Agent, order: engineTypes.Order): Promise<outcomes.Outcome<readonly string[]>> {
        agent.orderFencingNumbers.push(order.fencingNumber);
        const weights = `${order.model}@${order.weightsVersion}`;
        if (order.kind === "unload-weights") {
            agent.weights.delete(weights);
            return outcomes.succeed([...agent.weights]);
        }
        const { engineBoot } = agent;
        await this.clock.sleep(LOAD_MS);
        if (agent.engineBoot !== engineBoot) {
            return outcomes.fail("engine-connection-lost", agent.address);
        }
        agent.weights.add(weights);
        return outcomes.succeed([...agent.weights]);
    }

    private createStore(agent: Agent): objectApi.ObjectStore {
        const callStore = async <Value>(call: () => Promise<Value>): Promise<Value> => {
            await this.whilePaused(agent);
            await this.clock.sleep(1 + this.clock.random() * 4);
            const value = await call();
            await this.whilePaused(agent);
            return value;
        };
        return {
            get: name => callStore(() => this.store.get(name)),
            list: prefix => callStore(() => this.store.list(prefix)),
            put: (name, value, version) =>
                callStore(async () => {
                    const writes = this.store.writes;
                    const result = await this.store.put(name, value, version);
                    if (name === statusObjects.STATUS_OBJECT && this.store.writes > writes) {
                        this.statusHistory.push((JSON.parse(value) as { statuses: types.RolloutStatus[]; }).statuses);
                    }
                    return result;
                }),
            watch: (prefix, after) => callStore(() => this.store.watch(prefix, after)),
        };
    }

    private createTransport(caller: Agent): transports.RolloutTransport {
        const callAgent = async <Value>(address: string, call: (agent: Agent) => Promise<Value>) => {
            await this.whilePaused(caller);
            await this.clock.sleep(1 + this.clock.random() * 10);
            const agent = this.agents.find(candidate => candidate.address === address) as Agent;
            return agent.paused ? outcomes.fail("peer-connection-lost", address) : call(agent);
        };
        return {
            outcomes: (address, identity) =>
                callAgent(address, async agent => {
                    this.outcomeCalls++;
                    if (this.dropsOutcomeReplies) {
                        return outcomes.fail("peer-connection-lost", address);
                    }
                    const counts = agent.counter.counts(identity, this.clock.now());
                    return outcomes.succeed({ agent: { address, boot: agent.boot }, counts });
                }),
            order: (order, fencingNumber) =>
                callAgent(order.address, async agent => {
                    await this.clock.sleep(this.clock.random() * (this.options.orderDelayMs ?? 0));
                    const { kind, model, weightsVersion } = order;
                    const result = await agent.orders.execute({ kind, model, weightsVersion, fencingNumber });
                    this.fencedOrders += Number(!result.ok && result.failure.kind === "rollout-order-fenced");
                    return result.ok ? outcomes.succeed(undefined) : result;
                }),
        };
    }

    private async whilePaused(agent: Agent): Promise<void> {
        while (agent.paused) {
            await this.clock.sleep(TICK_MS);
        }
    }

    private async runLoop(): Promise<void> {
        for (let tick = 0; !this.stopped; tick++) {
            const now = this.clock.now();
            if (tick % 4 === 0) {
                this.publishMembers();
            }
            for (const agent of this.agents.filter(candidate => !candidate.paused && now >= candidate.nextStepAt)) {
                agent.nextStepAt = now + controllers.STEP_INTERVAL_MS;
                void agent.controller.step(now);
            }
            this.serveRequests(now);
            await this.clock.sleep(TICK_MS);
        }
    }

    private publishMembers(): void {
        const members: membership.Members = new Map(this.agents.map(agent => [agent.address, {
            incarnation: { address: agent.address, boot: agent.boot },
            role: "agent",
            dataCentre: "dc",
            backendServer: agent.address,
            state: "live",
            weights: [...agent.weights],
            manifestVersion: 1,
            backendBoot: String(agent.engineBoot),
        }]));
        [...this.agents, ...this.entries].forEach(process => process.board.write("members", members));
    }

    private serveRequests(now: number): void {
        for (const agent of this.agents) {
            const ended = agent.running.filter(request => request.endsAt <= now);
            const kept = agent.running.filter(request => request.endsAt > now);
            agent.running.splice(0, agent.running.length, ...kept);
            ended.forEach(request => request.finish(now));
        }
        const rate = Math.floor(now / PERIOD_MS) % 2 === 0 ? QUIET_RATE : BUSY_RATE;
        const expected = rate * TICK_MS / 1000;
        const arrivals = Math.floor(expected + this.clock.random());
        for (let index = 0; index < arrivals; index++) {
            this.sendRequest(now);
        }
    }

    private sendRequest(now: number): void {
        const entry = this.entries[Math.floor(this.clock.random() * this.entries.length)];
        const model = entry.board.read("configuration").models.get(MODEL) as manifest.Model;
        const chosen = entry.versions.choose(model);
        this.requests++;
        for (let refused = false;; refused = true) {
            const version = entry.versions.versionsFor(model, chosen, refused ? "refused" : "none")
                .find(candidate => this.serversOf(candidate).length > 0) ?? FROM;
            const servers = this.serversOf(version);
            const agent = servers[Math.floor(this.clock.random() * servers.length)];
            const { board } = agent;
            const configuration = board.read("configuration");
            const wallTime = this.clock.wallTime();
            if (refused || servingPolicies.mayRun(configuration, board.read("rollouts"), model, version, wallTime)) {
                this.startRequest(agent, version, now);
                return;
            }
        }
    }

    private serversOf(version: string): readonly Agent[] {
        return this.agents.filter(agent => agent.weights.has(`${MODEL}@${version}`));
    }

    private startRequest(agent: Agent, version: string, now: number): void {
        const isNew = version === TO;
        const route = ROUTES[Math.floor(this.clock.random() * ROUTES.length)];
        const loadLevel = outcomeCounters.loadLevelOf({ running: agent.running.length, waiting: 0 }, SLOTS);
        const fault = this.options.fault ?? noFault;
        const isAffected = isNew && this.newVersionRequests >= fault.afterRequests
            && (!fault.onlyUnderLoad || loadLevel === "high")
            && (fault.onlyRoute === "" || fault.onlyRoute === route)
            && this.clock.random() < fault.rate;
        const slowRate = loadLevel === "high" ? HIGH_LOAD_SLOW_RATE : BASE_SLOW_RATE;
        const isFailed = this.clock.random() < BASE_FAILURE_RATE || (isAffected && fault.effect === "fail");
        const isSlow = this.clock.random() < slowRate || (isAffected && fault.effect === "slow");
        if (isNew) {
            this.newVersionRequests++;
            this.lastNewVersionRequestAt = now;
        }
        const request = {
            model: MODEL,
            weightsVersion: version,
            route,
            loadLevel,
            backendBoot: String(agent.engineBoot),
        };
        const outcome = agent.counter.begin(request, now);
        const durationMs = isSlow ? 1500 : 100 + this.clock.random() * 300;
        agent.running.push({
            endsAt: now + durationMs,
            finish: endedAt => {
                if (Number.isNaN(endedAt)) {
                    outcome?.end(this.clock.now(), { kind: "engine-connection-lost", detail: "crash" });
                    return;
                }
                outcome?.recordToken(now + (isSlow ? 1400 : 50));
                outcome?.end(now + durationMs, isFailed ? { kind: "engine-failed", detail: "fault" } : undefined);
            },
        });
    }
}

/** Fencing number of the valid lease of an agent; 0 if it has none. */
function heldFencingNumber(agent: Agent, now: number): number {
    const { lease } = agent.controller as unknown as {
        readonly lease: { fencingNumber(now: number): number | undefined; };
    };
    return lease.fencingNumber(now) ?? 0;
}
