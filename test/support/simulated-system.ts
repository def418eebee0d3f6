/** Processes with gossip, configuration and membership that run on a simulated network in virtual time. */
import * as configurations from "../../src/configuration/controller.js";
import * as startup from "../../src/configuration/startup.js";
import * as watchers from "../../src/configuration/watchers.js";
import type * as incarnations from "../../src/core/incarnation.js";
import * as outcomes from "../../src/core/outcome.js";
import * as boards from "../../src/daemon/board.js";
import * as gossipControllers from "../../src/gossip/controller.js";
import type * as peers from "../../src/gossip/peers.js";
import * as responders from "../../src/gossip/responder.js";
import * as tables from "../../src/gossip/table.js";
import * as journals from "../../src/logging/journal.js";
import * as memberships from "../../src/membership/controller.js";
import type * as objectApi from "../../src/object-api/types.js";
import * as memoryStore from "./memory-object-store.js";
import * as virtualClock from "./virtual-clock.js";

const STEP_INTERVAL_MS = 100;
const CALL_TIMEOUT_MS = 400;
const WATCH_POLL_INTERVAL_MS = 20;

export interface NetworkFaults {
    /** Probability that a request or a reply is lost. */
    readonly loss: number;
    /** Longest delay of a request or a reply in milliseconds. */
    readonly delayMs: number;
}

export interface Process {
    readonly incarnation: incarnations.Incarnation;
    readonly board: boards.Board;
    readonly documents: tables.DocumentTable;
    readonly responder: responders.PeerResponder;
    readonly gossip: gossipControllers.GossipController;
    readonly membership: memberships.MembershipController;
    readonly configuration: configurations.ConfigurationController;
    /** Configuration versions in the order of their adoption. */
    readonly adoptedVersions: number[];
    /** Milliseconds from the start until the process had a configuration; undefined before. */
    readyAfterMs: number | undefined;
}

export interface ProcessDefinition {
    readonly address: string;
    readonly dataCentre: string;
    readonly role?: "entry" | "agent";
    readonly backendServer?: string;
}

export class SimulatedSystem {
    readonly clock: virtualClock.VirtualClock;
    readonly store = new memoryStore.MemoryObjectStore();
    readonly processes = new Map<string, Process>();
    /** Addresses of processes that cannot reach the object API. */
    readonly partitionedFromStore = new Set<string>();
    /** Addresses of processes that cannot reach other processes or be reached by them. */
    readonly partitionedFromPeers = new Set<string>();
    /** Number of calls to the object API by the address of the caller. */
    readonly storeCalls = new Map<string, number>();
    /** Addresses that accept calls but never respond. */
    readonly unresponsive = new Set<string>();
    faults: NetworkFaults = { loss: 0, delayMs: 5 };
    /** Instances that the instance list returns. */
    listedInstances: readonly objectApi.ListedInstance[] = [];

    constructor(seed: number, readonly definitions: readonly ProcessDefinition[]) {
        this.clock = new virtualClock.VirtualClock(seed);
    }

    async start(definition: ProcessDefinition): Promise<Process> {
        const { clock } = this;
        const incarnation = { address: definition.address, boot: clock.identifier() };
        const board = boards.createBoard();
        const documents = new tables.DocumentTable();
        const peerClient = this.createPeers(definition.address);
        const store = this.createStore(definition.address);
        const seeds = this.definitions.map(other => other.address).filter(address => address !== definition.address);
        const journal = journals.silentJournal;
        const startedAt = clock.now();
        const options = { address: definition.address, seeds, store, documents, peers: peerClient, clock, journal };
        const adoptedVersions: number[] = [];
        board.subscribe("configuration", configuration => adoptedVersions.push(configuration.version));
        const membership = new memberships.MembershipController({
            self: incarnation,
            role: definition.role ?? "entry",
            dataCentre: definition.dataCentre,
            backendServer: definition.backendServer ?? "",
            seeds,
            board,
            documents,
            instances: { list: async () => outcomes.succeed(this.listedInstances) },
            clock,
            journal,
        });
        const report = await startup.start(options);
        const configuration = new configurations.ConfigurationController({
            ...options,
            dataCentre: definition.dataCentre,
            board,
            formerVersion: report.formerVersion,
        });
        const gossip = new gossipControllers.GossipController({
            ...options,
            board,
            peerAddresses: () => membership.peerAddresses(),
            watchers: () => watchers.allWatchers(definition.dataCentre, board.read("members")),
        });
        const responder = new responders.PeerResponder(incarnation, documents, board, clock);
        const process: Process = {
            incarnation,
            board,
            documents,
            responder,
            gossip,
            membership,
            configuration,
            adoptedVersions,
            readyAfterMs: board.read("configuration").version > 0 ? clock.now() - startedAt : undefined,
        };
        this.processes.set(definition.address, process);
        void this.runSteps(process);
        return process;
    }

    /** Ends a process without a shutdown; its address refuses connections afterwards. */
    crash(address: string): void {
        const process = this.processes.get(address);
        this.processes.delete(address);
        if (process !== undefined) {
            void process.gossip[Symbol.asyncDispose]();
            void process.membership[Symbol.asyncDispose]();
            void process.configuration[Symbol.asyncDispose]();
        }
    }

    async startAll(): Promise<void> {
        await this.clock.runUntilSettled(Promise.all(this.definitions.map(place => this.start(place))));
    }

    /** Version of the configuration in force at a process; 0 without one. */
    configurationVersion(address: string): number {
        return this.processes.get(address)?.board.read("configuration").version ?? 0;
    }

    private async runSteps(process: Process): Promise<void> {
        await this.clock.sleep(this.clock.random() * STEP_INTERVAL_MS);
        while (this.processes.get(process.incarnation.address) === process) {
            const now = this.clock.now();
            await process.gossip.step(now);
            await process.membership.step(now);
            await process.configuration.step(now);
            await this.clock.sleep(STEP_INTERVAL_MS);
        }
    }

    private createPeers(from: string): peers.Peers {
        const call = <Value>(to: string, handle: (responder: responders.PeerResponder) => Value) =>
            this.call(from, to, handle);
        return {
            push: (to, documents) => call(to, responder => responder.push(documents)),
            compare: (to, comparison) => call(to, responder => responder.compare(comparison)),
            fetch: (to, names) => call(to, responder => responder.fetch(names)),
            identify: to => call(to, responder => responder.self),
        };
    }

    private async call<Value>(
        from: string,
        to: string,
        handle: (responder: responders.PeerResponder) => Value,
    ): Promise<outcomes.Outcome<Value>> {
        const caller = this.processes.get(from);
        if (!this.processes.has(to) && !this.unresponsive.has(to)) {
            return outcomes.fail("peer-unreachable", to);
        }
        const sentAt = this.clock.now();
        await this.clock.sleep(this.clock.random() * this.faults.delayMs);
        const callee = this.processes.get(to);
        const isUnreachable = this.unresponsive.has(to) || this.partitionedFromPeers.has(to) ||
            this.partitionedFromPeers.has(from);
        const isLost = isUnreachable || callee === undefined || this.clock.random() < this.faults.loss;
        const value = isLost ? undefined : handle(callee.responder);
        await this.clock.sleep(this.clock.random() * this.faults.delayMs);
        const callerEnded = this.processes.get(from) !== caller;
        if (value === undefined || callerEnded || this.clock.random() < this.faults.loss) {
            await this.clock.sleep(sentAt + CALL_TIMEOUT_MS - this.clock.now());
            return outcomes.fail("peer-connection-lost", to);
        }
        return outcomes.succeed(value);
    }

    private createStore(address: string): objectApi.ObjectStore {
        const callStore = async <Value>(
            call: () => Promise<outcomes.Outcome<Value>>,
        ): Promise<outcomes.Outcome<Value>> => {
            this.storeCalls.set(address, (this.storeCalls.get(address) ?? 0) + 1);
            await this.clock.sleep(1 + this.clock.random() * 4);
            return this.partitionedFromStore.has(address) ? outcomes.fail("store-unavailable", "partitioned") : call();
        };
        return {
            get: name => callStore(() => this.store.get(name)),
            list: prefix => callStore(() => this.store.list(prefix)),
            put: (name, value, version) => callStore(() => this.store.put(name, value, version)),
            watch: (prefix, after, waitMs) => callStore(() => this.watch(prefix, after, waitMs)),
        };
    }

    private async watch(
        prefix: string,
        after: number,
        waitMs: number,
    ): Promise<outcomes.Outcome<objectApi.ObjectChanges>> {
        const deadline = this.clock.now() + waitMs;
        for (;;) {
            const change = await this.store.watch(prefix, after);
            if (!change.ok || change.value.objects.length > 0 || this.clock.now() >= deadline) {
                return change;
            }
            await this.clock.sleep(WATCH_POLL_INTERVAL_MS);
        }
    }
}
