/** Processes with gossip, configuration and membership on a simulated network in virtual time. */
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

const TICK_MS = 100;
const CALL_TIMEOUT_MS = 400;
const WATCH_POLL_MS = 20;

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
    /** Versions in the order of their adoption. */
    readonly adopted: number[];
    /** Time from the start until the process had a configuration; undefined before. */
    readyAfterMs: number | undefined;
}

export interface Place {
    readonly address: string;
    readonly dataCentre: string;
    readonly role?: "entry" | "agent";
    readonly backendServer?: string;
}

export class SimulatedSystem {
    readonly clock: virtualClock.VirtualClock;
    readonly store = new memoryStore.MemoryObjectStore();
    readonly processes = new Map<string, Process>();
    /** Addresses that cannot reach the object API. */
    readonly cutFromStore = new Set<string>();
    /** Addresses that reach no other process and that no other process reaches. */
    readonly cutFromPeers = new Set<string>();
    /** Calls to the object API by the address of the caller. */
    readonly storeCalls = new Map<string, number>();
    /** Addresses that accept calls and never answer. */
    readonly hanging = new Set<string>();
    faults: NetworkFaults = { loss: 0, delayMs: 5 };
    listed: readonly objectApi.ListedInstance[] = [];

    constructor(seed: number, readonly places: readonly Place[]) {
        this.clock = new virtualClock.VirtualClock(seed);
    }

    async start(place: Place): Promise<Process> {
        const { clock } = this;
        const incarnation = { address: place.address, boot: clock.identifier() };
        const board = boards.createBoard();
        const documents = new tables.DocumentTable();
        const links = this.peersOf(place.address);
        const store = this.storeOf(place.address);
        const seeds = this.places.map(other => other.address).filter(address => address !== place.address);
        const journal = journals.silentJournal;
        const startedAt = clock.now();
        const options = { address: place.address, seeds, store, documents, peers: links, clock, journal };
        const adopted: number[] = [];
        board.subscribe("configuration", configuration => adopted.push(configuration.version));
        const membership = new memberships.MembershipController({
            self: incarnation,
            role: place.role ?? "entry",
            dataCentre: place.dataCentre,
            backendServer: place.backendServer ?? "",
            seeds,
            board,
            documents,
            instances: { list: async () => outcomes.succeed(this.listed) },
            clock,
            journal,
        });
        const report = await startup.start(options);
        const configuration = new configurations.ConfigurationController({
            ...options,
            dataCentre: place.dataCentre,
            board,
            formerVersion: report.formerVersion,
        });
        const gossip = new gossipControllers.GossipController({
            ...options,
            board,
            peerAddresses: () => membership.peerAddresses(),
            watchers: () => watchers.allWatchers(place.dataCentre, board.read("members")),
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
            adopted,
            readyAfterMs: board.read("configuration").version > 0 ? clock.now() - startedAt : undefined,
        };
        this.processes.set(place.address, process);
        void this.tick(process);
        return process;
    }

    /** Ends a process at once; its address refuses connections. */
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
        await this.clock.complete(Promise.all(this.places.map(place => this.start(place))));
    }

    versionOf(address: string): number {
        return this.processes.get(address)?.board.read("configuration").version ?? 0;
    }

    private async tick(process: Process): Promise<void> {
        await this.clock.sleep(this.clock.random() * TICK_MS);
        while (this.processes.get(process.incarnation.address) === process) {
            const now = this.clock.now();
            await process.gossip.step(now);
            await process.membership.step(now);
            await process.configuration.step(now);
            await this.clock.sleep(TICK_MS);
        }
    }

    private peersOf(from: string): peers.Peers {
        const call = <Value>(to: string, answer: (responder: responders.PeerResponder) => Value) =>
            this.call(from, to, answer);
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
        answer: (responder: responders.PeerResponder) => Value,
    ): Promise<outcomes.Outcome<Value>> {
        const caller = this.processes.get(from);
        if (!this.processes.has(to) && !this.hanging.has(to)) {
            return outcomes.fail("peer-unreachable", to);
        }
        const sentAt = this.clock.now();
        await this.clock.sleep(this.clock.random() * this.faults.delayMs);
        const callee = this.processes.get(to);
        const cut = this.hanging.has(to) || this.cutFromPeers.has(to) || this.cutFromPeers.has(from);
        const lost = cut || callee === undefined || this.clock.random() < this.faults.loss;
        const value = lost ? undefined : answer(callee.responder);
        await this.clock.sleep(this.clock.random() * this.faults.delayMs);
        const crashed = this.processes.get(from) !== caller;
        if (value === undefined || crashed || this.clock.random() < this.faults.loss) {
            await this.clock.sleep(sentAt + CALL_TIMEOUT_MS - this.clock.now());
            return outcomes.fail("peer-connection-lost", to);
        }
        return outcomes.succeed(value);
    }

    private storeOf(address: string): objectApi.ObjectStore {
        const reach = async <Value>(
            call: () => Promise<outcomes.Outcome<Value>>,
        ): Promise<outcomes.Outcome<Value>> => {
            this.storeCalls.set(address, (this.storeCalls.get(address) ?? 0) + 1);
            await this.clock.sleep(1 + this.clock.random() * 4);
            return this.cutFromStore.has(address) ? outcomes.fail("store-unavailable", "cut") : call();
        };
        return {
            get: name => reach(() => this.store.get(name)),
            list: prefix => reach(() => this.store.list(prefix)),
            put: (name, value, version) => reach(() => this.store.put(name, value, version)),
            watch: (prefix, after, waitMs) => reach(() => this.watch(prefix, after, waitMs)),
        };
    }

    private async watch(
        prefix: string,
        after: number,
        waitMs: number,
    ): Promise<outcomes.Outcome<objectApi.ObjectChanges>> {
        const until = this.clock.now() + waitMs;
        for (;;) {
            const change = await this.store.watch(prefix, after);
            if (!change.ok || change.value.objects.length > 0 || this.clock.now() >= until) {
                return change;
            }
            await this.clock.sleep(WATCH_POLL_MS);
        }
    }
}
