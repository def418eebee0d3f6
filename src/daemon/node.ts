/** Parts of the daemon that both roles use: shared state, connections to other processes, and common controllers. */
import type * as connect from "@connectrpc/connect";
import * as holdersSections from "../admission/holders-section.js";
import * as clocks from "../clock/clock.js";
import * as configurations from "../configuration/controller.js";
import * as startups from "../configuration/startup.js";
import * as watchers from "../configuration/watchers.js";
import type * as event from "../core/event.js";
import type * as incarnations from "../core/incarnation.js";
import * as gossips from "../gossip/controller.js";
import type * as peers from "../gossip/peers.js";
import * as responders from "../gossip/responder.js";
import * as rpcPeers from "../gossip/rpc-peers.js";
import * as peerServices from "../gossip/service.js";
import * as tables from "../gossip/table.js";
import * as journals from "../logging/journal.js";
import * as memberships from "../membership/controller.js";
import * as drains from "../membership/drain.js";
import * as probes from "../membership/probe.js";
import type * as membership from "../membership/types.js";
import * as processMemory from "../memory/process-memory.js";
import * as recorders from "../metrics/recorder.js";
import * as instanceListClients from "../object-api/instance-list-client.js";
import * as objectApiClients from "../object-api/object-api-client.js";
import * as rolloutFollowers from "../rollout/rollout-follower.js";
import * as clientPools from "../rpc/client-pool.js";
import * as operationsMessages from "../rpc/gen/ibisstep/v1/operations_pb.js";
import * as peerMessages from "../rpc/gen/ibisstep/v1/peer_pb.js";
import * as servers from "../rpc/server.js";
import type * as settings from "../settings/schema.js";
import * as boards from "./board.js";
import type * as controllerLoops from "./controller-loop.js";
import * as operations from "./operations-service.js";

const GOSSIP_STEP_INTERVAL_MS = 50;
const MEMBERSHIP_STEP_INTERVAL_MS = 200;
const CONFIGURATION_STEP_INTERVAL_MS = 100;

/** One process of the system, in either role. */
export class Node {
    readonly clock: clocks.Clock = clocks.systemClock;
    readonly self: incarnations.Incarnation;
    readonly board: boards.Board = boards.createBoard();
    readonly journal: event.Journal;
    readonly pool = new clientPools.ClientPool();
    readonly recorder = new recorders.Recorder();
    readonly memory: processMemory.ProcessMemory;
    readonly documents: tables.DocumentTable;
    readonly peers: peers.Peers;
    readonly store: objectApiClients.ObjectApiClient;
    readonly instanceList: instanceListClients.InstanceListClient;
    readonly membership: memberships.MembershipController;
    readonly drain: drains.Drain;
    readonly liveness: membership.LivenessProbe;
    private readonly responder: responders.PeerResponder;
    private startedConfiguration: configurations.ConfigurationController | undefined;

    constructor(readonly settings: settings.Settings) {
        this.self = { address: settings.rpc_address, boot: this.clock.identifier() };
        const context = {
            role: settings.role,
            instance: settings.rpc_address,
            dataCentre: settings.data_centre,
            boot: this.self.boot,
        };
        this.journal = journals.createJournal(this.clock, context, settings.log_level);
        this.memory = new processMemory.ProcessMemory({
            clock: this.clock,
            journal: this.journal,
            limitBytes: settings.limits.memory_bytes,
        });
        this.documents = new tables.DocumentTable();
        this.peers = rpcPeers.createRpcPeers(this.pool, this.self);
        this.store = new objectApiClients.ObjectApiClient(settings.object_api, { clock: this.clock });
        this.instanceList = new instanceListClients.InstanceListClient(settings.instance_list, this.clock);
        this.responder = new responders.PeerResponder(this.self, this.documents, this.board, this.clock);
        this.membership = new memberships.MembershipController({
            ...this.sharedDependencies,
            self: this.self,
            role: settings.role,
            dataCentre: settings.data_centre,
            backendServer: settings.backend_server ?? "",
            seeds: settings.seeds,
            instances: this.instanceList,
        });
        this.liveness = probes.createLivenessProbe({
            connect: probes.connectTcp,
            peers: this.peers,
            listingOf: address => this.membership.listingOf(address),
        });
        // An agent refuses new work immediately: entries learn of the drain through gossip and choose another server.
        const acceptMs = settings.role === "entry" ? settings.timing.accept_while_draining_ms : 0;
        this.drain = new drains.Drain({ ...this.sharedDependencies, limitMs: settings.timing.drain_ms, acceptMs });
    }

    /** Fetches the documents of other processes; takes at most 850 ms. */
    async start(): Promise<void> {
        const { settings } = this;
        this.memory.start();
        const { formerVersion } = await startups.start({
            ...this.sharedDependencies,
            address: this.self.address,
            seeds: settings.seeds,
            store: this.store,
            peers: this.peers,
        });
        this.startedConfiguration = new configurations.ConfigurationController({
            ...this.sharedDependencies,
            address: this.self.address,
            dataCentre: settings.data_centre,
            store: this.store,
            peers: this.peers,
            formerVersion,
        });
    }

    /** Must not be used before `start` has finished. */
    get configuration(): configurations.ConfigurationController {
        return this.startedConfiguration as configurations.ConfigurationController;
    }

    /** Whether a configuration is in force and the process is not draining. */
    readonly isReady = (): boolean => this.board.read("configuration").version > 0 && !this.board.read("draining");

    /** Controllers that both roles run, in the order in which they start. */
    schedules(): readonly controllerLoops.Schedule[] {
        const gossip = new gossips.GossipController({
            ...this.sharedDependencies,
            address: this.self.address,
            peers: this.peers,
            peerAddresses: () => this.membership.peerAddresses(),
            watchers: () => watchers.allWatchers(this.settings.data_centre, this.board.read("members")),
        });
        return [
            { controller: gossip, intervalMs: GOSSIP_STEP_INTERVAL_MS },
            { controller: this.membership, intervalMs: MEMBERSHIP_STEP_INTERVAL_MS },
            { controller: this.configuration, intervalMs: CONFIGURATION_STEP_INTERVAL_MS },
        ];
    }

    /** Starts the RPC server with the services that both roles provide and those that `addRoutes` adds. */
    listen(addRoutes: (router: connect.ConnectRouter) => void): Promise<servers.RpcServer> {
        return servers.listen(this.settings.rpc_address, router => {
            router.service(peerMessages.PeerService, peerServices.createPeerService(this.responder, this.journal));
            router.service(
                operationsMessages.OperationsService,
                operations.createOperationsService({
                    board: this.board,
                    recorder: this.recorder,
                    self: () => this.describeSelf(),
                    requestsInFlight: () => this.drain.inFlight,
                    now: () => this.clock.now(),
                    drain: () => void this.drain.begin("requested by an operator"),
                }),
            );
            addRoutes(router);
        });
    }

    /** Keeps the budget holders on the board up to date in an entry; in an agent, the budget controller does this. */
    followHolders(): Disposable {
        return holdersSections.followHolders(this.documents, this.board, this.journal);
    }

    /** Logs `process-ready` once, as soon as a configuration is in force. */
    announceReady(): Disposable {
        let announced = false;
        const announce = () => {
            const { version } = this.board.read("configuration");
            if (version > 0 && !announced) {
                announced = true;
                this.journal.emit("process-ready", { version });
            }
        };
        announce();
        return this.board.subscribe("configuration", announce);
    }

    /** Keeps the status and the vetoes of the version rollouts on the board up to date. */
    followRollouts(): AsyncDisposable {
        return rolloutFollowers.followRollouts(this.documents, this.board, this.journal);
    }

    /** Starts the drain on SIGTERM and SIGINT. */
    drainOnSignal(): Disposable {
        return drains.drainOnSignal(this.drain, process);
    }

    /** Returns a configuration of at least the given version, fetched from the given RPC addresses if necessary. */
    readonly ensureVersion: configurations.ConfigurationController["ensureVersion"] = (version, addresses) =>
        this.configuration.ensureVersion(version, addresses);

    async [Symbol.asyncDispose](): Promise<void> {
        this.memory[Symbol.dispose]();
        await this.pool[Symbol.asyncDispose]();
        await this.store[Symbol.asyncDispose]();
        await this.instanceList[Symbol.asyncDispose]();
    }

    /** Dependencies that most features need. */
    get sharedDependencies() {
        return { board: this.board, documents: this.documents, clock: this.clock, journal: this.journal };
    }

    private describeSelf(): membership.Member {
        const own = this.board.read("members").get(this.self.address);
        return own ?? {
            incarnation: this.self,
            role: this.settings.role,
            dataCentre: this.settings.data_centre,
            backendServer: this.settings.backend_server ?? "",
            state: "live",
            weights: [],
            manifestVersion: this.board.read("configuration").version,
            backendBoot: "",
        };
    }
}
